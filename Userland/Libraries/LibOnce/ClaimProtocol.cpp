#include <LibOnce/ClaimProtocol.h>

#include <AK/Text.h>
#include <nlohmann/json.hpp>

namespace LibOnce
{

namespace
{

using LibObjectStore::ObjectStore;
using LibObjectStore::StoredObject;

// Writes by others between our read and our conditional update; more than a few mean that the key is contended.
constexpr int attemptLimit = 3;

HeldClaim newClaim(const AK::Clock &clock, AK::Random &random, const ClaimRules &rules, const OnceRequest &request)
{
    HeldClaim claim;
    claim.name = claimName(request);
    claim.record.nonce = AK::randomHex(random, 32);
    claim.record.bodyDigest = claimBodyDigest(request);
    claim.record.owner = rules.owner;
    claim.record.account = request.account;
    claim.record.service = request.service;
    claim.record.method = request.method;
    claim.record.path = request.path;
    claim.record.idempotencyKey = request.idempotencyKey;
    claim.record.claimedAt = clock.wallTime();
    claim.record.expiresAt = claim.record.claimedAt + rules.lifetime;
    // The window starts before the write is sent: a pause at any later point counts.
    claim.startBefore = clock.now() + rules.dispatchWindow;
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

OnceResult replay(const ClaimRecord &record)
{
    OnceResult result;
    result.outcome = Outcome::Done;
    result.replayed = true;
    if (record.recordedResponse.bodyKept) {
        result.response = record.recordedResponse.response;
        return result;
    }
    // An answer without its body must not look like the whole answer, so the recorded status is reported in the body only.
    result = refusal(Outcome::Done, 410,
                     AK::concat("the call ran once with status ", record.recordedResponse.response.status, "; its answer of ",
                                record.recordedResponse.bodyBytes, " bytes is over the limit of ", recordedBodyLimitBytes, " bytes and was not kept"));
    result.replayed = true;
    return result;
}

// The answer for a claim of another attempt; nothing when it was recorded as not_run and may be claimed again.
std::optional<OnceResult> answerFor(const ClaimRecord &record, const std::string &bodyDigest)
{
    if (record.bodyDigest != bodyDigest) {
        return refusal(Outcome::NotRun, 422, "the Idempotency-Key was used with another body");
    }
    switch (record.state) {
    case ClaimState::Done:
        return replay(record);
    case ClaimState::NotRun:
        return std::nullopt;
    case ClaimState::Claimed:
        return refusal(Outcome::Unknown, 409, "another attempt holds the claim of this Idempotency-Key");
    case ClaimState::Unknown:
        return refusal(Outcome::Unknown, 409, "the outcome of an earlier attempt with this Idempotency-Key is not known");
    }
    return refusal(Outcome::Unknown, 409, "the claim has no known state");
}

struct Step {
    std::optional<ClaimAttempt> finished;
    /// A record in state not_run to claim again.
    std::optional<StoredObject> reclaim;
};

Step finish(OnceResult result)
{
    return {ClaimAttempt{std::nullopt, std::move(result), std::nullopt}, std::nullopt};
}

// Decides by the stored record after a write of `claim` that failed or whose answer was lost.
Step decide(const HeldClaim &claim, const StoredObject &object)
{
    const auto record = parseClaim(object.value);
    if (!record.ok()) {
        return finish(refusal(Outcome::Unknown, 409, AK::concat("the claim ", claim.name, " is malformed: ", record.status().message())));
    }
    if (record->nonce == claim.record.nonce && record->state == ClaimState::Claimed) {
        HeldClaim held = claim;
        held.version = object.version;
        return {ClaimAttempt{std::move(held), {}, std::nullopt}, std::nullopt};
    }
    if (auto answer = answerFor(*record, claim.record.bodyDigest)) {
        return finish(std::move(*answer));
    }
    return {std::nullopt, object};
}

// The answer to a write was lost. Unless the re-read shows our nonce, the request is never dispatched, because the write may still take effect later.
Step afterLostWrite(ObjectStore &store, const ClaimRules &rules, const HeldClaim &claim, uint64_t replacedVersion)
{
    const auto object = store.get(claimKind, claim.name, rules.storeTimeout);
    if (object.ok() && object->version > replacedVersion) {
        Step step = decide(claim, *object);
        if (step.finished) {
            return step;
        }
    }
    const std::string reason = object.ok() || absl::IsNotFound(object.status()) ? "the store did not confirm the claim"
                                                                                : "the store did not confirm the claim and could not be read again";
    HeldClaim abandoned = claim;
    abandoned.version = replacedVersion;
    return {ClaimAttempt{std::nullopt, refusal(Outcome::NotRun, 503, reason, 1), std::move(abandoned)}, std::nullopt};
}

Step afterWrite(ObjectStore &store, const ClaimRules &rules, HeldClaim &claim, const absl::StatusOr<uint64_t> &written, uint64_t replacedVersion)
{
    if (written.ok()) {
        claim.version = *written;
        return {ClaimAttempt{claim, {}, std::nullopt}, std::nullopt};
    }
    if (hadNoEffect(written.status())) {
        return finish(refusal(Outcome::NotRun, 503, AK::concat("the store refused the claim: ", written.status().message()), 1));
    }
    if (!conditionFailed(written.status()) && !(replacedVersion != 0 && absl::IsNotFound(written.status()))) {
        return afterLostWrite(store, rules, claim, replacedVersion);
    }
    const auto object = store.get(claimKind, claim.name, rules.storeTimeout);
    if (!object.ok()) {
        return finish(refusal(Outcome::Unknown, 503, "a claim of this Idempotency-Key exists and could not be read", 1));
    }
    return decide(claim, *object);
}

} // namespace

OnceResult refusal(Outcome outcome, int status, const std::string &reason, int retryAfterSeconds)
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

ClaimAttempt acquireClaim(ObjectStore &store, const AK::Clock &clock, AK::Random &random, const ClaimRules &rules, const OnceRequest &request)
{
    std::optional<StoredObject> reclaim;
    for (int attempt = 0; attempt < attemptLimit; ++attempt) {
        HeldClaim claim = newClaim(clock, random, rules, request);
        const std::string value = serializeClaim(claim.record);
        const uint64_t replacedVersion = reclaim ? reclaim->version : 0;
        const auto written = reclaim ? store.replace(claimKind, claim.name, replacedVersion, value, rules.storeTimeout)
                                     : store.create(claimKind, claim.name, value, rules.storeTimeout);
        Step step = afterWrite(store, rules, claim, written, replacedVersion);
        if (step.finished) {
            return std::move(*step.finished);
        }
        reclaim = std::move(step.reclaim);
    }
    return {std::nullopt, refusal(Outcome::NotRun, 503, AK::concat("the claim changed ", attemptLimit, " times while it was being written"), 1), std::nullopt};
}

RecordResult recordOutcome(ObjectStore &store, const ClaimRules &rules, const HeldClaim &claim)
{
    const auto written = store.replace(claimKind, claim.name, claim.version, serializeClaim(claim.record), rules.storeTimeout);
    return written.ok() ? RecordResult::Finished : RecordResult::Retry;
}

RecordResult retryOutcome(ObjectStore &store, const ClaimRules &rules, const HeldClaim &claim)
{
    const auto object = store.get(claimKind, claim.name, rules.storeTimeout);
    if (!object.ok()) {
        // Absent: the lost write may still take effect.
        return RecordResult::Retry;
    }
    const auto record = parseClaim(object->value);
    if (!record.ok()) {
        return RecordResult::Finished;
    }
    if (record->nonce != claim.record.nonce) {
        // The read may be stale, or a lost re-claim may still replace this version; only a newer version keeps it out.
        return object->version <= claim.version ? RecordResult::Retry : RecordResult::Finished;
    }
    if (record->state != ClaimState::Claimed) {
        return RecordResult::Finished;
    }
    HeldClaim current = claim;
    current.version = object->version;
    return recordOutcome(store, rules, current);
}

absl::StatusOr<int> removeExpiredClaims(ObjectStore &store, const ClaimRules &rules, const std::string &prefix, AK::Milliseconds wallTime, int limit)
{
    const auto objects = store.list(claimKind, prefix, rules.storeTimeout);
    if (!objects.ok()) {
        return objects.status();
    }
    int removed = 0;
    for (const StoredObject &object : *objects) {
        const auto record = parseClaim(object.value);
        if (removed == limit || !record.ok() || record->expiresAt >= wallTime) {
            continue;
        }
        // Conditional, so that a claim that was written again since the listing stays.
        if (store.remove(claimKind, object.name, object.version, rules.storeTimeout).ok()) {
            ++removed;
        }
    }
    return removed;
}

} // namespace LibOnce
