#include <LibOnce/ClaimRunner.h>

#include <AK/Text.h>
#include <chrono>

namespace LibOnce
{

namespace
{

constexpr size_t keyLimitBytes = 255;
constexpr AK::Milliseconds passInterval = 200;
constexpr AK::Milliseconds drainLimit = 5'000;
// Each cleanup lists one of 65,536 name prefixes, so that a listing stays small with tens of millions of claims.
constexpr AK::Milliseconds cleanupInterval = 10'000;
constexpr int cleanupPrefixDigits = 4;
constexpr int maxRemovalsPerCleanup = 10;
// A pass ends after this many consecutive failures of the store.
constexpr int maxConsecutiveFailures = 3;

ClaimSettings claimSettingsFrom(const LibSettings::ProcessSettings &settings)
{
    ClaimSettings claimSettings;
    claimSettings.owner = settings.name;
    claimSettings.storeTimeout = settings.timing.storeTimeoutMs;
    claimSettings.dispatchWindow = settings.entry.claimDispatchWindowMs;
    return claimSettings;
}

DispatchResult callDispatch(const Dispatch &dispatch, const HeldClaim &claim)
{
    try {
        return dispatch(claim.record.nonce, claim.startBefore);
    } catch (const std::exception &error) {
        // The call may have been sent before the exception.
        return {Outcome::Unknown, {}, AK::concat("the dispatch failed: ", error.what())};
    }
}

ClaimState stateOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return ClaimState::Done;
    case Outcome::NotRun:
        return ClaimState::NotRun;
    case Outcome::Unknown:
        break;
    }
    return ClaimState::Unknown;
}

// A dispatch that failed may provide its own error response, for example with Retry-After.
OnceResult resultOf(DispatchResult dispatched)
{
    const bool hasError = dispatched.response.status >= 400;
    if (dispatched.outcome == Outcome::Done || hasError) {
        return {dispatched.outcome, std::move(dispatched.response), false, std::move(dispatched.reason)};
    }
    return dispatched.outcome == Outcome::NotRun ? errorResult(Outcome::NotRun, 503, dispatched.reason, 1)
                                                 : errorResult(Outcome::Unknown, 504, dispatched.reason);
}

} // namespace

ClaimRunner::ClaimRunner(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store,
                         LibMetrics::MetricRegistry &metrics)
    : claimSettings(claimSettingsFrom(settings))
    , clock(clock)
    , store(store)
    , metrics(metrics)
    , logger("once")
    , rateLimit{static_cast<double>(settings.entry.claimsPerSecond), static_cast<double>(settings.entry.claimsPerSecond), clock.now()}
{
}

ClaimRunner::~ClaimRunner()
{
    this->ClaimRunner::stop();
}

std::string_view ClaimRunner::name() const
{
    return "once";
}

absl::Status ClaimRunner::start()
{
    this->worker = std::thread([this] { this->runBackgroundPasses(); });
    return absl::OkStatus();
}

void ClaimRunner::drain()
{
    const AK::Milliseconds end = this->clock.now() + drainLimit;
    while (this->recordPending(true) > 0 && this->clock.now() < end) {
        this->clock.sleep(passInterval);
    }
}

void ClaimRunner::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->worker.joinable()) {
        this->worker.join();
    }
}

OnceResult ClaimRunner::run(const OnceRequest &request, const Dispatch &dispatch)
{
    if (request.idempotencyKey.empty() || request.idempotencyKey.size() > keyLimitBytes) {
        return errorResult(Outcome::NotRun, 400,
                           AK::concat("the Idempotency-Key has ", request.idempotencyKey.size(), " bytes; allowed are 1 to ", keyLimitBytes));
    }
    {
        const std::lock_guard lock(this->mutex);
        if (!takeToken(this->rateLimit, this->clock.now())) {
            this->count("limited");
            return errorResult(Outcome::NotRun, 503, AK::concat("over the limit of ", this->rateLimit.perSecond, " claims per second at this entry"), 1);
        }
    }
    AK::Random random = AK::seededFromSystem();
    ClaimAttempt attempt = acquireClaim(this->store, this->clock, random, this->claimSettings, request);
    if (attempt.abandoned) {
        attempt.abandoned->record.state = ClaimState::NotRun;
        attempt.abandoned->record.reason = "the store did not confirm the claim; it was never dispatched";
        this->enqueue(std::move(*attempt.abandoned));
    }
    if (!attempt.held) {
        this->count(attempt.result.replayed ? "replayed" : AK::nameOf(outcomeNames, attempt.result.outcome));
        return std::move(attempt.result);
    }
    return this->dispatchClaim(std::move(*attempt.held), dispatch);
}

