#pragma once

#include "ClientChannel.h"
#include "CrashDetector.h"
#include "Dispatcher.h"
#include "LoopWatch.h"
#include "PromptQuarantine.h"
#include "SilentCall.h"
#include "UpstreamCall.h"
#include <LibGateway/StreamContinuation.h>
#include <LibMetrics/MetricRegistry.h>
#include <memory>

namespace Gateway
{

/// Objects that all calls of an entry share.
struct CallContext {
    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    const LibGateway::CallCodec &codec;
    Dispatcher &dispatcher;
    UpstreamConnectionPool &connections;
    CrashDetector &crashes;
    PromptQuarantine &quarantine;
    LibMetrics::MetricRegistry &metrics;
    LibHttpStream::BodyMemory &bodyMemory;
    const LoopWatch &loopWatch;
};

/// How a call ended, for its log line.
struct CallReport {
    int status = 0;
    std::string result = "client_left";
    std::string reason;
    std::string upstream;
    int sends = 0;
    AK::Milliseconds waited = 0;
    AK::Milliseconds firstByteAfter = -1;
    /// Longest time between two parts of a stream sent to the client.
    AK::Milliseconds longestGap = 0;
    AK::Milliseconds lastPartAt = 0;
    double loadAtChoice = 0;
    /// See GrantOrRefusal.
    double predictedWaitMs = 0;
    /// Time after which the client was told to retry, in ms.
    AK::Milliseconds retryAfter = 0;
};

/// Runs one call of a client: finds its route and account, waits for a slot, sends the request to an upstream and forwards the response. Dropping the fiber
/// that runs the task closes the connection to the upstream, which stops the work there.
class CallTask
{
public:
    CallTask(const CallContext &context, LibHttpStream::RequestHead head, std::string body, ClientChannel &client);
    ~CallTask();
    KJ_DISALLOW_COPY(CallTask);

    void run(kj::WaitScope &scope);

    /// Answers a call whose response has not begun, because the process is about to stop. Must be called after the fiber of run() has been dropped.
    void endBeforeStop(kj::WaitScope &scope, AK::Milliseconds retryAfter);

private:
    static constexpr AK::Milliseconds refusalRetryAfter = 500;
    // Far above the text of the few tokens in an event.
    static constexpr size_t maxEventBytes = 256UL << 10;
    // Bytes that arrive faster than they are read are read on for this long after the deadline: the rest of a response may be among them.
    static constexpr AK::Milliseconds lateBytesTime = 200;

    enum class NextStep { Done, TryAnother };

    /// Answers a call in which an exception was thrown, unless its response has begun.
    void endAfterException(kj::WaitScope &scope, const std::string &failure);
    /// Gives up a call whose attempts have been interrupted.
    void giveUpInterrupted(kj::WaitScope &scope, const std::string &reason, AK::Milliseconds retryAfter);
    /// Decodes and authorizes the call. Returns false after refusing it.
    bool prepare(kj::WaitScope &scope);
    void runAttempts(kj::WaitScope &scope);
    NextStep runAttempt(kj::WaitScope &scope);
    NextStep forwardResponse(kj::WaitScope &scope, UpstreamCall &call, const LibFleet::UpstreamRecord &upstream);
    NextStep forwardStream(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant);
    NextStep retryOrGiveUp(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, bool sendMayHaveRun, const std::string &reason);

    /// Sets the deadline and the time of the response.
    void setTimeLimits(AK::Milliseconds clientTimeout);
    /// Monotonic time at which the call ends: the deadline once the response has begun, before that the time after which no client waits for one.
    AK::Milliseconds endsBy() const;
    /// Whether the call ends because its client waits no longer for the response to begin, which is no failure of a busy upstream.
    bool endsForItsClient() const;
    /// Longest time without an event after which other upstreams are tried, in ms.
    AK::Milliseconds streamSilenceLimit() const;
    /// Monotonic time at which an upstream counts as silent: other upstreams are then tried beside it. The end of the call when there is nothing to try.
    AK::Milliseconds silentAfter(AK::Milliseconds lastSign) const;
    /// Tries other upstreams while `call` stays open. After SilentCall::End::Replaced the client's call is complete or has been given up.
    SilentCall::End tryOthers(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant, const SilentCall::Probe &probe);
    /// Must be called before anything is written to the client: from now on no silent call goes on.
    void takeOver();
    /// Whether the call must still begin on weights that are not too old. The events of a stream show when it has begun; for other calls, reports of the engine
    /// do.
    bool mustBeginInTime(const Grant &grant) const;
    /// Whether the call has not begun at the upstream of its grant and must not begin there any more.
    bool beginsTooLate(const Grant &grant) const;
    /// Monotonic time until which the call may wait for the head of a response: the upstream counts as silent then, or must not begin any more.
    AK::Milliseconds headDeadline(const Grant &grant) const;
    /// Ends a call that must not begin at its upstream any more, and tries another one.
    NextStep withdraw(kj::WaitScope &scope, UpstreamCall &call, const LibFleet::UpstreamRecord &upstream);
    /// Waits for the head of a silent call. Returns false when another upstream has replaced it.
    bool awaitHead(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant, UpstreamCall::Result &sent);

