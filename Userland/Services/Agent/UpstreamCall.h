#pragma once

#include <Services/Agent/AdmissionControl.h>
#include <Services/Agent/Upstream.h>
#include <deque>
#include <functional>
#include <kj/async.h>

namespace Agent
{

/// A part of an upstream's response.
struct ResponsePart {
    enum class Kind { Head, Data, End, Failed };
    Kind kind = Kind::Failed;
    int status = 0;
    LibHttp::HttpHeaders headers;
    std::string data;
    /// Reason of a failure.
    std::string reason;
    /// The deadline passed while the upstream was silent and may still work on the call.
    bool deadlinePassed = false;
    /// The call failed before the request can have reached the upstream.
    bool notSent = false;
};

/// A request to the upstream and how its response is checked.
struct UpstreamRequest {
    LibHttp::HttpRequest http;
    bool engine = false;
    bool stream = false;
    /// Engines: fingerprint that every part of the response must carry.
    std::string fingerprint;
    /// Time limit for the whole response.
    AK::Milliseconds timeout = 0;
    /// Called once when a part carries another fingerprint, before next() returns the failure.
    std::function<void()> onMismatch;
};

/// One call to the upstream. The response is read by a separate thread, because a read blocks.
/// Parts are checked before they are queued for next(). The slot is held until the connection to the upstream is closed.
class UpstreamCall
{
public:
    UpstreamCall(Upstream &upstream, UpstreamRequest request, std::shared_ptr<Slot> slot);

    /// Sends the request and reads the whole response. Runs on the reader thread.
    void run();

    /// The next part, or std::nullopt after `timeout` ms. Runs in the fiber of the RPC connection.
    std::optional<ResponsePart> next(AK::Milliseconds timeout, kj::WaitScope &scope);

    /// Discards further parts. The reader closes the connection as soon as the upstream sends something more.
    void cancel();

private:
    ResponsePart read();
    ResponsePart readResponse(UpstreamResponse &response);
    // The response that cancel() ends, or nullptr. False when the call was cancelled before.
    bool setOpenResponse(UpstreamResponse *response);
    ResponsePart readStream(UpstreamResponse &response);
    ResponsePart readWhole(UpstreamResponse &response);
    ResponsePart reportMismatch();
    bool push(ResponsePart part);

    Upstream &upstream;
    UpstreamRequest request;
    std::shared_ptr<Slot> slot;
    std::mutex mutex;
    std::condition_variable spaceFreed;
    std::deque<ResponsePart> parts;
    size_t bufferedBytes = 0;
    bool cancelled = false;
    UpstreamResponse *openResponse = nullptr;
    kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<bool>>> wake;
};

} // namespace Agent
