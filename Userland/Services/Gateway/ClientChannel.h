#pragma once

#include <AK/EnumNames.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>
#include <LibLog/Logger.h>

namespace Gateway
{

/// Writes one response to the connection of a client. A call that does not fit the state of the response writes nothing, is logged and returns
/// kFailedPrecondition; inside a stream it also breaks the response off, so that the client never finds a second head in its body.
class ClientChannel
{
public:
    /// `closeAfter`: the connection ends after this response.
    ClientChannel(LibFiber::ByteChannel &channel, bool closeAfter);

    /// Sends an error response made by this entry. `retryAfter` is in ms, 0 for none.
    absl::Status refuse(kj::WaitScope &scope, int status, std::string_view reason, AK::Milliseconds retryAfter);

    /// Sends a complete response.
    absl::Status sendResponse(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, const std::string &body, bool bodyAllowed);

    /// Begins a chunked response; followed by writeStream() and endStream(). An empty part writes no chunk, since that would end the stream.
    absl::Status beginStream(kj::WaitScope &scope, const LibHttpStream::ResponseHead &head, std::string_view firstPart);
    absl::Status writeStream(kj::WaitScope &scope, std::string_view data);
    absl::Status endStream(kj::WaitScope &scope);

    /// Part of a response has been written.
    bool begun() const;
    /// A complete response has been written.
    bool complete() const;
    /// The client has closed its connection, as far as this host knows by now; see LibFiber::ByteChannel::peerHasClosed().
    bool hasLeft() const;
    bool closeAfter() const;
    /// Ends the connection after the response in progress.
    void requestClose();

private:
    enum class State {
        NotBegun,
        /// The head of a stream has been written, and not its end.
        Streaming,
        Complete,
        /// A write failed, or a call did not fit the state.
        Broken,
    };
    static constexpr std::array stateNames{
        AK::EnumName{State::NotBegun, "not_begun"},
        AK::EnumName{State::Streaming, "streaming"},
        AK::EnumName{State::Complete, "complete"},
        AK::EnumName{State::Broken, "broken"},
    };

    LibHttpStream::ResponseHead forwardedHead(const LibHttpStream::ResponseHead &head) const;
    absl::Status expectState(State expected, std::string_view operation);
    /// Writes data after which the response is in the state `next`.
    absl::Status write(kj::WaitScope &scope, std::string_view data, State next);

    LibFiber::ByteChannel &channel;
    bool close;
    State state = State::NotBegun;
    LibLog::Logger logger{"client"};
};

} // namespace Gateway
