#pragma once

#include <Services/Agent/AdmissionControl.h>
#include <Services/Agent/Upstream.h>
#include <deque>
#include <functional>
#include <kj/async.h>

namespace Agent
{

/// A part of an answer on its way from the upstream.
struct AnswerPart {
    enum class Kind { Head, Data, End, Failed };
    Kind kind = Kind::Failed;
    int status = 0;
    LibHttp::HttpHeaders headers;
    std::string data;
    /// Failed: the reason.
    std::string reason;
    /// Failed: the request cannot have reached the upstream.
    bool notSent = false;
};

/// What to send and how to check the answer.
struct UpstreamOrder {
    LibHttp::HttpRequest request;
    bool engine = false;
    bool stream = false;
    /// Engines: what every part must carry.
    std::string fingerprint;
    AK::Milliseconds headTimeout = 0;
    /// Called once when a part carries another fingerprint, before the failure is passed on.
    std::function<void()> mismatch;
};

/// One call to the upstream, read by a thread of its own, because a read may block for 30 s regardless of our deadline.
/// Parts are checked before they enter the queue. The slot is held until the upstream's connection is closed.
class UpstreamCall
{
public:
    UpstreamCall(Upstream &upstream, UpstreamOrder order, std::shared_ptr<Slot> slot);

    /// Reads the whole answer. Runs on the reader's thread.
    void run();

    /// The next part, or nothing when `timeout` ms are over. Runs in the fiber of the connection.
    std::optional<AnswerPart> next(AK::Milliseconds timeout, kj::WaitScope &scope);

    /// Tells the reader that nobody waits; it closes the connection as soon as its read returns.
    void cancel();

private:
    AnswerPart read();
    AnswerPart readStream(UpstreamAnswer &answer);
    AnswerPart readWhole(UpstreamAnswer &answer);
    AnswerPart mismatch();
    bool push(AnswerPart part);

    Upstream &upstream;
    UpstreamOrder order;
    std::shared_ptr<Slot> slot;
    std::mutex mutex;
    std::condition_variable taken;
    std::deque<AnswerPart> parts;
    size_t bufferedBytes = 0;
    bool cancelled = false;
    kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<bool>>> wake;
};

} // namespace Agent
