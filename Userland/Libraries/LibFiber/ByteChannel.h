#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/Loop.h>
#include <string>
#include <string_view>

namespace LibFiber
{

/// One TCP connection with a read buffer. Reading ahead while something else is awaited never loses bytes: a read that is not awaited any more goes on.
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
    void consume(size_t bytes);

    /// Waits for more bytes than those buffered.
    /// Errors: kOutOfRange when the peer ended its direction, kUnavailable after a reset, kDeadlineExceeded.
    absl::Status fill(kj::WaitScope &scope, AK::Milliseconds deadline);

    /// Errors: kUnavailable, kDeadlineExceeded. The channel can't be used after an error.
    absl::Status write(kj::WaitScope &scope, std::string_view data, AK::Milliseconds deadline);

    /// Resolves when the peer has ended its direction or reset the connection. Reads ahead into the buffer up to a bound; never resolves beyond it.
    kj::Promise<void> whenClosed();

    /// Resolves when a byte arrives or the connection ends, while nothing is expected.
    kj::Promise<void> whenReadable();

    /// True when the peer has ended or reset the connection, as far as is known.
    bool ended() const;

    /// Ends our direction after all that was written.
    void finishWriting();

    /// Makes the connection reset instead of end when it is dropped, so that a cut answer can't look complete.
    void resetOnClose();

private:
    enum class ReadState { Idle, Pending, Ended, Broken };

    kj::Promise<void> readMore();
    void startRead();

    Loop &loop;
    kj::Own<kj::AsyncIoStream> stream;
    std::string buffer;
    size_t consumed = 0;
    ReadState state = ReadState::Idle;
    kj::Maybe<kj::ForkedPromise<void>> pending;
    kj::Array<kj::byte> scratch;
};

} // namespace LibFiber