    /// What the read of a stream has returned.
    struct StreamPart {
        std::string text;
        std::string newest;
        absl::Status status;
        bool ended = false;
        /// The stream has not begun in time for the weights of its upstream.
        bool overdue = false;
        /// Another upstream has replaced the silent one.
        bool replaced = false;

        /// Adds the result of UpstreamCall::read(). Returns whether it has bytes.
        bool take(absl::StatusOr<std::optional<std::string>> data);
    };
    /// Why a stream whose bytes keep coming must end, or an empty text. `partialBytes`: bytes of an event that is not complete.
    std::string_view endlessReason(const StreamPart &part, size_t partialBytes) const;
    StreamPart readStream(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant, const LibGateway::EventSplitter &splitter);

    /// Rejects a call whose prompt has a quarantined part. Returns whether it did.
    bool rejectQuarantined(kj::WaitScope &scope);
    /// Records that the parts of the prompt are sound, because the response is complete. The rest of a `resumed` one proves nothing: it may be shorter than
    /// the time that an upstream takes to crash.
    void noteSoundPrompt(bool resumed);
    /// Records that the upstream has ended the connection before the end of its response.
    void recordBrokenCall(const LibFleet::UpstreamRecord &upstream);
    /// Sends the whole events to the client. `continues`: see LibGateway::takeEvents(). Returns why the next event was not sent; an error when the client has
    /// left.
    absl::StatusOr<LibGateway::ContinuationFault> forwardEvents(kj::WaitScope &scope, const UpstreamCall &call, LibGateway::EventSplitter &splitter,
                                                                bool continues);
    absl::Status forwardBatch(kj::WaitScope &scope, const UpstreamCall &call, const LibGateway::EventBatch &batch);
    NextStep rejectContinuation(kj::WaitScope &scope, const UpstreamCall &call, const LibFleet::UpstreamRecord &upstream, LibGateway::ContinuationFault fault);
    void refuse(kj::WaitScope &scope, int status, const std::string &reason, AK::Milliseconds retryAfter);
    void giveUp(kj::WaitScope &scope, const std::string &reason, AK::Milliseconds retryAfter);
    /// What keeps the call from being sent in a slot by now; asked right before the request is written.
    std::optional<LibGateway::Hindrance> hindranceToSend(const Grant &grant) const;
    LibGateway::UpstreamTarget targetFor(const Grant &grant) const;
    AK::Milliseconds now() const;
    void log() const;

    CallContext context;
    LibHttpStream::RequestHead head;
    std::string body;
    ClientChannel &client;
    std::shared_ptr<const LibFleet::Configuration> configuration;
    LibGateway::CallRequest request;
    const LibFleet::Route *route = nullptr;
    std::shared_ptr<const LibFleet::ClientAccount> account;
    CallRequirements requirements;
    AK::Milliseconds arrivedAt;
    /// Time at which the client gives up or the timeout of the route ends the call, less responseMargin.
    AK::Milliseconds deadline = 0;
    /// Monotonic time by which the client gets a response; its stream may go on until the deadline.
    AK::Milliseconds responseBy = 0;
    /// Time at which the request was last sent to an upstream.
    AK::Milliseconds sentAt = 0;
    /// Time of the first event of the last send, 0 before.
    AK::Milliseconds firstEventAt = 0;
    /// The upstream has sent a part of its stream since the last send.
    bool streamBegun = false;
    /// An upstream may have run the request.
    bool mayHaveRun = false;
    std::optional<std::string> lastEventId;
    /// Monotonic time of the newest event with an id, or of the response head.
    AK::Milliseconds lastEventAt = 0;
    /// Monotonic time at which other upstreams were last tried beside a silent one.
    AK::Milliseconds othersTriedAt = 0;
    /// The innermost silent call that the attempt in progress runs beside.
    SilentCall *silentCall = nullptr;
    /// Response with status 5xx, kept while another upstream is tried.
    std::optional<std::pair<LibHttpStream::ResponseHead, std::string>> failedResponse;
    /// Memory of its body.
    std::unique_ptr<LibHttpStream::BodyShare> failedResponseShare;
    CallReport report;
    LibLog::Logger logger{"call"};
};

} // namespace Gateway
