#pragma once

#include <AK/Random.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibOnce/ClaimRecord.h>
#include <optional>

namespace LibOnce
{

/// What the protocol needs to know about this process.
struct ClaimRules {
    std::string owner;
    AK::Milliseconds storeTimeout = 1'000;
    /// A dispatch starts at most this long after its claim was sent to the store.
    AK::Milliseconds dispatchWindow = 2'000;
    /// How long a claim is kept.
    AK::Milliseconds lifetime = AK::Milliseconds{7} * 24 * 3'600'000;
};

/// A claim that this process holds. Only its holder may dispatch, before `startBefore`, or change its record.
struct HeldClaim {
    std::string name;
    /// Version that the claim's write made; for an abandoned claim the version that it meant to replace, 0 for a create.
    uint64_t version = 0;
    ClaimRecord record;
    /// Monotonic time, counted from before the write of the claim was sent.
    AK::Milliseconds startBefore = 0;
};

/// Result of an attempt to claim a request.
struct ClaimAttempt {
    /// Set when the request may be dispatched.
    std::optional<HeldClaim> held;
    /// The answer to the caller when `held` is not set.
    OnceResult refusal;
    /// A claim whose write may still take effect although it will never be dispatched; it has to be marked not_run.
    std::optional<HeldClaim> abandoned;
};

enum class RecordResult {
    /// The outcome is recorded, or cannot be because the record no longer belongs to the claim.
    Finished,
    /// The store did not confirm it; try again later.
    Retry,
};

/// A JSON error for the caller with the outcome, and Retry-After when `retryAfterSeconds` is positive.
OnceResult refusal(Outcome outcome, int status, const std::string &reason, int retryAfterSeconds = 0);

/// Claims a request: create, or conditional update of a claim that was recorded as not_run. Uses a fresh nonce for each write.
ClaimAttempt acquireClaim(LibObjectStore::ObjectStore &store, const AK::Clock &clock, AK::Random &random, const ClaimRules &rules, const OnceRequest &request);

/// Records the outcome in `claim.record` by one conditional update on the version that the holder wrote.
RecordResult recordOutcome(LibObjectStore::ObjectStore &store, const ClaimRules &rules, const HeldClaim &claim);

/// Reads the claim again and records the outcome in `claim.record` when the record still carries the nonce of this claim in state claimed.
RecordResult retryOutcome(LibObjectStore::ObjectStore &store, const ClaimRules &rules, const HeldClaim &claim);

/// Removes at most `limit` claims with the name prefix that expired before `wallTime`. Returns their number, or the store's error.
absl::StatusOr<int> removeExpiredClaims(LibObjectStore::ObjectStore &store, const ClaimRules &rules, const std::string &prefix, AK::Milliseconds wallTime,
                                        int limit);

} // namespace LibOnce
