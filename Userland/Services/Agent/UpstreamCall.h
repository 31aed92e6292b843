#pragma once

#include <Services/Agent/AdmissionControl.h>
#include <Services/Agent/Upstream.h>
#include <deque>
#include <functional>
#include <kj/async.h>

namespace Agent
{

/// A part of an upstream's answer.
struct AnswerPart {
    enum class Kind { Head, Data, End, Failed };
    Kind kind = Kind::Failed;
    int status = 0;
    LibHttp::HttpHeaders headers;
    std::string data;
    /// Reason of a failure.
    std::string reason;
    /// The call failed before the request can have reached the upstream.
    bool notSent = false;
};

/// A request to the upstream and how its answer is checked.
struct UpstreamRequest {
    LibHttp::HttpRequest http;
    bool engine = false;
    bool stream = false;
    /// Engines: fingerprint that every part of the answer must carry.
    std::string fingerprint;
    /// Time limit for the head of the answer.
    AK::Milliseconds headTimeout = 0;
    /// Called once when a part carries another fingerprint, before next() returns the failure.
    std::function<void()> onMismatch;
};

/// One call to the upstream. The answer is read by a separate thread, because a read may block for 30 s regardless of the call's deadline.
/// Parts are checked before they are queued for next(). The slot is held until the connection to the upstream is closed.
class UpstreamCall
{
public:
    UpstreamCall(Upstream &upstream, UpstreamRequest request, std::shared_ptr<Slot> slot);

    /// Sends the request and reads the whole answer. Runs on the reader thread.
    void run();

    /// The next part, or std::nullopt after `timeout` ms. Runs in the fiber of the RPC connection.
    std::optional<AnswerPart> next(AK::Milliseconds timeout, kj::WaitScope &scope);

    /// Discards further parts. The reader closes the connection as soon as its current read returns.
    void cancel();

private:
    AnswerPart read();
    AnswerPart readStream(UpstreamAnswer &answer);
    AnswerPart readWhole(UpstreamAnswer &answer);
    AnswerPart reportMismatch();
    bool push(AnswerPart part);

    Upstream &upstream;
    UpstreamRequest request;
    std::shared_ptr<Slot> slot;
    std::mutex mutex;
    std::condition_variable spaceFreed;
    std::deque<AnswerPart> parts;
    size_t bufferedBytes = 0;
    bool cancelled = false;
    kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<bool>>> wake;
};

} // namespace Agent
