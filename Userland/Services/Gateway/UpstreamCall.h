#pragma once

#include "UpstreamConnectionPool.h"
#include <LibFleet/FleetState.h>
#include <LibGateway/Codec.h>
#include <LibHttpStream/MessageReader.h>

namespace Gateway
{

/// How far a send to an upstream got.
enum class SendOutcome {
    /// The head of an answer arrived.
    Answered,
    /// It is certain that the request did not run and will not run.
    NotRun,
    /// The request was sent and nothing tells whether it ran.
    Unknown,
};

inline constexpr std::array sendOutcomeNames{
    AK::EnumName{SendOutcome::Answered, "answered"},
    AK::EnumName{SendOutcome::NotRun, "not_run"},
    AK::EnumName{SendOutcome::Unknown, "unknown"},
};

/// One send of a call to one upstream, and its answer.
class UpstreamCall
{
public:
    UpstreamCall(LibFiber::Loop &loop, UpstreamConnectionPool &links, const LibGateway::CallCodec &codec);

    struct Result {
        SendOutcome outcome = SendOutcome::Unknown;
        /// The request reached the upstream, which refused it.
        bool refusedByUpstream = false;
        std::string reason;
    };

    /// Sends the request and reads the head of its answer. An answer to another request is dropped.
    Result send(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, const LibHttpStream::RequestHead &head, const std::string &body,
                const std::string &requestId, bool allowReuse, AK::Milliseconds deadline);

    /// After SendOutcome::Answered.
    const LibHttpStream::ResponseHead &answerHead() const;
    const LibGateway::ResponseInfo &answerInfo() const;

    /// Bytes of the body as they arrive; see BodyReader::next().
    absl::StatusOr<std::optional<std::string>> read(kj::WaitScope &scope, AK::Milliseconds deadline);

    /// Gives the connection back when the whole answer was read and nothing else is on it.
    void finish();

private:
    Result receiveHead(kj::WaitScope &scope, const std::string &requestId, std::string_view method, AK::Milliseconds deadline);

    LibFiber::Loop &loop;
    UpstreamConnectionPool &links;
    const LibGateway::CallCodec &codec;
    AK::Endpoint address;
    PooledConnection link;
    std::string request;
    bool written = false;
    kj::Promise<void> writing = nullptr;
    LibHttpStream::ResponseHead head;
    LibGateway::ResponseInfo info;
    kj::Maybe<kj::Own<LibHttpStream::BodyReader>> body;
};

} // namespace Gateway
