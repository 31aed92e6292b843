#pragma once

#include <AK/Clock.h>
#include <LibHttpStream/MessageHead.h>
#include <optional>
#include <string>
#include <vector>

namespace LibGateway
{

/// A call of a client, decoded from its request head.
struct CallRequest {
    /// Id that the client gives each of its attempts.
    std::string id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// Time from the arrival of the call until the client stops waiting, in ms.
    std::optional<AK::Milliseconds> clientTimeout;
    /// API key of the client account.
    std::optional<std::string> key;
    std::string model;
    /// Tokens of the prompt, and the most that may be generated; 0 when not given.
    int64_t promptTokens = 0;
    int64_t answerTokenLimit = 0;
    /// The client's estimate of the generated tokens.
    std::optional<int64_t> answerTokenHint;
    /// The client resumes a stream after this event.
    std::optional<std::string> lastEventId;
    /// Ids of the parts of the prompt that other requests may share, in order; the last part belongs to the request or its session alone and is left out.
    std::vector<std::string> sharedPromptParts;
    /// Id of the last part of the prompt; a client that repeats a request sends the same. Empty when not given.
    std::string lastPromptPart;
};

/// What the request to one upstream carries besides the client's request.
struct UpstreamTarget {
    /// Instance that must respond; another one at the same address refuses without running the request.
    std::string instance;
    std::string account;
    AK::Milliseconds timeLeft = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// Version of the weights that must be used, 0 for any.
    int64_t weightsVersion = 0;
    std::optional<std::string> lastEventId;
};

/// What the head of an upstream's response says about the call.
struct ResponseInfo {
    /// Echo of CallRequest::id; empty when missing.
    std::string requestId;
    /// The upstream states that it did not run the request.
    bool notRun = false;
    /// The response was made by the upstream's application.
    bool authentic = false;
    struct Load {
        int running = 0;
        int waiting = 0;
        int slots = 0;
        /// Time that work takes on the upstream's host now, relative to the usual time; nothing when it is not stated.
        std::optional<double> slowness;
    };
    std::optional<Load> load;
    /// Calls a second that the upstream takes from all entries together, while its responses say so.
    std::optional<double> callsPerSecondLimit;
    /// The upstream is about to stop and wants no new calls.
    bool leaving = false;
    /// The upstream has refused the call and wants no calls of this entry for this long, in ms; as stated, without an upper limit.
    std::optional<AK::Milliseconds> pause;
};

/// Translates between the HTTP headers of clients and upstreams and the types above.
class CallCodec
{
public:
    virtual ~CallCodec() = default;

    /// Errors: kInvalidArgument, naming the header and what is wrong with it.
    virtual absl::StatusOr<CallRequest> decodeRequest(const LibHttpStream::RequestHead &head) const = 0;
    /// The request head for the upstream, without the headers that frame the body.
    virtual LibHttpStream::RequestHead encodeRequest(const LibHttpStream::RequestHead &head, const UpstreamTarget &target) const = 0;
    virtual ResponseInfo decodeResponse(const LibHttpStream::ResponseHead &head) const = 0;
};

} // namespace LibGateway