OnceResult ClaimRunner::dispatchClaim(HeldClaim claim, const Dispatch &dispatch)
{
    DispatchResult dispatched;
    if (this->clock.now() >= claim.startBefore) {
        dispatched = {Outcome::NotRun, {}, AK::concat("the claim took longer than claim_dispatch_window_ms, ", this->claimSettings.dispatchWindow, " ms")};
    } else {
        dispatched = callDispatch(dispatch, claim);
    }
    claim.record.state = stateOf(dispatched.outcome);
    claim.record.reason = dispatched.reason;
    if (dispatched.outcome == Outcome::Done) {
        claim.record.recordedResponse = toRecordedResponse(dispatched.response);
    }
    if (recordOutcome(this->store, this->claimSettings, claim) == RecordResult::Retry) {
        this->enqueue(std::move(claim));
    }
    this->count(AK::nameOf(outcomeNames, dispatched.outcome));
    return resultOf(std::move(dispatched));
}

size_t ClaimRunner::recordPending(bool ignoreBackoff)
{
    std::unique_lock lock(this->mutex);
    int failures = 0;
    // Failed outcomes are queued again; the initial size bounds a pass with `ignoreBackoff`, which would otherwise take them again.
    for (size_t remaining = this->pending.size(); remaining > 0 && failures < maxConsecutiveFailures; --remaining) {
        auto outcome = this->pending.take(this->clock.now(), ignoreBackoff);
        if (!outcome) {
            break;
        }
        lock.unlock();
        const RecordResult result = retryOutcome(this->store, this->claimSettings, outcome->claim);
        AK::Random random = AK::seededFromSystem();
        lock.lock();
        failures = result == RecordResult::Retry ? failures + 1 : 0;
        const std::string name = outcome->claim.name;
        if (result == RecordResult::Retry && !this->pending.retry(std::move(*outcome), this->clock.now(), random)) {
            this->metrics.add("catkinlink_claim_outcomes_dropped_total");
            this->logger.error("claim_outcome_dropped", {{"claim", name}, {"reason", "not confirmed by the store in time"}});
        }
    }
    this->metrics.set("catkinlink_claim_outcomes_pending", {}, static_cast<double>(this->pending.size()));
    return this->pending.size();
}

void ClaimRunner::removeExpired(const std::string &prefix)
{
    const auto removed = removeExpiredClaims(this->store, this->claimSettings, prefix, this->clock.wallTime(), maxRemovalsPerCleanup);
    if (removed.ok()) {
        this->metrics.add("catkinlink_claims_removed_total", {}, *removed);
    }
}

void ClaimRunner::enqueue(HeldClaim claim)
{
    const std::lock_guard lock(this->mutex);
    const std::string name = claim.name;
    if (!this->pending.add(std::move(claim), this->clock.now())) {
        // The claim stays in state claimed, so repeated requests get the outcome unknown, which is correct.
        this->metrics.add("catkinlink_claim_outcomes_dropped_total");
        this->logger.error("claim_outcome_dropped", {{"claim", name}, {"reason", "the queue is full"}});
    }
}

void ClaimRunner::runBackgroundPasses()
{
    AK::Random random = AK::seededFromSystem();
    AK::Milliseconds nextCleanupAt = this->clock.now() + cleanupInterval;
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        lock.unlock();
        this->recordPending(false);
        if (this->clock.now() >= nextCleanupAt) {
            this->removeExpired(AK::randomHex(random, cleanupPrefixDigits));
            nextCleanupAt = this->clock.now() + cleanupInterval;
        }
        lock.lock();
        this->wake.wait_for(lock, std::chrono::milliseconds(passInterval), [this] { return this->stopping; });
    }
}

void ClaimRunner::count(std::string_view result)
{
    this->metrics.add("catkinlink_claims_total", {{"result", std::string(result)}});
}

} // namespace LibOnce
