#pragma once

#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>
#include <optional>

namespace LibHttpStream
{

/// Bounds of a message that is read.
struct ReadLimits {
    size_t headBytes = 16384;
    uint64_t bodyBytes = 4UL << 20;
};

/// Reads the head of a message as text, without the empty line.
/// Errors: kOutOfRange when the peer ended before the first byte, kInvalidArgument when it ended inside, kResourceExhausted when the head exceeds
/// `headBytes`, kDeadlineExceeded, kUnavailable.
absl::StatusOr<std::string> readHeadText(LibFiber::ByteChannel &channel, kj::WaitScope &scope, size_t headBytes, AK::Milliseconds deadline);

/// Reads one body from a channel, piece by piece as it arrives.
class BodyReader
{
public:
    BodyReader(LibFiber::ByteChannel &channel, BodyFraming framing);

    /// The next bytes, or nothing at the true end of the body.
    /// Errors: kDataLoss when the body ended early, kInvalidArgument for broken framing, kDeadlineExceeded, kUnavailable.
    absl::StatusOr<std::optional<std::string>> next(kj::WaitScope &scope, AK::Milliseconds deadline);

    /// True when the whole body was read and the connection can carry another message.
    bool reusable() const;

private:
    absl::StatusOr<std::optional<std::string>> nextCounted(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::StatusOr<std::optional<std::string>> nextChunked(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::StatusOr<std::optional<std::string>> nextUntilClose(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::StatusOr<std::string> readLine(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::Status more(kj::WaitScope &scope, AK::Milliseconds deadline);
    absl::StatusOr<std::string> take(kj::WaitScope &scope, uint64_t atMost, AK::Milliseconds deadline);

    LibFiber::ByteChannel &channel;
    BodyFraming framing;
    uint64_t left = 0;
    bool insideChunk = false;
    bool done = false;
};

/// Reads a whole body.
/// Errors: those of BodyReader::next(), kResourceExhausted above `bodyBytes`.
absl::StatusOr<std::string> readBody(BodyReader &reader, kj::WaitScope &scope, uint64_t bodyBytes, AK::Milliseconds deadline);

} // namespace LibHttpStream
