#pragma once

#include <LibOnce/OnceRunner.h>
#include <absl/status/statusor.h>
#include <string_view>

namespace LibOnce
{

/// Kind of the claims in the object API.
inline constexpr const char *claimKind = "claims";

/// Larger answers are recorded without their body: the object API holds values up to 1 MB and JSON escapes make a body longer.
inline constexpr size_t recordedBodyLimitBytes = 256 << 10;

/// Largest claim that is written or read.
inline constexpr size_t claimLimitBytes = 1'000'000;

enum class ClaimState { Claimed, Done, NotRun, Unknown };

inline constexpr std::array claimStateNames{
    AK::EnumName{ClaimState::Claimed, "claimed"},
    AK::EnumName{ClaimState::Done, "done"},
    AK::EnumName{ClaimState::NotRun, "not_run"},
    AK::EnumName{ClaimState::Unknown, "unknown"},
};

/// The answer of the upstream as it is kept in a claim.
struct RecordedResponse {
    LibHttp::HttpResponse response;
    /// False when the body was too large to be kept; `response.body` is then empty.
    bool bodyKept = true;
    /// Length of the upstream's body, kept or not.
    size_t bodyBytes = 0;
};

/// One claim in the object API.
struct ClaimRecord {
    ClaimState state = ClaimState::Claimed;
    /// Names the write that made the claim; a fresh one for each write.
    std::string nonce;
    std::string bodyDigest;
    /// Process that wrote the claim, and what it is about: for operators only.
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
    /// Used in state Done only.
    RecordedResponse recordedResponse;
};

/// Name of the claim of a request: SHA-256 over the length-prefixed account, service, method, path and Idempotency-Key, so that no two requests that differ
/// in one of them share an encoding.
std::string claimName(const OnceRequest &request);

/// SHA-256 of the body.
std::string claimBodyDigest(const OnceRequest &request);

/// Limits an answer to what a claim may hold.
RecordedResponse toRecordedResponse(const LibHttp::HttpResponse &response);

/// JSON text of at most claimLimitBytes.
std::string serializeClaim(const ClaimRecord &record);

/// Errors: kInvalidArgument with the path of the field, its value and the limit.
absl::StatusOr<ClaimRecord> parseClaim(std::string_view text);

} // namespace LibOnce
