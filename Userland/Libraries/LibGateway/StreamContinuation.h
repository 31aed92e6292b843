#pragma once

#include <AK/EnumNames.h>
#include <LibGateway/Codec.h>
#include <LibGateway/EventSplitter.h>
#include <LibHttpStream/MessageHead.h>

namespace LibGateway
{

/// Why a response, or an event of it, cannot continue a stream of which the client already has a part.
enum class ContinuationFault {
    None,
    /// Another status than 200.
    Status,
    /// The body is not an event stream, or it is encoded.
    ContentType,
    /// The receipt is missing, so the upstream's application did not make the response.
    NoReceipt,
    /// An event without an id; only comments have none.
    NoEventId,
    /// The id is not the one that follows the last event the client has.
    EventOrder,
    /// The head of another response stands where an event is due; also in a stream that is not a resumption.
    MessageHead,
};

inline constexpr std::array continuationFaultNames{
    AK::EnumName{ContinuationFault::None, "none"},
    AK::EnumName{ContinuationFault::Status, "the status is not 200"},
    AK::EnumName{ContinuationFault::ContentType, "the body is not a plain event stream"},
    AK::EnumName{ContinuationFault::NoReceipt, "the receipt is missing"},
    AK::EnumName{ContinuationFault::NoEventId, "an event has no id"},
    AK::EnumName{ContinuationFault::MessageHead, "the head of another response stands inside the stream"},
    AK::EnumName{ContinuationFault::EventOrder, "an event does not follow the last one sent"},
};

/// The reason of a failed attempt. `status` is that of the response.
std::string describeContinuationFault(ContinuationFault fault, int status);

/// Checks the head of a response to a resumption. `info` is the decoded head.
ContinuationFault checkContinuationHead(const LibHttpStream::ResponseHead &head, const ResponseInfo &info);

/// Checks an event of a response to a resumption. `lastEventId` is the last event that the client has. Ids are integers that rise by one.
ContinuationFault checkContinuationEvent(const std::optional<std::string> &lastEventId, const StreamEvent &event);

/// Whole events that are ready to be sent.
struct EventBatch {
    std::string text;
    /// Id of the last event that has one.
    std::optional<std::string> lastId;
    /// Whether there is anything but comments.
    bool hasEvent = false;
    /// The splitter may hold more whole events.
    bool isFull = false;
    /// Why the event after these was not taken.
    ContinuationFault fault = ContinuationFault::None;
};

/// Events in one batch. The caller lets others run between two batches, because an upstream may send thousands of tiny events at once.
inline constexpr size_t maxBatchEvents = 256;

/// Takes up to maxBatchEvents whole events out of a splitter. `continues`: the client has a part of the stream from another upstream, so that each event is
/// checked; the events of its first upstream are passed on as they are, unless they hold the head of another response.
EventBatch takeEvents(EventSplitter &splitter, const std::optional<std::string> &lastEventId, bool continues);

/// What is known of a stream whose body has ended as its framing says.
struct StreamEnd {
    /// The body has neither a length nor chunks.
    bool endsWithConnection = false;
    /// This response has delivered an event; events of earlier upstreams don't count.
    bool hasEvents = false;
    /// Bytes after the last whole event.
    size_t partialBytes = 0;
};

/// Why the stream has broken off, or an empty text if it is complete. A body with a length or chunks proves its own end, also without any event: a resumption
/// after the last event has none left. The end of the connection alone proves nothing before the first event.
std::string_view unfinishedReason(const StreamEnd &end);

} // namespace LibGateway
