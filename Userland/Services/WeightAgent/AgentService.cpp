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
constexpr AK::Milliseconds idlePause = 100;
constexpr AK::Milliseconds retryPause = 200;
// Drain and load of one engine; the last load of a rollout begins this long before its end.
constexpr AK::Milliseconds loadTime = 2'500;
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
{
}

VersionStore &AgentService::versions()
{
    return this->store;
}

void AgentService::start()
{
    this->exchange.describeWith([this](LibPeers::NodeState &state) {
        if (this->status && this->loop.clock().now() - this->statusAt <= statusMaxAge) {
            state.engine = this->status->report;
            state.engine->switching = this->status->busy || this->aboutToSwitch;
        }
    });
    this->loop.spawn([this](kj::WaitScope &scope) { this->watchEngine(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->keepWeights(scope); });
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
                || this->status->report.born != read->report.born;
            if (news) {
                this->logger.info("engine_state", {{"version", read->report.weightsVersion}, {"busy", read->busy}, {"orders", read->orders}, {"born", read->report.born}});
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

const LibFleet::EngineSpec *AgentService::engineSpec() const
{
    if (!this->configuration) {
        return nullptr;
    }
    const auto found = this->configuration->services.find(this->settings.service);
    return found == this->configuration->services.end() || !found->second.engine ? nullptr : &*found->second.engine;
}

int64_t AgentService::wantedVersion(const std::string &model) const
{
    const int64_t named = this->fleet.weightsTarget(model).version;
    return named > 0 ? named : firstVersion;
}

SwarmView AgentService::view() const
{
    SwarmView view;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        if (record.service != this->settings.service || record.address == this->settings.engineAddress) {
            continue;
        }
        const auto region = this->settings.regionsByDomain.find(record.failureDomain);
        view.peers.push_back({{record.address.text(), region == this->settings.regionsByDomain.end() ? "" : region->second},
                              {record.address.host, this->settings.rpcPort}});
    }
    for (const auto &[name, service] : this->configuration->services) {
        if (service.origin) {
            view.origin = service.origin;
            const auto region = this->settings.regionsByDomain.find(service.originFailureDomain);
            view.originRegion = region == this->settings.regionsByDomain.end() ? "" : region->second;
        }
    }
    return view;
}

void AgentService::keepWeights(kj::WaitScope &scope)
{
    while (true) {
        this->configuration = this->fleet.configuration();
        const LibFleet::EngineSpec *spec = this->engineSpec();
        if (spec == nullptr || !this->status || spec->model.empty()) {
            this->loop.sleep(scope, idlePause);
            continue;
        }
        const int64_t version = this->wantedVersion(spec->model);
        const std::shared_ptr<HeldVersion> held = this->store.find(spec->model, version);
        if (this->status->report.weightsVersion == version && held && held->complete()) {
            this->loop.sleep(scope, idlePause);
            continue;
        }
        this->bring(scope, *spec, version);
        this->loop.sleep(scope, idlePause);
    }
}

void AgentService::bring(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version)
{
    const std::string model = spec.model;
    const std::shared_ptr<HeldVersion> held = this->obtain(scope, spec, version);
    if (!held || !held->complete()) {
        this->loop.sleep(scope, retryPause);
        return;
    }
    if (this->status->report.weightsVersion == version) {
        return;
    }
    if (!this->verifyStaged(scope, model, *held) || !this->waitForTurn(scope, model, version) || !this->verifyStaged(scope, model, *held)) {
        this->loop.sleep(scope, retryPause);
        return;
    }
    this->switchTo(scope, model, *held);
}

std::shared_ptr<HeldVersion> AgentService::obtain(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version)
{
    const std::string model = spec.model;
    SwarmFetch fetch(this->loop, this->origin, {this->settings.engineAddress.text(), this->settings.region}, model, version, this->view());
    std::shared_ptr<HeldVersion> held = this->store.find(model, version);
    if (!held) {
        const absl::StatusOr<std::string> text = fetch.readManifest(scope);
        if (!text.ok()) {
            this->logger.info("manifest_not_read", {{"version", version}, {"reason", std::string(text.status().message())}});
            return nullptr;
        }
        absl::StatusOr<WeightsManifest> manifest = this->origin.parseManifest(*text);
        if (!manifest.ok() || manifest->version != version || manifest->digests.size() != spec.chunks) {
            this->logger.warning("manifest_refused", {{"version", version}, {"reason", std::string(manifest.status().message())}});
            return nullptr;
        }
        held = this->store.add(model, *text, std::move(*manifest));
        this->takeStaged(scope, model, *held);
    }
    if (!held->complete()) {
        fetch.fetchAll(
            scope, *held, [&] { return this->wantedVersion(model) == version; }, [](uint32_t) {});
    }
    return held;
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

AK::Milliseconds AgentService::timeLeft(const std::string &model) const
{
    AK::Milliseconds knownFor = 0;
    for (const LibFleet::WeightsTarget &target : this->fleet.weightsTargets(model)) {
        if (target.version > this->status->report.weightsVersion) {
            knownFor = std::max(knownFor, this->loop.clock().now() - target.learnedAt);
        }
    }
    return this->settings.switchWithin - knownFor;
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
    const auto rank = static_cast<size_t>(std::count_if(peers.peers.begin(), peers.peers.end(),
                                                        [&](const SwarmPeer &peer) { return AK::rendezvousWeight(key, peer.member.name) > own; }));
    const AK::Milliseconds delay = loadDelay(rank, peers.peers.size() + 1, this->timeLeft(model), loadTime);
    const AK::Milliseconds until = this->loop.clock().now() + delay;
    while (this->loop.clock().now() < until) {
        if (this->wantedVersion(model) != version || this->status->report.weightsVersion == 0) {
            return this->wantedVersion(model) == version;
        }
        this->loop.sleep(scope, std::min(idlePause, until - this->loop.clock().now()));
    }
    return true;
}

void AgentService::switchTo(kj::WaitScope &scope, const std::string &model, const HeldVersion &held)
{
    const int64_t version = held.manifest().version;
    this->aboutToSwitch = true;
    KJ_DEFER(this->aboutToSwitch = false);
    this->exchange.pushNow();
    const absl::StatusOr<EngineStatus> before = this->freshStatus(scope);
    if (!before.ok() || before->busy || before->report.weightsVersion == version) {
        return;
    }
    const absl::StatusOr<OrderAnswer> answer = this->engine.load(scope, model, version, LoadStrategy::WaitForCalls, before->orders);
    this->logger.info("load_ordered", {{"version", version},
                                       {"previous", before->report.weightsVersion},
                                       {"running", before->report.running},
                                       {"orders", before->orders},
                                       {"answer", answer.ok() ? std::string(AK::nameOf(orderAnswerNames, *answer)) : std::string(answer.status().message())}});
    if (answer.ok() && *answer != OrderAnswer::Accepted) {
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
