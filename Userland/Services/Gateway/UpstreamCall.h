#pragma once

#include "UpstreamConnectionPool.h"
#include <LibFleet/FleetState.h>
#include <LibGateway/Codec.h>
#include <LibHttpStream/MessageReader.h>

namespace Gateway
{

/// Result of sending a request to an upstream.
enum class SendOutcome {
    /// The head of a response arrived.
    Answered,
    /// It is certain that the request did not run and will not run.
    NotRun,
    /// The request was sent, and it is unknown whether it ran.
    Unknown,
};

inline constexpr std::array sendOutcomeNames{
    AK::EnumName{SendOutcome::Answered, "answered"},
    AK::EnumName{SendOutcome::NotRun, "not_run"},
    AK::EnumName{SendOutcome::Unknown, "unknown"},
};

/// Sends a call to one upstream and reads the response.
class UpstreamCall
{
public:
    UpstreamCall(LibFiber::Loop &loop, UpstreamConnectionPool &connections, const LibGateway::CallCodec &codec);

    struct Result {
        SendOutcome outcome = SendOutcome::Unknown;
        /// The request reached the upstream, which refused it.
        bool refusedByUpstream = false;
        std::string reason;
        /// The upstream ended the connection before it had sent the head of a response.
        bool connectionEnded = false;
    };

    /// Sends the request and reads the head of its response. Responses to other requests are dropped.
    Result send(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, const LibHttpStream::RequestHead &head, const std::string &body,
                const std::string &requestId, bool allowReuse, AK::Milliseconds deadline);

    /// Valid after SendOutcome::Answered.
    const LibHttpStream::ResponseHead &responseHead() const;
    const LibGateway::ResponseInfo &responseInfo() const;

    /// Returns the bytes of the body as they arrive; see BodyReader::next().
    absl::StatusOr<std::optional<std::string>> read(kj::WaitScope &scope, AK::Milliseconds deadline);

    /// The body has neither a length nor chunks; see BodyReader::endsWithConnection().
    bool endsWithConnection() const;

    /// Returns the connection to the pool if it can be reused: the response was read whole and nothing follows it.
    void finish();

private:
    Result receiveHead(kj::WaitScope &scope, const std::string &requestId, std::string_view method, AK::Milliseconds deadline);

    LibFiber::Loop &loop;
    UpstreamConnectionPool &connections;
    const LibGateway::CallCodec &codec;
    AK::Endpoint address;
    PooledConnection connection;
    std::string request;
    bool written = false;
    kj::Promise<void> writing = nullptr;
    LibHttpStream::ResponseHead head;
    LibGateway::ResponseInfo info;
    kj::Maybe<kj::Own<LibHttpStream::BodyReader>> body;
};

} // namespace Gateway
