#pragma once

#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/BodyMemory.h>
#include <LibHttpStream/MessageHead.h>
#include <optional>

namespace LibHttpStream
{

/// Size limits for reading a message.
struct ReadLimits {
    size_t headBytes = 16384;
    uint64_t bodyBytes = 4UL << 20;
};

/// Reads the head of a message as text, without the empty line.
/// Errors: kOutOfRange when the peer closed the connection before the first byte, kInvalidArgument when it closed it inside the head, kResourceExhausted when
/// the head exceeds `headBytes`, kDeadlineExceeded, kUnavailable.
absl::StatusOr<std::string> readHeadText(LibFiber::ByteChannel &channel, kj::WaitScope &scope, size_t headBytes, AK::Milliseconds deadline);

/// Reads one message body from a channel incrementally, as it arrives. Lets others run between the pieces of a body that arrives faster than it is read.
class BodyReader
{
public:
    BodyReader(LibFiber::ByteChannel &channel, BodyFraming framing);

    /// The next bytes, or std::nullopt at the end of the body as its framing defines it.
    /// Errors: kDataLoss when the body ended early, kInvalidArgument for invalid framing, kDeadlineExceeded, kUnavailable. After kDeadlineExceeded no byte is
    /// lost, and the next call goes on.
    absl::StatusOr<std::optional<std::string>> next(kj::WaitScope &scope, AK::Milliseconds deadline);

    /// Monotonic time of the loop that the channel runs on.
    AK::Milliseconds now() const;

    /// True when the whole body was read and the connection can be used for another message.
    bool reusable() const;

    /// The body ends with the connection, so that its end does not show that it is whole.
    bool endsWithConnection() const;

private:
    /// What follows next in a chunked body.
    enum class ChunkPart { Size, Data, DataEnd, Trailers };

    void yieldBetweenPieces(kj::WaitScope &scope);
    absl::StatusOr<std::optional<std::string>> nextSized(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::StatusOr<std::optional<std::string>> nextChunked(kj::WaitScope &scope, AK::Milliseconds deadline);
    // Reads up to the data of the next chunk, or to the end of the body.
    absl::Status readUpToChunkData(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::StatusOr<std::optional<std::string>> nextUntilClose(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::StatusOr<std::string> readLine(kj::WaitScope &scope, AK::Milliseconds deadline);
    // Waits for more bytes; the end of the stream is kDataLoss.
    absl::Status fillChannel(kj::WaitScope &scope, AK::Milliseconds deadline);
    // Up to `maxBytes` of the buffered bytes; waits when there are none.
    absl::StatusOr<std::string> takeBuffered(kj::WaitScope &scope, uint64_t maxBytes, AK::Milliseconds deadline);

    LibFiber::ByteChannel &channel;
    BodyFraming framing;
    uint64_t remaining = 0;
    /// Of a chunked body: bytes of its content, of the extensions of its chunks and of its trailers so far.
    uint64_t dataBytes = 0;
    uint64_t extensionBytes = 0;
    size_t trailerBytes = 0;
    ChunkPart chunkPart = ChunkPart::Size;
    bool done = false;
    /// Pieces read in a row without waiting.
    int piecesInTurn = 0;
};

/// Reads a whole body. `share`: takes the memory for it; must live as long as the body; nullptr for bodies that are small.
/// Errors: those of BodyReader::next(), also kDeadlineExceeded when bytes keep arriving past the deadline, kResourceExhausted above `bodyBytes`, kAborted when
/// other bodies hold the memory.
absl::StatusOr<std::string> readBody(BodyReader &reader, kj::WaitScope &scope, uint64_t bodyBytes, AK::Milliseconds deadline, BodyShare *share = nullptr);

} // namespace LibHttpStream
