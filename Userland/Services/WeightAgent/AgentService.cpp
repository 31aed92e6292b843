#include "AgentService.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// Reports older than this are not passed on.
constexpr AK::Milliseconds statusMaxAge = 600;
constexpr AK::Milliseconds fetchPoll = 50;
constexpr AK::Milliseconds retryPause = 200;
// A fetch goes on with the members that it began with for at least this long.
constexpr AK::Milliseconds membersSettle = 600;
// Before a load the entries send nothing more for up to this time; calls that are left then are cut, and entries resume their streams elsewhere.
constexpr AK::Milliseconds drainTime = 1'200;
// With so few calls left the load begins at once: resuming them costs less than the engine's idle time.
constexpr uint32_t callsCut = 2;
constexpr AK::Milliseconds loadPoll = 20;
// An order without effect for this long is looked at anew.
constexpr AK::Milliseconds loadLimit = 8'000;
// Engines hold this version at the start of a deployment, when none is named.
constexpr int64_t firstVersion = 1;

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
        if (this->status && this->loop.clock().now() - this->statusAt <= statusMaxAge) {
            state.engine = this->status->report;
            state.engine->switching = this->status->busy || this->aboutToSwitch;
        }
    });
    this->loop.spawn([this](kj::WaitScope &scope) { this->watchEngine(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->keepFetching(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->keepLoaded(scope); });
}

void AgentService::watchEngine(kj::WaitScope &scope)
{
    bool reached = true;
    while (true) {
        const absl::StatusOr<EngineStatus> read = this->engine.status(scope);
        if (read.ok() != reached) {
            reached = read.ok();
            this->logger.info(reached ? "engine_reached" : "engine_lost", {{"reason", std::string(read.status().message())}});
        }
        if (read.ok()) {
            const bool news = !this->status || this->status->report.weightsVersion != read->report.weightsVersion || this->status->busy != read->busy
                || this->status->report.startTime != read->report.startTime;
            if (news) {
                this->logger.info(
                    "engine_state",
                    {{"version", read->report.weightsVersion}, {"busy", read->busy}, {"orders", read->commandSequence}, {"born", read->report.startTime}});
            }
            this->status = *read;
            this->status->report.upstream = this->settings.engineAddress.text();
            this->statusAt = this->loop.clock().now();
            if (news) {
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
    const bool usable = found != configuration->services.end() && found->second.engine && !found->second.engine->model.empty();
    return usable ? found->second.engine : std::nullopt;
}

AK::Milliseconds AgentService::timeLeft(const std::string &model, int64_t version) const
{
    // Also the time of an older version that was named before, if the engine does not have that one either.
    AK::Milliseconds left = this->settings.switchTimeLimit;
    for (const LibFleet::WeightsTarget &target : this->fleet.weightsTargets(model)) {
        if (target.version > this->status->report.weightsVersion && target.version <= version) {
            left = std::min(left, this->settings.switchTimeLimit - (this->loop.clock().now() - target.learnedAt));
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
        return heldShare(firstVersion) < 1 ? firstVersion : 0;
    }
    std::vector<VersionProgress> named;
    for (const LibFleet::WeightsTarget &target : targets) {
        // The newest is kept for other agents also when the engine has it.
        if (target.version > this->status->report.weightsVersion || target.version == targets.back().version) {
            named.push_back({target.version, this->settings.switchTimeLimit - (this->loop.clock().now() - target.learnedAt), heldShare(target.version)});
        }
    }
    return versionToBring(named, BringTimes{});
}

SwarmView AgentService::view() const
{
    SwarmView view;
    std::set<std::string> addresses;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        // Two entries have the address of an engine that has just started anew.
        if (record.service != this->settings.service || record.address == this->settings.engineAddress || !addresses.insert(record.address.text()).second) {
            continue;
        }
        const auto region = this->settings.regionsByDomain.find(record.failureDomain);
        view.peers.push_back(
            {{record.address.text(), region == this->settings.regionsByDomain.end() ? "" : region->second}, {record.address.host, this->settings.rpcPort}});
    }
    const auto configuration = this->fleet.configuration();
    for (const auto &[name, service] : configuration->services) {
        if (service.origin) {
            view.origin = service.origin;
            view.originConnections = service.maxConnections;
            const auto region = this->settings.regionsByDomain.find(service.originFailureDomain);
            view.originRegion = region == this->settings.regionsByDomain.end() ? "" : region->second;
        }
    }
    return view;
}

void AgentService::keepFetching(kj::WaitScope &scope)
{
    while (true) {
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        if (const int64_t version = spec ? this->versionToFetch(*spec) : 0; version != 0) {
            this->fetch(scope, *spec, version);
        }
        this->loop.sleep(scope, fetchPoll);
    }
}

void AgentService::fetch(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version)
{
    const AK::Milliseconds now = this->loop.clock().now();
    const AK::Milliseconds began = this->fetchBegan.try_emplace(version, now).first->second;
    const SwarmView view = this->view();
    SwarmFetch fetch(this->loop, this->origin, {this->settings.engineAddress.text(), this->settings.region}, spec.model, version, view, began);
    std::shared_ptr<HeldVersion> held = this->store.find(spec.model, version);
    if (!held) {
        const absl::StatusOr<std::string> text = fetch.readManifest(scope);
        if (!text.ok()) {
            this->logger.info("manifest_not_read", {{"version", version}, {"reason", std::string(text.status().message())}});
            this->loop.sleep(scope, retryPause);
            return;
        }
        absl::StatusOr<WeightsManifest> manifest = this->origin.parseManifest(*text);
        if (!manifest.ok() || manifest->version != version || manifest->digests.size() != spec.chunks) {
            this->logger.warning("manifest_refused", {{"version", version}, {"reason", std::string(manifest.status().message())}});
            this->loop.sleep(scope, retryPause);
            return;
        }
        held = this->store.add(spec.model, *text, std::move(*manifest));
        this->takeStaged(scope, spec.model, *held);
    }
    const auto sameMembers = [&] {
        return this->loop.clock().now() - now < membersSettle || this->view().peers == view.peers;
    };
    fetch.fetchAll(scope, *held, [&] { return this->versionToFetch(spec) == version && sameMembers(); });
}

std::shared_ptr<HeldVersion> AgentService::newestComplete(const std::string &model) const
{
    const std::vector<LibFleet::WeightsTarget> &targets = this->fleet.weightsTargets(model);
    for (auto target = targets.rbegin(); target != targets.rend(); ++target) {
        std::shared_ptr<HeldVersion> held = this->store.find(model, target->version);
        if (held && held->complete()) {
            return held;
        }
    }
    const std::shared_ptr<HeldVersion> first = targets.empty() ? this->store.find(model, firstVersion) : nullptr;
    return first && first->complete() ? first : nullptr;
}

void AgentService::keepLoaded(kj::WaitScope &scope)
{
    while (true) {
        this->loop.sleep(scope, fetchPoll);
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        const std::shared_ptr<HeldVersion> held = spec ? this->newestComplete(spec->model) : nullptr;
        if (!held || this->status->report.weightsVersion >= held->manifest().version) {
            continue;
        }
        // Staged first and compared again right before the load: what is staged may turn bad meanwhile.
        if (!this->verifyStaged(scope, spec->model, *held) || !this->waitForTurn(scope, spec->model, held->manifest().version)
            || !this->verifyStaged(scope, spec->model, *held)) {
            this->loop.sleep(scope, retryPause);
            continue;
        }
        this->switchTo(scope, spec->model, *held);
    }
}

void AgentService::takeStaged(kj::WaitScope &scope, const std::string &model, HeldVersion &held)
{
    for (uint32_t i = 0; i < held.chunkCount(); ++i) {
        absl::StatusOr<std::string> data = this->engine.stagedChunk(scope, model, i);
        // What is staged may belong to another version; the first chunk tells.
        if (!data.ok() || (!held.put(i, std::move(*data)).ok() && i == 0)) {
            break;
        }
    }
    this->logger.info("staged_chunks_taken", {{"version", held.manifest().version}, {"chunks", held.heldCount()}, {"of", held.chunkCount()}});
}

bool AgentService::verifyStaged(kj::WaitScope &scope, const std::string &model, const HeldVersion &held)
{
    for (uint32_t i = 0; i < held.chunkCount(); ++i) {
        const absl::StatusOr<std::string> staged = this->engine.stagedChunk(scope, model, i);
        if (staged.ok() && *staged == held.chunk(i)) {
            continue;
        }
        if (!staged.ok() && !absl::IsNotFound(staged.status())) {
            return false;
        }
        const absl::Status put = this->engine.stageChunk(scope, model, i, held.chunk(i));
        if (!put.ok()) {
            this->logger.warning("chunk_not_staged", {{"chunk", i}, {"reason", std::string(put.message())}});
            return false;
        }
    }
    return true;
}

absl::StatusOr<EngineStatus> AgentService::freshStatus(kj::WaitScope &scope) const
{
    const AK::Milliseconds asked = this->loop.clock().now();
    while (this->statusAt <= asked) {
        if (this->loop.clock().now() - asked > statusMaxAge) {
            return absl::UnavailableError("the engine does not answer");
        }
        this->loop.sleep(scope, loadPoll);
    }
    return *this->status;
}

bool AgentService::waitForTurn(kj::WaitScope &scope, const std::string &model, int64_t version)
{
    if (this->status->report.weightsVersion == 0) {
        return true;
    }
    const SwarmView peers = this->view();
    const std::string self = this->settings.engineAddress.text();
    const std::string key = AK::concat(model, "/", version, "/load");
    const uint64_t own = AK::rendezvousWeight(key, self);
    const auto rank = static_cast<size_t>(
        std::count_if(peers.peers.begin(), peers.peers.end(), [&](const SwarmPeer &peer) { return AK::rendezvousWeight(key, peer.member.name) > own; }));
    const AK::Milliseconds until = this->loop.clock().now() + loadDelay(rank, peers.peers.size() + 1, this->timeLeft(model, version));
    while (this->loop.clock().now() < until) {
        if (this->status->report.weightsVersion == 0) {
            return true;
        }
        const std::shared_ptr<HeldVersion> newest = this->newestComplete(model);
        if (!newest || newest->manifest().version != version) {
            return false;
        }
        this->loop.sleep(scope, std::min(fetchPoll, until - this->loop.clock().now()));
    }
    return true;
}

void AgentService::letCallsEnd(kj::WaitScope &scope) const
{
    const AK::Milliseconds until = this->loop.clock().now() + drainTime;
    while (this->loop.clock().now() < until && this->status->report.running + this->status->report.waiting > callsCut) {
        this->loop.sleep(scope, loadPoll);
    }
}

void AgentService::switchTo(kj::WaitScope &scope, const std::string &model, const HeldVersion &held)
{
    const int64_t version = held.manifest().version;
    this->aboutToSwitch = true;
    KJ_DEFER(this->aboutToSwitch = false);
    this->exchange.pushNow();
    if (this->status->report.weightsVersion != 0) {
        this->letCallsEnd(scope);
    }
    const absl::StatusOr<EngineStatus> before = this->freshStatus(scope);
    if (!before.ok() || before->busy || before->report.weightsVersion == version) {
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
    const AK::Milliseconds until = this->loop.clock().now() + loadLimit;
    while (this->loop.clock().now() < until) {
        const absl::StatusOr<EngineStatus> now = this->freshStatus(scope);
        if (now.ok() && (now->report.weightsVersion == version || !now->busy)) {
            this->logger.info("loaded", {{"version", now->report.weightsVersion}, {"wanted", version}});
            return;
        }
    }
}

} // namespace WeightAgent
