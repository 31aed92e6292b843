#include <LibOnce/ClaimProtocol.h>

#include <AK/Text.h>
#include <nlohmann/json.hpp>

namespace LibOnce
{

namespace
{

using LibObjectStore::ObjectStore;
using LibObjectStore::StoredObject;

// Each attempt fails when another process writes the claim between the read and the conditional update; repeated failures mean that the key is contended.
constexpr int maxAttempts = 3;

HeldClaim newClaim(const AK::Clock &clock, AK::Random &random, const ClaimSettings &settings, const OnceRequest &request)
{
    HeldClaim claim;
    claim.name = claimName(request);
    claim.record.nonce = AK::randomHex(random, 32);
    claim.record.bodyDigest = claimBodyDigest(request);
    claim.record.owner = settings.owner;
    claim.record.account = request.account;
    claim.record.service = request.service;
    claim.record.method = request.method;
    claim.record.path = request.path;
    claim.record.idempotencyKey = request.idempotencyKey;
    claim.record.claimedAt = clock.wallTime();
    claim.record.expiresAt = claim.record.claimedAt + settings.lifetime;
    // The window starts before the write is sent, so that a pause of the process at any later point counts against it.
    claim.startBefore = clock.now() + settings.dispatchWindow;
    return claim;
}

bool hadNoEffect(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kUnavailable || status.code() == absl::StatusCode::kResourceExhausted
        || status.code() == absl::StatusCode::kInvalidArgument;
}

bool conditionFailed(const absl::Status &status)
{
    return status.code() == absl::StatusCode::kFailedPrecondition || status.code() == absl::StatusCode::kAlreadyExists;
}

OnceResult replayedResult(const ClaimRecord &record)
{
    OnceResult result;
    result.outcome = Outcome::Done;
    result.replayed = true;
    if (record.recordedResponse.bodyKept) {
        result.response = record.recordedResponse.response;
        return result;
    }
    // A response without its body must not look complete, so the recorded status is reported only in the error text.
    result = errorResult(Outcome::Done, 410,
                         AK::concat("the call ran once with status ", record.recordedResponse.response.status, "; its answer of ",
                                    record.recordedResponse.bodyBytes, " bytes is over the limit of ", recordedBodyLimitBytes, " bytes and was not kept"));
    result.replayed = true;
    return result;
}

// The result for a request whose claim was written by another attempt; nothing when that claim is in state not_run and may be claimed again.
std::optional<OnceResult> resultForExistingClaim(const ClaimRecord &record, const std::string &bodyDigest)
{
    if (record.bodyDigest != bodyDigest) {
        return errorResult(Outcome::NotRun, 422, "the Idempotency-Key was used with another body");
    }
    switch (record.state) {
    case ClaimState::Done:
        return replayedResult(record);
    case ClaimState::NotRun:
        return std::nullopt;
    case ClaimState::Claimed:
        return errorResult(Outcome::Unknown, 409, "another attempt holds the claim of this Idempotency-Key");
    case ClaimState::Unknown:
        return errorResult(Outcome::Unknown, 409, "the outcome of an earlier attempt with this Idempotency-Key is not known");
    }
    return errorResult(Outcome::Unknown, 409, "the claim has no known state");
}

// Result of one write of a claim.
struct WriteStep {
    std::optional<ClaimAttempt> finished;
    /// A stored claim in state not_run that the next write is to replace.
    std::optional<StoredObject> reclaim;
};

WriteStep finishedStep(OnceResult result)
{
    return {ClaimAttempt{std::nullopt, std::move(result), std::nullopt}, std::nullopt};
}

// Decides by the stored record after a write of `claim` that failed or was not confirmed.
WriteStep evaluateStoredClaim(const HeldClaim &claim, const StoredObject &object)
{
    const auto record = parseClaim(object.value);
    if (!record.ok()) {
        return finishedStep(errorResult(Outcome::Unknown, 409, AK::concat("the claim ", claim.name, " is malformed: ", record.status().message())));
    }
    if (record->nonce == claim.record.nonce && record->state == ClaimState::Claimed) {
        HeldClaim held = claim;
        held.version = object.version;
        return {ClaimAttempt{std::move(held), {}, std::nullopt}, std::nullopt};
    }
    if (auto existing = resultForExistingClaim(*record, claim.record.bodyDigest)) {
        return finishedStep(std::move(*existing));
    }
    return {std::nullopt, object};
}

// The store did not confirm the write. Unless the claim read back has the nonce of this write, the request is never dispatched, because the write may still
// take effect later.
WriteStep handleUnconfirmedWrite(ObjectStore &store, const ClaimSettings &settings, const HeldClaim &claim, uint64_t replacedVersion)
{
    const auto object = store.get(claimKind, claim.name, settings.storeTimeout);
    if (object.ok() && object->version > replacedVersion) {
        WriteStep step = evaluateStoredClaim(claim, *object);
        if (step.finished) {
            return step;
        }
    }
    const std::string reason = object.ok() || absl::IsNotFound(object.status()) ? "the store did not confirm the claim"
                                                                                : "the store did not confirm the claim and could not be read again";
    HeldClaim abandoned = claim;
    abandoned.version = replacedVersion;
    return {ClaimAttempt{std::nullopt, errorResult(Outcome::NotRun, 503, reason, 1), std::move(abandoned)}, std::nullopt};
}

WriteStep handleWriteResult(ObjectStore &store, const ClaimSettings &settings, HeldClaim &claim, const absl::StatusOr<uint64_t> &written,
                            uint64_t replacedVersion)
{
    if (written.ok()) {
        claim.version = *written;
        return {ClaimAttempt{claim, {}, std::nullopt}, std::nullopt};
    }
    if (hadNoEffect(written.status())) {
        return finishedStep(errorResult(Outcome::NotRun, 503, AK::concat("the store refused the claim: ", written.status().message()), 1));
    }
    if (!conditionFailed(written.status()) && !(replacedVersion != 0 && absl::IsNotFound(written.status()))) {
        return handleUnconfirmedWrite(store, settings, claim, replacedVersion);
    }
    const auto object = store.get(claimKind, claim.name, settings.storeTimeout);
    if (!object.ok()) {
        return finishedStep(errorResult(Outcome::Unknown, 503, "a claim of this Idempotency-Key exists and could not be read", 1));
    }
    return evaluateStoredClaim(claim, *object);
}

} // namespace

OnceResult errorResult(Outcome outcome, int status, const std::string &reason, int retryAfterSeconds)
{
    OnceResult result;
    result.outcome = outcome;
    result.reason = reason;
    const nlohmann::json body = {{"error", reason}, {"outcome", AK::nameOf(outcomeNames, outcome)}};
    result.response = LibHttp::jsonResponse(status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (retryAfterSeconds > 0) {
        result.response.headers["retry-after"] = std::to_string(retryAfterSeconds);
    }
    return result;
}

ClaimAttempt acquireClaim(ObjectStore &store, const AK::Clock &clock, AK::Random &random, const ClaimSettings &settings, const OnceRequest &request)
{
    std::optional<StoredObject> reclaim;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        HeldClaim claim = newClaim(clock, random, settings, request);
        const std::string value = serializeClaim(claim.record);
        const uint64_t replacedVersion = reclaim ? reclaim->version : 0;
        const auto written = reclaim ? store.replace(claimKind, claim.name, replacedVersion, value, settings.storeTimeout)
                                     : store.create(claimKind, claim.name, value, settings.storeTimeout);
        WriteStep step = handleWriteResult(store, settings, claim, written, replacedVersion);
        if (step.finished) {
            return std::move(*step.finished);
        }
        reclaim = std::move(step.reclaim);
    }
    return {std::nullopt, errorResult(Outcome::NotRun, 503, AK::concat("the claim changed ", maxAttempts, " times while it was being written"), 1),
            std::nullopt};
}

RecordResult recordOutcome(ObjectStore &store, const ClaimSettings &settings, const HeldClaim &claim)
{
    const auto written = store.replace(claimKind, claim.name, claim.version, serializeClaim(claim.record), settings.storeTimeout);
    return written.ok() ? RecordResult::Finished : RecordResult::Retry;
}

RecordResult retryOutcome(ObjectStore &store, const ClaimSettings &settings, const HeldClaim &claim)
{
    const auto object = store.get(claimKind, claim.name, settings.storeTimeout);
    if (!object.ok()) {
        // When the claim is absent, the unconfirmed write may still take effect.
        return RecordResult::Retry;
    }
    const auto record = parseClaim(object->value);
    if (!record.ok()) {
        return RecordResult::Finished;
    }
    if (record->nonce != claim.record.nonce) {
        // The read may be stale, or an unconfirmed write of this claim may still replace this version; only a newer version rules that out.
        return object->version <= claim.version ? RecordResult::Retry : RecordResult::Finished;
    }
    if (record->state != ClaimState::Claimed) {
        return RecordResult::Finished;
    }
    HeldClaim current = claim;
    current.version = object->version;
    return recordOutcome(store, settings, current);
}

absl::StatusOr<int> removeExpiredClaims(ObjectStore &store, const ClaimSettings &settings, const std::string &prefix, AK::Milliseconds wallTime, int limit)
{
    const auto objects = store.list(claimKind, prefix, settings.storeTimeout);
    if (!objects.ok()) {
        return objects.status();
    }
    int removed = 0;
    for (const StoredObject &object : *objects) {
        const auto record = parseClaim(object.value);
        if (removed == limit || !record.ok() || record->expiresAt >= wallTime) {
            continue;
        }
        // Conditional on the version, so that a claim that was written again after the listing is kept.
        if (store.remove(claimKind, object.name, object.version, settings.storeTimeout).ok()) {
            ++removed;
        }
    }
    return removed;
}

} // namespace LibOnce
