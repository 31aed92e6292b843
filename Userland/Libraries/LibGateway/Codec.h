#pragma once

#include <AK/Clock.h>
#include <LibHttpStream/MessageHead.h>
#include <optional>
#include <string>

namespace LibGateway
{

/// A call of a client, decoded once at the boundary.
struct CallRequest {
    /// One per attempt of a client.
    std::string id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// The client stops waiting this long after the call arrived, in ms.
    std::optional<AK::Milliseconds> clientTimeout;
    /// Key of the client account.
    std::optional<std::string> key;
    std::string model;
    /// Tokens of the prompt and the most that may be generated; 0 when not said.
    int64_t promptTokens = 0;
    int64_t answerTokenLimit = 0;
    /// The client's estimate of the generated tokens.
    std::optional<int64_t> answerTokenHint;
    /// The client resumes a stream behind this event.
    std::optional<std::string> lastEventId;
};

/// What is set on a request for the one upstream that it is sent to.
struct UpstreamTarget {
    /// Instance that must answer; another at the same address refuses without running.
    std::string instance;
    std::string account;
    AK::Milliseconds timeLeft = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// Weights that must answer, 0 for any.
    int64_t weightsVersion = 0;
    std::optional<std::string> lastEventId;
};

/// What an upstream says of its answer.
struct ResponseInfo {
    /// Echo of CallRequest::id; empty when missing.
    std::string requestId;
    /// The upstream states that it did not run the request.
    bool notRun = false;
    /// The answer was made by the upstream's application.
    bool authentic = false;
    struct Load {
        int running = 0;
        int waiting = 0;
        int slots = 0;
    };
    std::optional<Load> load;
};

/// Translates between the wire of the clients and upstreams and the types above.
class CallCodec
{
public:
    virtual ~CallCodec() = default;

    /// Errors: kInvalidArgument with the header and what is wrong.
    virtual absl::StatusOr<CallRequest> decodeRequest(const LibHttpStream::RequestHead &head) const = 0;
    /// The request as the upstream gets it, without headers that frame the body.
    virtual LibHttpStream::RequestHead encodeRequest(const LibHttpStream::RequestHead &head, const UpstreamTarget &target) const = 0;
    virtual ResponseInfo decodeResponse(const LibHttpStream::ResponseHead &head) const = 0;
};

} // namespace LibGateway
