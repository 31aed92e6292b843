#include "AgentService.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// An engine status older than this is not reported to other processes.
constexpr AK::Milliseconds statusMaxAge = 600;
constexpr AK::Milliseconds fetchPollInterval = 50;
constexpr AK::Milliseconds retryDelay = 200;
// Minimum time before a fetch is restarted because the set of peers has changed.
constexpr AK::Milliseconds peerRefreshInterval = 600;
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
// Version that engines have at the start of a deployment, before the operator names one.
constexpr int64_t initialVersion = 1;

} // namespace

AgentService::AgentService(LibFiber::Loop &loop, Settings settings, const LibFleet::FleetState &fleet, EngineControl &engine, WeightsOrigin &origin,
                           Fleet::PeerExchange &exchange)
    : loop(loop)
    , settings(std::move(settings))
    , fleet(fleet)
    , engine(engine)
    , origin(origin)
    , exchange(exchange)
    , store(loop.clock(), this->settings.uploadBytesPerSecond)
{
}

void AgentService::reconfigure(const Settings &changed)
{
    this->settings.regionsByDomain = changed.regionsByDomain;
    this->settings.switchTimeLimit = changed.switchTimeLimit;
    this->settings.uploadBytesPerSecond = changed.uploadBytesPerSecond;
    this->settings.linkMbps = changed.linkMbps;
    this->store.setUploadRate(changed.uploadBytesPerSecond);
}

VersionStore &AgentService::versions()
{
    return this->store;
}

int64_t AgentService::loadedVersion() const
{
    return this->status ? this->status->report.weightsVersion : 0;
}

