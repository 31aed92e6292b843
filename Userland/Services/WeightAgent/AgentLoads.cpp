// The loads of AgentService.

#include "AgentService.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

constexpr AK::Milliseconds loadLoopInterval = 50;
constexpr AK::Milliseconds retryDelay = 200;
constexpr AK::Milliseconds stagePollInterval = 20;
// A comparison takes some hundred ms on a busy host; an older one was followed by a wait for the turn of this engine.
constexpr AK::Milliseconds immediateLoadAge = 600;
// Longest wait for calls to finish before a load. Entries send no new calls meanwhile; calls that still run are then aborted, and the entries resume their
// streams at other engines.
constexpr AK::Milliseconds drainTimeout = 1'200;
// With at most this many calls left the load starts at once: resuming them elsewhere costs less than the idle time of the engine.
constexpr uint32_t maxAbortedCalls = 2;
constexpr AK::Milliseconds loadPollInterval = 20;
// Time after which a load command without effect is evaluated again.
constexpr AK::Milliseconds loadTimeout = 8'000;
// Comparisons for one load command; on a host that is too slow for all of them the load is tried again later.
constexpr int maxComparisons = 3;

} // namespace

std::shared_ptr<HeldVersion> AgentService::versionToLoad(const std::string &model) const
{
    const int64_t loaded = this->status->report.weightsVersion;
    const auto complete = [&](int64_t version) {
        std::shared_ptr<HeldVersion> held = version > loaded ? this->store.find(model, version) : nullptr;
        return held && held->complete() ? held : nullptr;
    };
    if (!this->fleet.weightsTargetsKnown()) {
        return nullptr;
    }
    const std::vector<LibFleet::WeightsTarget> &targets = this->fleet.weightsTargets(model);
    // Time for which calls may still use the versions before the targets that have been looked at.
    AK::Milliseconds usableTime = INT64_MAX;
    for (auto target = targets.rbegin(); target != targets.rend() && isWorthLoading(usableTime); ++target) {
        if (std::shared_ptr<HeldVersion> held = complete(target->version)) {
            return held;
        }
        usableTime = std::min(usableTime, this->settings.switchTimeLimit - (this->loop.clock().uninterruptedTime() - target->learnedAt));
    }
    return isWorthLoading(usableTime) ? complete(initialVersion) : nullptr;
}

bool AgentService::isToLoad(const std::string &model, const HeldVersion &held) const
{
    const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
    return spec && spec->model == model && this->versionToLoad(model).get() == &held;
}

bool AgentService::loadPending(const std::string &model) const
{
    return this->switchPending || this->status->busy || this->versionToLoad(model);
}

std::optional<uint32_t> AgentService::nextToStage(const std::string &model, const HeldVersion &held) const
{
    const int64_t version = held.manifest().version;
    if (this->loadPending(model) || version <= this->status->report.weightsVersion || !this->staging.mayStage(version)) {
        return std::nullopt;
    }
    for (uint32_t i = 0; i < held.chunkCount(); ++i) {
        if (held.has(i) && !this->staging.holds(version, i)) {
            return i;
        }
    }
    return std::nullopt;
}

void AgentService::runStageLoop(kj::WaitScope &scope)
{
    while (true) {
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        const std::shared_ptr<HeldVersion> held = spec && this->fetchedVersion != 0 ? this->store.find(spec->model, this->fetchedVersion) : nullptr;
        const std::optional<uint32_t> chunk = held ? this->nextToStage(spec->model, *held) : std::nullopt;
        if (!chunk) {
            this->loop.sleep(scope, stagePollInterval);
        } else if (!this->staging.stage(scope, spec->model, *held, *chunk).ok()) {
            this->loop.sleep(scope, retryDelay);
        }
    }
}

void AgentService::runLoadLoop(kj::WaitScope &scope)
{
    while (true) {
        this->loop.sleep(scope, loadLoopInterval);
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        const std::shared_ptr<HeldVersion> held = spec ? this->versionToLoad(spec->model) : nullptr;
        if (held) {
            this->loadVersion(scope, spec->model, *held);
        }
    }
}

void AgentService::loadVersion(kj::WaitScope &scope, const std::string &model, const HeldVersion &held)
{
    const int64_t version = held.manifest().version;
    const auto wanted = [&] {
        return this->isToLoad(model, held);
    };
    const StagingArea::Reservation reservation(this->staging, version);
    while (wanted() && !this->staging.isSettled(version)) {
        this->loop.sleep(scope, loadPollInterval);
    }
    std::optional<StagingArea::Comparison> compared = wanted() ? this->staging.compare(scope, model, held, wanted) : std::nullopt;
    const bool turn = compared && this->waitForLoadTurn(scope, model, held);
    // Chunks that were staged have to be read back. Without them, and without a wait, a second comparison tells nothing new.
    if (turn && (compared->staged > 0 || compared->check.age() > immediateLoadAge)) {
        compared = this->staging.compare(scope, model, held, wanted);
    }
    if (turn && compared) {
        this->switchTo(scope, model, held, *compared);
    } else if (!wanted()) {
        this->logger.info("load_given_up", {{"version", version}, {"reason", "another version is to be loaded, or none"}});
    } else {
        this->loop.sleep(scope, retryDelay);
    }
}

