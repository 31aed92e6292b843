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
// A chunk that was not staged in time may still be on its way to the engine for a while.
constexpr AK::Milliseconds lateStagingTime = 2'000;
// A comparison takes some hundred ms on a busy host; an older one was followed by a wait for the turn of this engine.
constexpr AK::Milliseconds immediateLoadAge = 600;
// A status is read every 100 ms, so the engine does not answer when none arrives for this long.
constexpr AK::Milliseconds freshStatusTimeout = 600;
// Longest wait for calls to finish before a load. Entries send no new calls meanwhile; calls that still run are then aborted, and the entries resume their
// streams at other engines.
constexpr AK::Milliseconds drainTimeout = 1'200;
// With at most this many calls left the load starts at once: resuming them elsewhere costs less than the idle time of the engine.
constexpr uint32_t maxAbortedCalls = 2;
constexpr AK::Milliseconds loadPollInterval = 20;
// Time after which a load command without effect is evaluated again.
constexpr AK::Milliseconds loadTimeout = 8'000;
// Staged chunks may become corrupt at any time, so a load must follow their comparison within this time.
constexpr AK::Milliseconds comparisonMaxAge = 2'000;
// Comparisons for one load command; on a host that is too slow for all of them the load is tried again later.
constexpr int maxComparisons = 3;

} // namespace

std::shared_ptr<HeldVersion> AgentService::newestCompleteVersion(const std::string &model) const
{
    const std::vector<LibFleet::WeightsTarget> &targets = this->fleet.weightsTargets(model);
    for (auto target = targets.rbegin(); target != targets.rend(); ++target) {
        std::shared_ptr<HeldVersion> held = this->store.find(model, target->version);
        if (held && held->complete()) {
            return held;
        }
    }
    const std::shared_ptr<HeldVersion> initial = targets.empty() ? this->store.find(model, initialVersion) : nullptr;
    return initial && initial->complete() ? initial : nullptr;
}

bool AgentService::loadPending(const std::string &model) const
{
    const std::shared_ptr<HeldVersion> held = this->newestCompleteVersion(model);
    return this->switchPending || this->status->busy || (held && this->status->report.weightsVersion < held->manifest().version);
}

