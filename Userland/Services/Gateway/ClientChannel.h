#pragma once

#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>

namespace Gateway
{

/// Writes answers to the connection of a client.
class ClientChannel
{
public:
    ClientChannel(LibFiber::Loop &loop, LibFiber::ByteChannel &channel, bool closeAfter);

    /// An answer of the system's own. `retryAfter` in ms, 0 for none.
    absl::Status refuse(kj::WaitScope &scope, int status, std::string_view reason, AK::Milliseconds retryAfter);

    /// A whole answer of an upstream.
    absl::Status answer(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, const std::string &body, bool bodyAllowed);

    /// Begins a chunked answer; followed by part() and end().
    absl::Status begin(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, std::string_view firstPart);
    absl::Status part(kj::WaitScope &scope, std::string_view data);
    absl::Status end(kj::WaitScope &scope);

    /// Something of an answer has been written.
    bool begun() const;
    /// A whole answer has been written.
    bool complete() const;
    bool closeAfter() const;
    /// The connection ends after the answer in progress.
    void requestClose();

private:
    LibHttpStream::ResponseHead forwarded(const LibHttpStream::ResponseHead &head) const;
    absl::Status write(kj::WaitScope &scope, std::string_view data);

    LibFiber::Loop &loop;
    LibFiber::ByteChannel &channel;
    bool close;
    bool started = false;
    bool finished = false;
};

} // namespace Gateway
