#pragma once

#include "ClientChannel.h"
#include "Dispatcher.h"
#include "UpstreamCall.h"
#include <LibGateway/EventSplitter.h>
#include <LibMetrics/MetricRegistry.h>

namespace Gateway
{

/// What all calls of an entry share.
struct CallContext {
    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    const LibGateway::CallCodec &codec;
    Dispatcher &dispatcher;
    UpstreamConnectionPool &links;
    LibMetrics::MetricRegistry &metrics;
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
    /// Longest pause between two parts of a stream.
    AK::Milliseconds longestGap = 0;
    AK::Milliseconds lastPartAt = 0;
    double loadAtChoice = 0;
};

/// Runs one call of a client: finds its route and account, waits for a place, sends it and passes the answer on. Dropping the fiber that runs it stops the
/// work at the upstream.
class CallTask
{
public:
    CallTask(const CallContext &context, LibHttpStream::RequestHead head, std::string body, ClientChannel &client);
    ~CallTask();
    KJ_DISALLOW_COPY(CallTask);

    void run(kj::WaitScope &scope);

private:
    enum class Next { Done, TryAnother };

    bool prepare(kj::WaitScope &scope);
    void attempts(kj::WaitScope &scope);
    Next attempt(kj::WaitScope &scope);
    Next passAnswer(kj::WaitScope &scope, UpstreamCall &call, const LibFleet::UpstreamRecord &upstream);
    Next passStream(kj::WaitScope &scope, UpstreamCall &call, Grant &grant);
    Next afterFailure(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, bool mayHaveRun, const std::string &reason);
    absl::Status passEvents(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, LibGateway::EventSplitter &splitter);
    void refuse(kj::WaitScope &scope, int status, const std::string &reason, AK::Milliseconds retryAfter);
    void giveUp(kj::WaitScope &scope, const std::string &reason, AK::Milliseconds retryAfter);
    LibGateway::UpstreamTarget targetAt(const Grant &grant) const;
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
    Demand demand;
    AK::Milliseconds arrivedAt;
    /// The client has gone or the route ends the call.
    AK::Milliseconds deadline = 0;
    /// Some send may have run.
    bool mayHaveRun = false;
    std::optional<std::string> lastEventId;
    /// A failure that an upstream answered, kept while another is tried.
    std::optional<std::pair<LibHttpStream::ResponseHead, std::string>> failedAnswer;
    CallReport report;
    LibLog::Logger logger{"call"};
};

} // namespace Gateway