std::optional<uint32_t> AgentService::nextToStage(const std::string &model, const HeldVersion &held) const
{
    if (this->loadPending(model) || held.manifest().version <= this->status->report.weightsVersion) {
        return std::nullopt;
    }
    for (uint32_t i = 0; i < held.chunkCount(); ++i) {
        if (held.has(i) && !this->stagedChunks.contains(i)) {
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
        if (held && held->manifest().version != this->stagedVersion) {
            this->stagedVersion = held->manifest().version;
            this->stagedChunks.clear();
        }
        const std::optional<uint32_t> chunk = held ? this->nextToStage(spec->model, *held) : std::nullopt;
        if (!chunk) {
            this->loop.sleep(scope, stagePollInterval);
            continue;
        }
        this->staging = true;
        const absl::Status put = this->engine.stageChunk(scope, spec->model, *chunk, held->chunk(*chunk));
        this->staging = false;
        if (put.ok()) {
            this->stagedChunks.insert(*chunk);
        } else {
            this->stagingFailedAt = this->loop.clock().now();
            this->loop.sleep(scope, retryDelay);
        }
    }
}

void AgentService::waitForStaging(kj::WaitScope &scope, int64_t version) const
{
    const auto mayArriveLate = [&] {
        return this->stagingFailedAt && version != this->stagedVersion && this->loop.clock().now() - *this->stagingFailedAt < lateStagingTime;
    };
    while (this->staging || mayArriveLate()) {
        this->loop.sleep(scope, loadPollInterval);
    }
}

void AgentService::runLoadLoop(kj::WaitScope &scope)
{
    while (true) {
        this->loop.sleep(scope, loadLoopInterval);
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        const std::shared_ptr<HeldVersion> held = spec ? this->newestCompleteVersion(spec->model) : nullptr;
        if (!held || this->status->report.weightsVersion >= held->manifest().version) {
            continue;
        }
        this->waitForStaging(scope, held->manifest().version);
        std::optional<Comparison> compared = this->compareStaged(scope, spec->model, *held);
        if (!compared || !this->waitForLoadTurn(scope, spec->model, held->manifest().version)) {
            this->loop.sleep(scope, retryDelay);
            continue;
        }
        // Chunks that were staged have to be read back. Without them, and without a wait, a second comparison tells nothing new.
        if (compared->staged > 0 || compared->check.age() > immediateLoadAge) {
            compared = this->compareStaged(scope, spec->model, *held);
        }
        if (!compared) {
            this->loop.sleep(scope, retryDelay);
            continue;
        }
        this->switchTo(scope, spec->model, *held, compared->check);
    }
}

void AgentService::adoptStagedChunks(kj::WaitScope &scope, const std::string &model, HeldVersion &held)
{
    for (uint32_t i = 0; i < held.chunkCount(); ++i) {
        absl::StatusOr<std::string> data = this->engine.stagedChunk(scope, model, i);
        // The staged data may belong to another version; the hash of the first chunk shows that.
        if (!data.ok() || (!held.put(i, std::move(*data)).ok() && i == 0)) {
            break;
        }
    }
    this->logger.info("staged_chunks_taken", {{"version", held.manifest().version}, {"chunks", held.heldCount()}, {"of", held.chunkCount()}});
}

std::optional<AgentService::Comparison> AgentService::compareStaged(kj::WaitScope &scope, const std::string &model, const HeldVersion &held)
{
    Comparison compared{AK::RecentCheck(this->loop.clock(), comparisonMaxAge)};
    for (uint32_t i = 0; i < held.chunkCount(); ++i) {
        const absl::StatusOr<std::string> staged = this->engine.stagedChunk(scope, model, i);
        if (staged.ok() && *staged == held.chunk(i)) {
            continue;
        }
        if (!staged.ok() && !absl::IsNotFound(staged.status())) {
            return std::nullopt;
        }
        const absl::Status put = this->engine.stageChunk(scope, model, i, held.chunk(i));
        if (!put.ok()) {
            this->logger.warning("chunk_not_staged", {{"chunk", i}, {"reason", std::string(put.message())}});
            return std::nullopt;
        }
        ++compared.staged;
    }
    return compared;
}

absl::StatusOr<EngineStatus> AgentService::waitForFreshStatus(kj::WaitScope &scope) const
{
    const AK::Milliseconds requestedAt = this->loop.clock().now();
    while (this->statusReadAt <= requestedAt) {
        if (this->loop.clock().now() - requestedAt > freshStatusTimeout) {
            return absl::UnavailableError(AK::concat("no status from engine ", this->settings.engineAddress.text(), " within ", freshStatusTimeout, " ms"));
        }
        this->loop.sleep(scope, loadPollInterval);
    }
    return *this->status;
}

bool AgentService::waitForLoadTurn(kj::WaitScope &scope, const std::string &model, int64_t version)
{
    if (this->status->report.weightsVersion == 0) {
        return true;
    }
    const SwarmView peers = this->swarmView();
    const std::string self = this->settings.engineAddress.text();
    const std::string key = AK::concat(model, "/", version, "/load");
    const uint64_t ownWeight = AK::rendezvousWeight(key, self);
    const auto rank = static_cast<size_t>(
        std::count_if(peers.peers.begin(), peers.peers.end(), [&](const SwarmPeer &peer) { return AK::rendezvousWeight(key, peer.member.name) > ownWeight; }));
    const AK::Milliseconds until = this->loop.clock().now() + loadDelay(rank, peers.peers.size() + 1, this->timeLeft(model, version));
    while (this->loop.clock().now() < until) {
        if (this->status->report.weightsVersion == 0) {
            return true;
        }
        const std::shared_ptr<HeldVersion> newest = this->newestCompleteVersion(model);
        if (!newest || newest->manifest().version != version) {
            return false;
        }
        this->loop.sleep(scope, std::min(loadLoopInterval, until - this->loop.clock().now()));
    }
    return true;
}

void AgentService::drainCalls(kj::WaitScope &scope) const
{
    const AK::Milliseconds until = this->loop.clock().now() + drainTimeout;
    while (this->loop.clock().now() < until && this->status->report.running + this->status->report.waiting > maxAbortedCalls) {
        this->loop.sleep(scope, loadPollInterval);
    }
}

std::optional<EngineStatus> AgentService::statusForLoad(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, AK::RecentCheck compared)
{
    for (int comparisons = 0; comparisons < maxComparisons; ++comparisons) {
        const absl::StatusOr<EngineStatus> status = this->waitForFreshStatus(scope);
        if (!status.ok() || status->busy || status->report.weightsVersion == held.manifest().version) {
            return std::nullopt;
        }
        if (compared.holds()) {
            return *status;
        }
        this->logger.info("staged_chunks_compared_again", {{"version", held.manifest().version}, {"age_ms", compared.age()}});
        const std::optional<Comparison> again = this->compareStaged(scope, model, held);
        if (!again) {
            return std::nullopt;
        }
        compared = again->check;
    }
    this->logger.warning("load_put_off", {{"version", held.manifest().version}, {"reason", "comparing the staged chunks takes too long"}});
    return std::nullopt;
}

void AgentService::switchTo(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, const AK::RecentCheck &compared)
{
    const int64_t version = held.manifest().version;
    this->switchPending = true;
    KJ_DEFER(this->switchPending = false);
    this->exchange.pushNow();
    if (this->status->report.weightsVersion != 0) {
        this->drainCalls(scope);
    }
    const std::optional<EngineStatus> before = this->statusForLoad(scope, model, held, compared);
    if (!before) {
        return;
    }
    const absl::StatusOr<LoadOutcome> answer = this->engine.load(scope, model, version, LoadStrategy::AbortCalls, before->commandSequence);
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
        const absl::StatusOr<EngineStatus> now = this->waitForFreshStatus(scope);
        if (now.ok() && (now->report.weightsVersion == version || !now->busy)) {
            this->logger.info("loaded", {{"version", now->report.weightsVersion}, {"wanted", version}});
            return;
        }
    }
}

} // namespace WeightAgent
