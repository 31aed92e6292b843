#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/Loop.h>
#include <optional>
#include <string>
#include <string_view>

namespace LibFiber
{

/// A TCP connection with a read buffer. Abandoning a promise of this class loses no bytes: the read continues and fills the buffer.
class ByteChannel
{
public:
    ByteChannel(Loop &loop, kj::Own<kj::AsyncIoStream> stream);
    ~ByteChannel();
    KJ_DISALLOW_COPY(ByteChannel);

    /// Connects by IP address until `deadline`.
    /// Errors: kUnavailable when refused or unreachable, kDeadlineExceeded.
    static absl::StatusOr<kj::Own<ByteChannel>> connect(Loop &loop, kj::WaitScope &scope, const AK::Endpoint &endpoint, AK::Milliseconds deadline);

    /// Bytes received and not consumed.
    std::string_view buffered() const;
    /// Position of a delimiter in the buffered bytes. Bytes are searched once for the same delimiter, however often it is asked for while more arrive.
    std::optional<size_t> find(std::string_view delimiter);
    /// Removes bytes from the front of the buffer.
    void consume(size_t bytes);

    /// The loop that the channel runs on.
    Loop &eventLoop() const;

    /// Waits until more bytes are buffered.
    /// Errors: kOutOfRange when the peer closed its sending side, kUnavailable after a reset, also one that a write has seen first, kDeadlineExceeded.
    absl::Status fill(kj::WaitScope &scope, AK::Milliseconds deadline);

    /// Errors: kUnavailable, kDeadlineExceeded. After an error nothing more must be written; what the peer has sent can still be read.
    absl::Status write(kj::WaitScope &scope, std::string_view data, AK::Milliseconds deadline);

    /// Writes for as long as the peer goes on reading, however slowly, but no slower than minReadRate all in all.
    /// Errors: as write(); kDeadlineExceeded when the peer has acknowledged nothing for `stallTimeout` ms.
    absl::Status writeWhileRead(kj::WaitScope &scope, std::string_view data, AK::Milliseconds stallTimeout);

    /// Bytes per ms. What a slower peer has not read would fill the memory of this process for minutes.
    static constexpr int64_t minReadRate = 16;

    /// Resolves when the peer has closed its sending side or reset the connection. Reads ahead into the buffer up to 64 KiB; once those are buffered it does
    /// not resolve.
    kj::Promise<void> whenClosed();

    /// Resolves when a byte arrives or the connection ends. For idle connections, on which the peer is not expected to send.
    kj::Promise<void> whenReadable();

    /// True when a read has seen the end of the stream or a reset.
    bool ended() const;

    /// Whether the peer has closed its sending side or reset the connection, also when that has arrived and not been read yet. Asks the kernel. An end behind
    /// bytes that have not been read is not seen.
    bool peerHasClosed();

    /// Closes the sending side after all data written so far (TCP half-close).
    void finishWriting();

    /// Makes the destructor send a reset instead of a normal close, so that the peer cannot take a truncated response for a complete one.
    void resetOnClose();

private:
    enum class ReadState { Idle, Pending, Ended, Broken };

    kj::Promise<void> readMore();
    void startRead();
    /// Notes whether a write has got the error of the connection, and returns its status.
    absl::Status noteWriteError(absl::Status status);
    /// Bytes that the peer has acknowledged since the connection was opened; nothing when the system does not tell.
    std::optional<uint64_t> acknowledgedBytes() const;

    Loop &loop;
    kj::Own<kj::AsyncIoStream> stream;
    std::string buffer;
    size_t consumed = 0;
    /// Delimiter that find() last looked for, and how many of the buffered bytes don't contain it.
    std::string searchedDelimiter;
    size_t searched = 0;
    ReadState state = ReadState::Idle;
    int writesInProgress = 0;
    /// A write or a look at the socket has got the error of the connection. The kernel reports it once, and reads then see a clean end.
    bool errorTaken = false;
    kj::Maybe<kj::ForkedPromise<void>> pending;
    kj::Array<kj::byte> scratch;
};

} // namespace LibFiber
