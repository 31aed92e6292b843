#pragma once

#include <LibOnce/OnceRunner.h>
#include <absl/status/statusor.h>
#include <string_view>

namespace LibOnce
{

/// Kind of object under which the object API stores claims.
inline constexpr const char *claimKind = "claims";

/// A response with a larger body is recorded without it: the object API stores values of up to 1 MB, and JSON escapes lengthen a body.
inline constexpr size_t recordedBodyLimitBytes = 256 << 10;

/// Size of the largest claim that is written or read.
inline constexpr size_t maxClaimBytes = 1'000'000;

enum class ClaimState { Claimed, Done, NotRun, Unknown };

inline constexpr std::array claimStateNames{
    AK::EnumName{ClaimState::Claimed, "claimed"},
    AK::EnumName{ClaimState::Done, "done"},
    AK::EnumName{ClaimState::NotRun, "not_run"},
    AK::EnumName{ClaimState::Unknown, "unknown"},
};

/// The response of the upstream as stored in a claim.
struct RecordedResponse {
    LibHttp::HttpResponse response;
    /// False when the body was too large to be stored; `response.body` is then empty.
    bool bodyKept = true;
    /// Length of the body that the upstream sent, whether or not it is stored.
    size_t bodyBytes = 0;
};

/// One claim in the object API.
struct ClaimRecord {
    ClaimState state = ClaimState::Claimed;
    /// Identifies the write that created the claim; each write uses a new one.
    std::string nonce;
    std::string bodyDigest;
    /// Process that wrote the claim and the request that it belongs to. Only shown to operators.
    std::string owner;
    std::string account;
    std::string service;
    std::string method;
    std::string path;
    std::string idempotencyKey;
    /// Wall time in milliseconds.
    AK::Milliseconds claimedAt = 0;
    AK::Milliseconds expiresAt = 0;
    std::string reason;
    /// Set only in state Done.
    RecordedResponse recordedResponse;
};

/// Name of the claim of a request: SHA-256 of the account, service, method, path and Idempotency-Key, each prefixed with its length so that requests that
/// differ in any of them never have the same encoding.
std::string claimName(const OnceRequest &request);

/// SHA-256 of the body.
std::string claimBodyDigest(const OnceRequest &request);

/// Converts a response to what a claim can store: without a body over recordedBodyLimitBytes, and with only the content type when the headers are too large.
RecordedResponse toRecordedResponse(const LibHttp::HttpResponse &response);

/// JSON text of at most maxClaimBytes.
std::string serializeClaim(const ClaimRecord &record);

/// Errors: kInvalidArgument with the path of the field, its value and the limit.
absl::StatusOr<ClaimRecord> parseClaim(std::string_view text);

} // namespace LibOnce