bool AgentService::waitForLoadTurn(kj::WaitScope &scope, const std::string &model, const HeldVersion &held)
{
    const int64_t version = held.manifest().version;
    const SwarmView peers = this->swarmView();
    const std::string self = this->settings.engineAddress.text();
    const std::string key = AK::concat(model, "/", version, "/load");
    const uint64_t ownWeight = AK::rendezvousWeight(key, self);
    const auto rank = static_cast<size_t>(
        std::count_if(peers.peers.begin(), peers.peers.end(), [&](const SwarmPeer &peer) { return AK::rendezvousWeight(key, peer.member.name) > ownWeight; }));
    const AK::Milliseconds until = this->loop.clock().now() + loadDelay(rank, peers.peers.size() + 1, this->timeLeft(model, version));
    // An engine without weights serves nothing that the load could interrupt.
    while (this->isToLoad(model, held) && this->status->report.weightsVersion != 0 && this->loop.clock().now() < until) {
        this->loop.sleep(scope, std::min(loadLoopInterval, until - this->loop.clock().now()));
    }
    return this->isToLoad(model, held);
}

void AgentService::drainCalls(kj::WaitScope &scope, const std::string &model, const HeldVersion &held) const
{
    const AK::Milliseconds until = this->loop.clock().now() + drainTimeout;
    while (this->isToLoad(model, held) && this->loop.clock().now() < until && this->status->report.running + this->status->report.waiting > maxAbortedCalls) {
        this->loop.sleep(scope, loadPollInterval);
    }
}

std::optional<EngineStatus> AgentService::statusForLoad(kj::WaitScope &scope, const std::string &model, const HeldVersion &held,
                                                        StagingArea::Comparison compared)
{
    const int64_t version = held.manifest().version;
    for (int comparisons = 0; comparisons < maxComparisons; ++comparisons) {
        const absl::StatusOr<EngineStatus> status = this->readStatus(scope);
        // The engine may have got the version meanwhile, and another one may have been named.
        if (!status.ok() || status->busy || !this->isToLoad(model, held) || !this->staging.isSettled(version)) {
            return std::nullopt;
        }
        if (compared.provesStaged(*status)) {
            return *status;
        }
        this->logger.info("staged_chunks_compared_again", {{"version", version}, {"age_ms", compared.check.age()}, {"staged", compared.staged}});
        const std::optional<StagingArea::Comparison> again = this->staging.compare(scope, model, held, [&] { return this->isToLoad(model, held); });
        if (!again) {
            return std::nullopt;
        }
        compared = *again;
    }
    this->logger.warning("load_put_off", {{"version", version}, {"reason", "comparing the staged chunks takes too long"}});
    return std::nullopt;
}

void AgentService::switchTo(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, const StagingArea::Comparison &compared)
{
    const int64_t version = held.manifest().version;
    this->switchPending = true;
    KJ_DEFER(this->switchPending = false);
    this->exchange.pushNow();
    if (this->status->report.weightsVersion != 0) {
        this->drainCalls(scope, model, held);
    }
    const std::optional<EngineStatus> before = this->statusForLoad(scope, model, held, compared);
    if (!before) {
        return;
    }
    const absl::StatusOr<LoadOutcome> answer = this->staging.load(scope, model, version, LoadStrategy::AbortCalls, before->commandSequence);
    this->logger.info("load_ordered",
                      {{"version", version},
                       {"previous", before->report.weightsVersion},
                       {"running", before->report.running},
                       {"orders", before->commandSequence},
                       {"answer", answer.ok() ? std::string(AK::nameOf(loadOutcomeNames, *answer)) : std::string(answer.status().message())}});
    if (answer.ok() && *answer != LoadOutcome::Accepted) {
        return;
    }
    const AK::Milliseconds until = this->loop.clock().now() + loadTimeout;
    while (this->loop.clock().now() < until) {
        const absl::StatusOr<EngineStatus> now = this->readStatus(scope);
        if (now.ok() && (now->report.weightsVersion == version || !now->busy)) {
            this->logger.info("loaded", {{"version", now->report.weightsVersion}, {"wanted", version}});
            return;
        }
        this->loop.sleep(scope, loadPollInterval);
    }
}

} // namespace WeightAgent
