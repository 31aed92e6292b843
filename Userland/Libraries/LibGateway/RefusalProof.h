#pragma once

#include <AK/EnumNames.h>
#include <LibGateway/Codec.h>

namespace LibGateway
{

/// Status by which an upstream refuses a request that is meant for another incarnation or other weights (421 Misdirected Request, RFC 9110).
inline constexpr int misdirectedStatus = 421;

/// What a response proves about the request that it was received for.
enum class RefusalProof {
    /// The response is no refusal: the request has run or may have.
    NoRefusal,
    /// The upstream has refused this request, which has not run and will not run.
    Proven,
    /// The response says that a request has not run, or has a status that promises it to clients, but may mean another request.
    Unproven,
};

inline constexpr std::array refusalProofNames{
    AK::EnumName{RefusalProof::NoRefusal, "no_refusal"},
    AK::EnumName{RefusalProof::Proven, "proven"},
    AK::EnumName{RefusalProof::Unproven, "unproven"},
};

/// A refusal is proven by the upstream's statement (or status 421) together with the request's id: an upstream in trouble may repeat an earlier refusal, and
/// connections are closed after a refusal, so that a repeated one with the same id can't follow a retry. `requestId` is the id of the request that was sent.
RefusalProof proofOfRefusal(int status, const ResponseInfo &info, const std::string &requestId);

} // namespace LibGateway
