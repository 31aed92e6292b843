#pragma once

#include "UpstreamConnectionPool.h"
#include <LibFleet/FleetState.h>
#include <LibGateway/Availability.h>
#include <LibGateway/Codec.h>
#include <LibHttpStream/MessageReader.h>
#include <functional>

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
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall &) = delete;
    UpstreamCall &operator=(const UpstreamCall &) = delete;

    /// Sets the function that gets what the upstream says of itself, as soon as the head of its response is there and whatever the response proves.
    void onHead(std::function<void(const LibGateway::ResponseInfo &)> observer);

    struct Result {
        SendOutcome outcome = SendOutcome::Unknown;
        /// The request reached the upstream, which refused it.
        bool refusedByUpstream = false;
        std::string reason;
        /// The upstream ended the connection before it had sent the head of a response.
        bool connectionEnded = false;
        /// No head has come in time; receiveHead() may go on.
        bool silent = false;
        /// The response claims success without proof that the upstream made it.
        bool unproven = false;
        /// Nothing was sent, because the upstream may not get the call any more.
        std::optional<LibGateway::Obstacle> withheldBy;
        /// The refusal says that another incarnation, or other weights than expected, are at the address.
        bool misdirected = false;
    };

    /// Names what keeps the call from its upstream by now.
    using SendCheck = std::function<std::optional<LibGateway::Hindrance>()>;

    /// Makes the head of the request.
    using HeadSource = std::function<LibHttpStream::RequestHead()>;

    /// Sends the request until `deadline` and reads the head of its response until `headDeadline`. A connection may take long to open, so `check` is asked
    /// again once it is open; the request is written only if nothing keeps the call from the upstream. `makeHead` is asked after it, because the head states
    /// the time left. Responses to other requests are dropped. A success counts only with its proof, and a refusal counts as SendOutcome::NotRun only if it is
    /// proven to be the response to this request; see LibGateway::proofOfRefusal().
    Result send(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, const HeadSource &makeHead, const std::string &body,
                const std::string &requestId, bool allowReuse, AK::Milliseconds headDeadline, AK::Milliseconds deadline, const SendCheck &check);

    /// Goes on reading the head of the response after a result that was silent.
    Result receiveHead(kj::WaitScope &scope, AK::Milliseconds deadline);

    /// Resolves when more bytes arrive or the connection ends.
    kj::Promise<void> whenReadable();

    /// Resets the connection, which stops the work at the upstream; a request that a standing host has not read yet is dropped there.
    void close();
    bool closed() const;

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
    /// The result of a response to this request by its head.
    Result judgeRefusal(kj::WaitScope &scope);
    /// More bytes have arrived with a refusal that don't repeat it and don't belong to another request.
    bool isContradicted(kj::WaitScope &scope);

    LibFiber::Loop &loop;
    UpstreamConnectionPool &connections;
    const LibGateway::CallCodec &codec;
    std::function<void(const LibGateway::ResponseInfo &)> headObserver;
    AK::Endpoint address;
    PooledConnection connection;
    std::string request;
    std::string requestId;
    std::string method;
    int mismatchedResponses = 0;
    bool written = false;
    kj::Promise<void> writing = nullptr;
    LibHttpStream::ResponseHead head;
    LibGateway::ResponseInfo info;
    kj::Maybe<kj::Own<LibHttpStream::BodyReader>> body;
};

} // namespace Gateway
