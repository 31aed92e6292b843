#include <Services/Agent/UpstreamCall.h>

#include <AK/Text.h>
#include <LibWire/EventLoop.h>
#include <Services/Agent/ResponseCheck.h>

namespace Agent
{

namespace
{

// The reader pauses when this much data is queued, so that a slow caller cannot exhaust the agent's memory.
constexpr size_t bufferLimitBytes = size_t{256} << 10;
constexpr size_t responseLimitBytes = size_t{8} << 20;
constexpr size_t partBytes = size_t{128} << 10;
constexpr std::string_view dataPrefix = "data:";
constexpr std::string_view endMarker = "[DONE]";

ResponsePart failedPart(std::string reason, bool notSent = false)
{
    ResponsePart part;
    part.kind = ResponsePart::Kind::Failed;
    part.reason = std::move(reason);
    part.notSent = notSent;
    return part;
}

ResponsePart failedPart(const absl::Status &status)
{
    ResponsePart part = failedPart(std::string(status.message()));
    part.deadlinePassed = absl::IsDeadlineExceeded(status);
    return part;
}

ResponsePart dataPart(std::string text)
{
    ResponsePart part;
    part.kind = ResponsePart::Kind::Data;
    part.data = std::move(text);
    return part;
}

ResponsePart partOfKind(ResponsePart::Kind kind)
{
    ResponsePart part;
    part.kind = kind;
    return part;
}

std::string_view payloadOf(std::string_view line)
{
    line.remove_prefix(dataPrefix.size());
    return line.starts_with(' ') ? line.substr(1) : line;
}

// Whether a truncated body can be told from a complete one. A body without Content-Length or Transfer-Encoding ends when the connection is closed.
bool isEndDetectable(const UpstreamResponse &response)
{
    return response.status() == 204 || response.status() == 304 || !LibHttp::headerOr(response.headers(), "content-length").empty()
        || !LibHttp::headerOr(response.headers(), "transfer-encoding").empty();
}

} // namespace

UpstreamCall::UpstreamCall(Upstream &upstream, UpstreamRequest request, std::shared_ptr<Slot> slot)
    : upstream(upstream)
    , request(std::move(request))
    , slot(std::move(slot))
{
}

void UpstreamCall::run()
{
    // The connection is closed when read() returns. Only then is the slot released and the last part queued.
    ResponsePart last = this->read();
    if (last.kind == ResponsePart::Kind::End) {
        this->slot->markComplete();
    }
    this->slot.reset();
    this->push(std::move(last));
}

ResponsePart UpstreamCall::read()
{
    absl::StatusOr<std::unique_ptr<UpstreamResponse>> response = this->upstream.open(this->request.http, this->request.timeout);
    if (!response.ok()) {
        return failedPart(std::string(response.status().message()), LibHttp::sendStateOf(response.status()) == LibHttp::SendState::NotSent);
    }
    if (!this->setOpenResponse(response->get())) {
        return failedPart("call was cancelled");
    }
    ResponsePart last = this->readResponse(**response);
    if (last.deadlinePassed) {
        // An upstream that has not noticed the end of the call would get the next one besides it.
        (*response)->waitForActivity();
    }
    this->setOpenResponse(nullptr);
    return last;
}

ResponsePart UpstreamCall::readResponse(UpstreamResponse &response)
{
    if (this->request.engine && response.status() >= 500) {
        return failedPart(AK::concat("engine answered with status ", response.status()));
    }
    if (this->request.engine && this->request.stream && response.status() == 200) {
        return this->readStream(response);
    }
    return this->readWhole(response);
}

ResponsePart UpstreamCall::readStream(UpstreamResponse &response)
{
    ResponsePart head = partOfKind(ResponsePart::Kind::Head);
    head.status = response.status();
    head.headers = response.headers();
    // The status is passed on only with the first part that carries the fingerprint.
    bool matched = false;
    while (true) {
        absl::StatusOr<std::optional<std::string>> line = response.readLine();
        if (!line.ok() || !line->has_value()) {
            return line.ok() ? failedPart("stream ended without the end marker") : failedPart(line.status());
        }
        if (!(*line)->starts_with(dataPrefix)) {
            if (matched && (*line)->empty() && !this->push(dataPart("\n"))) {
                return failedPart("call was cancelled");
            }
            // Other event stream fields carry no fingerprint and are not forwarded.
            continue;
        }
        const std::string_view payload = payloadOf(**line);
        if (payload == endMarker) {
            if (!matched) {
                return failedPart("stream ended before any part of the answer");
            }
            this->push(dataPart("data: [DONE]\n\n"));
            return partOfKind(ResponsePart::Kind::End);
        }
        const ResponseMatch match = checkResponse(payload, this->request.fingerprint);
        if (match != ResponseMatch::Match) {
            return match == ResponseMatch::Mismatch ? this->reportMismatch() : failedPart("engine reported an error in the stream");
        }
        if (!matched && !this->push(head)) {
            return failedPart("call was cancelled");
        }
        matched = true;
        if (!this->push(dataPart(AK::concat(**line, "\n")))) {
            return failedPart("call was cancelled");
        }
    }
}

ResponsePart UpstreamCall::readWhole(UpstreamResponse &response)
{
    if (!isEndDetectable(response)) {
        return failedPart("answer has neither a length nor chunks, so its end cannot be seen");
    }
    absl::StatusOr<std::string> body = response.readAll(responseLimitBytes);
    if (!body.ok()) {
        return failedPart(body.status());
    }
    if (this->request.engine && response.status() < 300) {
        const ResponseMatch match = checkResponse(*body, this->request.fingerprint);
        if (match != ResponseMatch::Match) {
            return match == ResponseMatch::Mismatch ? this->reportMismatch() : failedPart("engine's answer is not a completion");
        }
    }
    ResponsePart head = partOfKind(ResponsePart::Kind::Head);
    head.status = response.status();
    head.headers = response.headers();
    this->push(std::move(head));
    for (size_t offset = 0; offset < body->size(); offset += partBytes) {
        if (!this->push(dataPart(body->substr(offset, partBytes)))) {
            return failedPart("call was cancelled");
        }
    }
    return partOfKind(ResponsePart::Kind::End);
}

bool UpstreamCall::setOpenResponse(UpstreamResponse *response)
{
    const std::lock_guard lock(this->mutex);
    this->openResponse = this->cancelled ? nullptr : response;
    return !this->cancelled;
}

ResponsePart UpstreamCall::reportMismatch()
{
    this->request.onMismatch();
    return failedPart("answer carries another fingerprint than the verified engine");
}

bool UpstreamCall::push(ResponsePart part)
{
    std::unique_lock lock(this->mutex);
    this->spaceFreed.wait(lock, [this] { return this->cancelled || this->bufferedBytes < bufferLimitBytes; });
    if (this->cancelled) {
        return false;
    }
    this->bufferedBytes += part.data.size();
    this->parts.push_back(std::move(part));
    KJ_IF_MAYBE (fulfiller, this->wake) {
        (*fulfiller)->fulfill(true);
        this->wake = nullptr;
    }
    return true;
}

std::optional<ResponsePart> UpstreamCall::next(AK::Milliseconds timeout, kj::WaitScope &scope)
{
    kj::Promise<bool> arrival = nullptr;
    {
        const std::lock_guard lock(this->mutex);
        if (this->parts.empty()) {
            auto pair = kj::newPromiseAndCrossThreadFulfiller<bool>();
            this->wake = kj::mv(pair.fulfiller);
            arrival = kj::mv(pair.promise);
        } else {
            arrival = true;
        }
    }
    (void)LibWire::waitFor<bool>(kj::mv(arrival), timeout, scope);
    const std::lock_guard lock(this->mutex);
    if (this->parts.empty()) {
        this->wake = nullptr;
        return std::nullopt;
    }
    ResponsePart part = std::move(this->parts.front());
    this->parts.pop_front();
    // Small parts that are already queued are sent together, because each write to the caller costs a round trip.
    while (part.kind == ResponsePart::Kind::Data && !this->parts.empty() && this->parts.front().kind == ResponsePart::Kind::Data
           && part.data.size() < partBytes) {
        part.data += this->parts.front().data;
        this->parts.pop_front();
    }
    this->bufferedBytes -= part.data.size();
    this->spaceFreed.notify_all();
    return part;
}

void UpstreamCall::cancel()
{
    const std::lock_guard lock(this->mutex);
    this->cancelled = true;
    if (this->openResponse != nullptr) {
        this->openResponse->cancel();
    }
    this->wake = nullptr;
    this->spaceFreed.notify_all();
}

} // namespace Agent