void AgentService::start()
{
    this->exchange.completeStateWith([this](LibPeers::NodeState &state) {
        if (this->status && this->loop.clock().now() - this->statusReadAt <= statusMaxAge) {
            state.engine = this->status->report;
            state.engine->switching = this->status->busy || this->switchPending;
        }
    });
    this->loop.spawn([this](kj::WaitScope &scope) { this->pollEngine(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->runFetchLoop(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->runLoadLoop(scope); });
}

void AgentService::pollEngine(kj::WaitScope &scope)
{
    bool reachable = true;
    while (true) {
        const absl::StatusOr<EngineStatus> read = this->engine.status(scope);
        if (read.ok() != reachable) {
            reachable = read.ok();
            this->logger.info(reachable ? "engine_reached" : "engine_lost", {{"reason", std::string(read.status().message())}});
        }
        if (read.ok()) {
            const bool changed = !this->status || this->status->report.weightsVersion != read->report.weightsVersion || this->status->busy != read->busy
                || this->status->report.startTime != read->report.startTime;
            if (changed) {
                this->logger.info(
                    "engine_state",
                    {{"version", read->report.weightsVersion}, {"busy", read->busy}, {"orders", read->commandSequence}, {"born", read->report.startTime}});
            }
            this->status = *read;
            this->status->report.upstream = this->settings.engineAddress.text();
            this->statusReadAt = this->loop.clock().now();
            if (changed) {
                this->exchange.pushNow();
            }
        }
        this->loop.sleep(scope, this->settings.statusInterval);
    }
}

std::optional<LibFleet::EngineSpec> AgentService::engineSpec() const
{
    const auto configuration = this->fleet.configuration();
    if (!configuration || !this->status) {
        return std::nullopt;
    }
    const auto found = configuration->services.find(this->settings.service);
    const bool hasModel = found != configuration->services.end() && found->second.engine && !found->second.engine->model.empty();
    return hasModel ? found->second.engine : std::nullopt;
}

AK::Milliseconds AgentService::timeLeft(const std::string &model, int64_t version) const
{
    // The limits of all target versions newer than the loaded one count, up to `version`.
    AK::Milliseconds left = this->settings.switchTimeLimit;
    for (const LibFleet::WeightsTarget &target : this->fleet.weightsTargets(model)) {
        if (target.version > this->status->report.weightsVersion && target.version <= version) {
            left = std::min(left, this->settings.switchTimeLimit - (this->loop.clock().uninterruptedTime() - target.learnedAt));
        }
    }
    return left;
}

int64_t AgentService::versionToFetch(const LibFleet::EngineSpec &spec) const
{
    const auto heldShare = [&](int64_t version) {
        const std::shared_ptr<HeldVersion> held = this->store.find(spec.model, version);
        return held ? static_cast<double>(held->heldCount()) / static_cast<double>(held->chunkCount()) : 0.0;
    };
    const std::vector<LibFleet::WeightsTarget> &targets = this->fleet.weightsTargets(spec.model);
    if (!this->fleet.weightsTargetsKnown()) {
        return 0;
    }
    if (targets.empty()) {
        return heldShare(initialVersion) < 1 ? initialVersion : 0;
    }
    std::vector<VersionProgress> candidates;
    for (const LibFleet::WeightsTarget &target : targets) {
        // The newest version is fetched even when the engine has it, so that other agents can get it from here.
        if (target.version > this->status->report.weightsVersion || target.version == targets.back().version) {
            candidates.push_back(
                {target.version, this->settings.switchTimeLimit - (this->loop.clock().uninterruptedTime() - target.learnedAt), heldShare(target.version)});
        }
    }
    return chooseVersionToFetch(candidates, DurationEstimates{});
}

SwarmView AgentService::swarmView() const
{
    SwarmView swarmView;
    std::set<std::string> addresses;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        // A restarted engine may be listed twice with the same address.
        if (record.service != this->settings.service || record.address == this->settings.engineAddress || !addresses.insert(record.address.text()).second) {
            continue;
        }
        const auto region = this->settings.regionsByDomain.find(record.failureDomain);
        swarmView.peers.push_back(
            {{record.address.text(), region == this->settings.regionsByDomain.end() ? "" : region->second}, {record.address.host, this->settings.rpcPort}});
    }
    swarmView.originLink.agentMbps = this->settings.linkMbps;
    const auto configuration = this->fleet.configuration();
    for (const auto &[name, service] : configuration->services) {
        if (name == this->settings.service && service.engine) {
            swarmView.originLink.chunkBytes = service.engine->chunkBytes;
        }
        if (service.origin) {
            swarmView.origin = service.origin;
            swarmView.originConnections = service.maxConnections;
            swarmView.originLink.originMbps = service.originLinkMbps;
            const auto region = this->settings.regionsByDomain.find(service.originFailureDomain);
            swarmView.originRegion = region == this->settings.regionsByDomain.end() ? "" : region->second;
        }
    }
    return swarmView;
}

void AgentService::runFetchLoop(kj::WaitScope &scope)
{
    while (true) {
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        if (const int64_t version = spec ? this->versionToFetch(*spec) : 0; version != 0) {
            this->fetch(scope, *spec, version);
        }
        this->loop.sleep(scope, fetchPollInterval);
    }
}

void AgentService::fetch(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version)
{
    const AK::Milliseconds now = this->loop.clock().now();
    const AK::Milliseconds startedAt = this->fetchStartedAt.try_emplace(version, now).first->second;
    const SwarmView swarmView = this->swarmView();
    SwarmFetch fetch(this->loop, this->origin, this->manifestProof, {this->settings.engineAddress.text(), this->settings.region}, spec.model, version,
                     swarmView, startedAt);
    std::shared_ptr<HeldVersion> held = this->store.find(spec.model, version);
    if (!held) {
        const absl::StatusOr<std::string> text = fetch.readManifest(scope);
        if (!text.ok()) {
            this->logger.info("manifest_not_read", {{"version", version}, {"reason", std::string(text.status().message())}});
            this->loop.sleep(scope, retryDelay);
            return;
        }
        absl::StatusOr<WeightsManifest> manifest = this->origin.parseManifest(*text);
        if (!manifest.ok() || manifest->version != version || manifest->digests.size() != spec.chunks) {
            this->logger.warning("manifest_refused", {{"version", version}, {"reason", std::string(manifest.status().message())}});
            this->loop.sleep(scope, retryDelay);
            return;
        }
        held = this->store.add(spec.model, *text, std::move(*manifest));
        this->adoptStagedChunks(scope, spec.model, *held);
    }
    const auto samePeers = [&] {
        return this->loop.clock().now() - now < peerRefreshInterval || this->swarmView().peers == swarmView.peers;
    };
    fetch.fetchAll(scope, *held, [&] { return this->versionToFetch(spec) == version && samePeers(); });
}

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

void AgentService::runLoadLoop(kj::WaitScope &scope)
{
    while (true) {
        this->loop.sleep(scope, fetchPollInterval);
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        const std::shared_ptr<HeldVersion> held = spec ? this->newestCompleteVersion(spec->model) : nullptr;
        if (!held || this->status->report.weightsVersion >= held->manifest().version) {
            continue;
        }
        if (!this->compareStaged(scope, spec->model, *held) || !this->waitForLoadTurn(scope, spec->model, held->manifest().version)) {
            this->loop.sleep(scope, retryDelay);
            continue;
        }
        const std::optional<AK::RecentCheck> compared = this->compareStaged(scope, spec->model, *held);
        if (!compared) {
            this->loop.sleep(scope, retryDelay);
            continue;
        }
        this->switchTo(scope, spec->model, *held, *compared);
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

std::optional<AK::RecentCheck> AgentService::compareStaged(kj::WaitScope &scope, const std::string &model, const HeldVersion &held)
{
    const AK::RecentCheck compared(this->loop.clock(), comparisonMaxAge);
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
    }
    return compared;
}

absl::StatusOr<EngineStatus> AgentService::waitForFreshStatus(kj::WaitScope &scope) const
{
    const AK::Milliseconds requestedAt = this->loop.clock().now();
    while (this->statusReadAt <= requestedAt) {
        if (this->loop.clock().now() - requestedAt > statusMaxAge) {
            return absl::UnavailableError(AK::concat("no status from engine ", this->settings.engineAddress.text(), " within ", statusMaxAge, " ms"));
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
        this->loop.sleep(scope, std::min(fetchPollInterval, until - this->loop.clock().now()));
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
        const std::optional<AK::RecentCheck> again = this->compareStaged(scope, model, held);
        if (!again) {
            return std::nullopt;
        }
        compared = *again;
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
