#include <LibGateway/StreamContinuation.h>

#include <AK/Text.h>
#include <algorithm>

namespace LibGateway
{

namespace
{

constexpr int okStatus = 200;
constexpr std::string_view eventStreamType = "text/event-stream";

bool isPlainEventStream(const LibHttpStream::Headers &headers)
{
    const std::string *type = LibHttpStream::findHeader(headers, "Content-Type");
    if (type == nullptr || LibHttpStream::findHeader(headers, "Content-Encoding") != nullptr) {
        return false;
    }
    std::string_view mediaType = std::string_view(*type).substr(0, type->find(';'));
    mediaType = mediaType.substr(0, mediaType.find_last_not_of(' ') + 1);
    return LibHttpStream::equalsIgnoringCase(mediaType, eventStreamType);
}

} // namespace

std::string describeContinuationFault(ContinuationFault fault, int status)
{
    return AK::concat("stream not continued: status ", status, ": ", AK::nameOf(continuationFaultNames, fault));
}

ContinuationFault checkContinuationHead(const LibHttpStream::ResponseHead &head, const ResponseInfo &info)
{
    if (head.status != okStatus) {
        return ContinuationFault::Status;
    }
    if (!isPlainEventStream(head.headers)) {
        return ContinuationFault::ContentType;
    }
    return info.authentic ? ContinuationFault::None : ContinuationFault::NoReceipt;
}

ContinuationFault checkContinuationEvent(const std::optional<std::string> &lastEventId, const StreamEvent &event)
{
    if (!event.id) {
        return isComment(event) ? ContinuationFault::None : ContinuationFault::NoEventId;
    }
    // A client that has only comments so far has no event to follow.
    if (!lastEventId) {
        return ContinuationFault::None;
    }
    const std::optional<int64_t> last = AK::parseInteger(*lastEventId);
    const std::optional<int64_t> next = AK::parseInteger(*event.id);
    return last && next && *last >= 0 && *next > *last && *next - *last == 1 ? ContinuationFault::None : ContinuationFault::EventOrder;
}

EventBatch takeEvents(EventSplitter &splitter, const std::optional<std::string> &lastEventId, bool continues)
{
    EventBatch batch;
    for (size_t count = 0; count < maxBatchEvents; ++count) {
        std::optional<StreamEvent> event = splitter.next();
        if (!event) {
            return batch;
        }
        if (holdsMessageHead(*event)) {
            batch.fault = ContinuationFault::MessageHead;
            return batch;
        }
        batch.fault = continues ? checkContinuationEvent(batch.lastId ? batch.lastId : lastEventId, *event) : ContinuationFault::None;
        if (batch.fault != ContinuationFault::None) {
            return batch;
        }
        batch.hasEvent = batch.hasEvent || !isComment(*event);
        batch.text += event->text;
        if (event->id) {
            batch.lastId = std::move(event->id);
        }
    }
    batch.isFull = true;
    return batch;
}

std::string_view unfinishedReason(const StreamEnd &end)
{
    if (end.partialBytes > 0) {
        return "stream ended inside an event";
    }
    return end.endsWithConnection && !end.hasEvents ? "stream ended before its first event" : "";
}

} // namespace LibGateway
