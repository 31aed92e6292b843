#include <Services/Agent/UpstreamCall.h>

#include <AK/Text.h>
#include <LibWire/EventLoop.h>
#include <Services/Agent/AnswerCheck.h>

namespace Agent
{

namespace
{

// The reader waits above this, so that a slow caller does not fill the agent's memory.
constexpr size_t bufferLimitBytes = size_t{256} << 10;
constexpr size_t answerLimitBytes = size_t{8} << 20;
constexpr size_t partBytes = size_t{128} << 10;
constexpr std::string_view dataPrefix = "data:";
constexpr std::string_view endMarker = "[DONE]";

AnswerPart failure(std::string reason, bool notSent = false)
{
    AnswerPart part;
    part.kind = AnswerPart::Kind::Failed;
    part.reason = std::move(reason);
    part.notSent = notSent;
    return part;
}

AnswerPart data(std::string text)
{
    AnswerPart part;
    part.kind = AnswerPart::Kind::Data;
    part.data = std::move(text);
    return part;
}

AnswerPart ofKind(AnswerPart::Kind kind)
{
    AnswerPart part;
    part.kind = kind;
    return part;
}

std::string_view payloadOf(std::string_view line)
{
    line.remove_prefix(dataPrefix.size());
    return line.starts_with(' ') ? line.substr(1) : line;
}

// Without a length or chunks a cut body looks like a whole one.
bool endIsVisible(const UpstreamAnswer &answer)
{
    return answer.status() == 204 || answer.status() == 304 || !LibHttp::headerOr(answer.headers(), "content-length").empty()
        || !LibHttp::headerOr(answer.headers(), "transfer-encoding").empty();
}

} // namespace

UpstreamCall::UpstreamCall(Upstream &upstream, UpstreamOrder order, std::shared_ptr<Slot> slot)
    : upstream(upstream)
    , order(std::move(order))
    , slot(std::move(slot))
{
}

void UpstreamCall::run()
{
    // The connection is closed when read() returns; only then the slot is given back and the end passed on.
    AnswerPart last = this->read();
    if (last.kind == AnswerPart::Kind::End) {
        this->slot->markComplete();
    }
    this->slot.reset();
    this->push(std::move(last));
}

AnswerPart UpstreamCall::read()
{
    absl::StatusOr<std::unique_ptr<UpstreamAnswer>> answer = this->upstream.open(this->order.request, this->order.headTimeout);
    if (!answer.ok()) {
        return failure(std::string(answer.status().message()), LibHttp::sendStateOf(answer.status()) == LibHttp::SendState::NotSent);
    }
    if (this->order.engine && (*answer)->status() >= 500) {
        return failure(AK::concat("engine answered with status ", (*answer)->status()));
    }
    if (this->order.engine && this->order.stream && (*answer)->status() == 200) {
        return this->readStream(**answer);
    }
    return this->readWhole(**answer);
}

AnswerPart UpstreamCall::readStream(UpstreamAnswer &answer)
{
    AnswerPart head = ofKind(AnswerPart::Kind::Head);
    head.status = answer.status();
    head.headers = answer.headers();
    this->push(std::move(head));
    bool matched = false;
    while (true) {
        absl::StatusOr<std::optional<std::string>> line = answer.readLine();
        if (!line.ok() || !line->has_value()) {
            return failure(line.ok() ? "stream ended without the end marker" : std::string(line.status().message()));
        }
        if (!(*line)->starts_with(dataPrefix)) {
            if ((*line)->empty() && !this->push(data("\n"))) {
                return failure("caller is gone");
            }
            // Other fields of an event carry no fingerprint and are not forwarded.
            continue;
        }
        const std::string_view payload = payloadOf(**line);
        if (payload == endMarker) {
            if (!matched) {
                return failure("stream ended before any part of the answer");
            }
            this->push(data("data: [DONE]\n\n"));
            return ofKind(AnswerPart::Kind::End);
        }
        const AnswerMatch match = checkAnswer(payload, this->order.fingerprint);
        if (match != AnswerMatch::Match) {
            return match == AnswerMatch::Mismatch ? this->mismatch() : failure("engine reported an error in the stream");
        }
        matched = true;
        if (!this->push(data(AK::concat(**line, "\n")))) {
            return failure("caller is gone");
        }
    }
}

AnswerPart UpstreamCall::readWhole(UpstreamAnswer &answer)
{
    if (!endIsVisible(answer)) {
        return failure("answer has neither a length nor chunks, so its end cannot be seen");
    }
    absl::StatusOr<std::string> body = answer.readAll(answerLimitBytes);
    if (!body.ok()) {
        return failure(std::string(body.status().message()));
    }
    if (this->order.engine && answer.status() < 300) {
        const AnswerMatch match = checkAnswer(*body, this->order.fingerprint);
        if (match != AnswerMatch::Match) {
            return match == AnswerMatch::Mismatch ? this->mismatch() : failure("engine's answer is not a completion");
        }
    }
    AnswerPart head = ofKind(AnswerPart::Kind::Head);
    head.status = answer.status();
    head.headers = answer.headers();
    this->push(std::move(head));
    for (size_t offset = 0; offset < body->size(); offset += partBytes) {
        if (!this->push(data(body->substr(offset, partBytes)))) {
            return failure("caller is gone");
        }
    }
    return ofKind(AnswerPart::Kind::End);
}

AnswerPart UpstreamCall::mismatch()
{
    this->order.mismatch();
    return failure("answer carries another fingerprint than the verified engine");
}

bool UpstreamCall::push(AnswerPart part)
{
    std::unique_lock lock(this->mutex);
    this->taken.wait(lock, [this] { return this->cancelled || this->bufferedBytes < bufferLimitBytes; });
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

std::optional<AnswerPart> UpstreamCall::next(AK::Milliseconds timeout, kj::WaitScope &scope)
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
    AnswerPart part = std::move(this->parts.front());
    this->parts.pop_front();
    // Small parts that are already here travel together; a write to the caller costs a round trip.
    while (part.kind == AnswerPart::Kind::Data && !this->parts.empty() && this->parts.front().kind == AnswerPart::Kind::Data && part.data.size() < partBytes) {
        part.data += this->parts.front().data;
        this->parts.pop_front();
    }
    this->bufferedBytes -= part.data.size();
    this->taken.notify_all();
    return part;
}

void UpstreamCall::cancel()
{
    const std::lock_guard lock(this->mutex);
    this->cancelled = true;
    this->wake = nullptr;
    this->taken.notify_all();
}

} // namespace Agent
