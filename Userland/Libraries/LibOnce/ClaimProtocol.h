#pragma once

#include <AK/Random.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibOnce/ClaimRecord.h>
#include <optional>

namespace LibOnce
{

/// Settings of this process for the claim protocol.
struct ClaimSettings {
    /// Name of this process.
    std::string owner;
    AK::Milliseconds storeTimeout = 1'000;
    /// Longest time between sending a claim to the store and starting its dispatch.
    AK::Milliseconds dispatchWindow = 2'000;
    /// Time until a claim expires.
    AK::Milliseconds lifetime = AK::Milliseconds{7} * 24 * 3'600'000;
};

/// A claim that this process holds. Only the holder may dispatch the request, before `startBefore`, or update the record.
struct HeldClaim {
    std::string name;
    /// Version created by the write of the claim; for an abandoned claim the version that the write was to replace, 0 for a create.
    uint64_t version = 0;
    ClaimRecord record;
    /// Monotonic time; the dispatch window starts before the write of the claim is sent.
    AK::Milliseconds startBefore = 0;
};

/// Result of an attempt to claim a request.
struct ClaimAttempt {
    /// Set when the request may be dispatched.
    std::optional<HeldClaim> held;
    /// Result for the caller when `held` is not set.
    OnceResult result;
    /// A claim whose write may still take effect although its request will never be dispatched; it must be marked not_run.
    std::optional<HeldClaim> abandoned;
};

enum class RecordResult {
    /// The outcome is recorded, or can no longer be recorded because the stored record belongs to another attempt, is malformed or already has an outcome.
    Finished,
    /// The store did not confirm the write; retry later.
    Retry,
};

/// Builds a result with a JSON error for the caller and, when `retryAfterSeconds` is positive, a Retry-After header.
OnceResult errorResult(Outcome outcome, int status, const std::string &reason, int retryAfterSeconds = 0);

/// Claims a request by creating its claim, or by a conditional update of a claim in state not_run. Uses a new nonce for each write.
ClaimAttempt acquireClaim(LibObjectStore::ObjectStore &store, const AK::Clock &clock, AK::Random &random, const ClaimSettings &settings,
                          const OnceRequest &request);

/// Records the outcome in `claim.record` by one conditional update on the version that the holder wrote.
RecordResult recordOutcome(LibObjectStore::ObjectStore &store, const ClaimSettings &settings, const HeldClaim &claim);

/// Reads the claim again and records the outcome in `claim.record` when the stored record still has the nonce of this claim and the state claimed.
RecordResult retryOutcome(LibObjectStore::ObjectStore &store, const ClaimSettings &settings, const HeldClaim &claim);

/// Removes at most `limit` claims whose name starts with `prefix` and that expired before `wallTime`. Returns the number removed, or the error of the store.
absl::StatusOr<int> removeExpiredClaims(LibObjectStore::ObjectStore &store, const ClaimSettings &settings, const std::string &prefix, AK::Milliseconds wallTime,
                                        int limit);

} // namespace LibOnce
