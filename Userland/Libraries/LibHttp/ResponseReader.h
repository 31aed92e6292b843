#pragma once

#include <LibHttp/ClientSocket.h>
#include <LibHttpStream/MessageHead.h>
#include <string>

namespace LibHttp
{

/// Reads one response from a connection as it arrives. What it keeps is bounded, whatever the server sends: one buffer of 64 KiB. All waits end at the deadline
/// of the response, those for the body also when the server has sent nothing for 30 s, which is kDataLoss.
class ResponseReader
{
public:
    /// `deadline` is a time of AK::SystemClock::now().
    ResponseReader(std::unique_ptr<ClientSocket> socket, AK::Milliseconds deadline);

    /// Reads the head of the response to a request with `method`. Skips informational responses and empty lines, which count to the limit of 16 KiB.
    /// Errors: kDataLoss when the head is malformed, too large or cut, kUnavailable, kDeadlineExceeded.
    absl::StatusOr<LibHttpStream::ResponseHead> readHead(const std::string &method);

    /// The bytes of the body that have arrived and were not consumed, which stay valid until the next call; waits when there are none. Empty at the end.
    /// Errors: kDataLoss when the body ends before its length or its final chunk or is malformed, kDeadlineExceeded.
    absl::StatusOr<std::string_view> peek();

    /// Removes the first bytes of what peek() returned.
    void consume(size_t bytes);

    /// The length of the body, when the head tells it.
    const LibHttpStream::BodyFraming &framing() const;

    /// Waits, also beyond the deadline, until the server sends more, ends the connection or has sent nothing for 30 s.
    void waitForActivity();

    /// As ClientSocket::cancel().
    void cancel();

private:
    /// What follows next in a chunked body.
    enum class ChunkPart { Size, Data, DataEnd, Trailers, End };

    std::string_view buffered() const;
    // Waits for more bytes. False at the end of the connection.
    absl::StatusOr<bool> fill();
    // The next line with its end, which must be consumed.
    absl::StatusOr<std::string_view> peekLine();
    absl::Status readUpToChunkData();

    std::unique_ptr<ClientSocket> socket;
    AK::Milliseconds deadline;
    LibHttpStream::BodyFraming bodyFraming;
    ChunkPart chunkPart = ChunkPart::Size;
    /// Bytes of the body, or of the chunk, that were not consumed.
    uint64_t remaining = 0;
    size_t trailerBytes = 0;
    AK::Milliseconds lastReceivedAt;
    bool headRead = false;
    std::string buffer;
    size_t begin = 0;
    size_t end = 0;
};

} // namespace LibHttp
