#pragma once

#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>

namespace Gateway
{

/// Writes responses to the connection of a client.
class ClientChannel
{
public:
    /// `closeAfter`: the connection ends after this response.
    ClientChannel(LibFiber::Loop &loop, LibFiber::ByteChannel &channel, bool closeAfter);

    /// Sends an error response made by this entry. `retryAfter` is in ms, 0 for none.
    absl::Status refuse(kj::WaitScope &scope, int status, std::string_view reason, AK::Milliseconds retryAfter);

    /// Sends a complete response.
    absl::Status sendResponse(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, const std::string &body, bool bodyAllowed);

    /// Begins a chunked response; followed by writeStream() and endStream().
    absl::Status beginStream(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, std::string_view firstPart);
    absl::Status writeStream(kj::WaitScope &scope, std::string_view data);
    absl::Status endStream(kj::WaitScope &scope);

    /// Part of a response has been written.
    bool begun() const;
    /// A complete response has been written.
    bool complete() const;
    bool closeAfter() const;
    /// Ends the connection after the response in progress.
    void requestClose();

private:
    LibHttpStream::ResponseHead forwardedHead(const LibHttpStream::ResponseHead &head) const;
    absl::Status write(kj::WaitScope &scope, std::string_view data);

    LibFiber::Loop &loop;
    LibFiber::ByteChannel &channel;
    bool close;
    bool responseStarted = false;
    bool responseComplete = false;
};

} // namespace Gateway
