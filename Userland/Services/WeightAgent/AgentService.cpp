#include "AgentService.h"

#include <algorithm>

namespace WeightAgent
{

namespace
{

// An engine status older than this is not reported to other processes.
constexpr AK::Milliseconds statusMaxAge = 600;
constexpr AK::Milliseconds fetchPollInterval = 50;
constexpr AK::Milliseconds retryDelay = 200;
constexpr AK::Milliseconds manifestPollInterval = 10;

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
    , staging(loop, engine)
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
    this->loop.spawn([this](kj::WaitScope &scope) { this->runManifestLoop(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->runFetchLoop(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->runStageLoop(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->runLoadLoop(scope); });
}

absl::StatusOr<EngineStatus> AgentService::readStatus(kj::WaitScope &scope)
{
    const AK::Milliseconds askedAt = this->loop.clock().now();
    absl::StatusOr<EngineStatus> read = this->engine.status(scope);
    if (askedAt < this->statusAskedAt) {
        // A later call has been answered before.
        return read;
    }
    this->staging.noteStatus(read);
    if (!read.ok()) {
        return read;
    }
    read->report.upstream = this->settings.engineAddress.text();
    const bool changed = !this->status || this->status->report.weightsVersion != read->report.weightsVersion || this->status->busy != read->busy
        || this->status->report.startTime != read->report.startTime;
    this->status = *read;
    this->statusAskedAt = askedAt;
    this->statusReadAt = this->loop.clock().now();
    if (changed) {
        this->logger.info(
            "engine_state",
            {{"version", read->report.weightsVersion}, {"busy", read->busy}, {"orders", read->commandSequence}, {"born", read->report.startTime}});
        this->exchange.pushNow();
    }
    return read;
}

void AgentService::pollEngine(kj::WaitScope &scope)
{
    bool reachable = true;
    while (true) {
        const absl::StatusOr<EngineStatus> read = this->readStatus(scope);
        if (read.ok() != reachable) {
            reachable = read.ok();
            this->logger.info(reachable ? "engine_reached" : "engine_lost", {{"reason", std::string(read.status().message())}});
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

std::vector<LibFleet::WeightsTarget> AgentService::targetsToFetch(const std::string &model) const
{
    std::vector<LibFleet::WeightsTarget> result;
    if (!this->fleet.weightsTargetsKnown()) {
        return result;
    }
    const std::vector<LibFleet::WeightsTarget> &targets = this->fleet.weightsTargets(model);
    for (const LibFleet::WeightsTarget &target : targets) {
        // The newest version is fetched even when the engine has it, so that other agents can get it from here.
        if (target.version > this->status->report.weightsVersion || target.version == targets.back().version) {
            result.push_back(target);
        }
    }
    if (targets.empty()) {
        result.push_back({initialVersion, this->loop.clock().uninterruptedTime()});
    }
    return result;
}

OriginLink AgentService::originLink() const
{
    OriginLink link;
    link.agentMbps = this->settings.linkMbps;
    const auto configuration = this->fleet.configuration();
    for (const auto &[name, service] : configuration->services) {
        if (name == this->settings.service && service.engine) {
            link.chunkBytes = service.engine->chunkBytes;
        }
        if (service.origin) {
            link.originMbps = service.originLinkMbps;
        }
    }
    return link;
}

VersionOutlook AgentService::outlookOf(const LibFleet::EngineSpec &spec, const LibFleet::WeightsTarget &target) const
{
    const std::shared_ptr<HeldVersion> held = this->store.find(spec.model, target.version);
    VersionOutlook outlook;
    outlook.version = target.version;
    outlook.timeLeft = this->settings.switchTimeLimit - (this->loop.clock().uninterruptedTime() - target.learnedAt);
    outlook.chunks = held ? held->chunkCount() : spec.chunks;
    outlook.held = held ? held->heldCount() : 0;
    const auto offers = this->offersByVersion.find(target.version);
    outlook.offered = assumedOffers(offers == this->offersByVersion.end() ? KnownOffers() : offers->second, outlook.chunks - outlook.held,
                                    this->originContact.reached, this->loop.clock().now());
    return outlook;
}

int64_t AgentService::versionToFetch(const LibFleet::EngineSpec &spec) const
{
    std::vector<VersionOutlook> outlooks;
    std::vector<VersionProgress> candidates;
    for (const LibFleet::WeightsTarget &target : this->targetsToFetch(spec.model)) {
        const VersionOutlook &outlook = outlooks.emplace_back(this->outlookOf(spec, target));
        const double heldShare = outlook.chunks == 0 ? 0.0 : static_cast<double>(outlook.held) / static_cast<double>(outlook.chunks);
        candidates.push_back({outlook.version, outlook.timeLeft, heldShare});
    }
    const OriginLink link = this->originLink();
    return isScheduled(link) ? chooseVersionByRates(outlooks, link, this->originContact.reached) : chooseVersionToFetch(candidates, DurationEstimates{});
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
    swarmView.originLink = this->originLink();
    const auto configuration = this->fleet.configuration();
    for (const auto &[name, service] : configuration->services) {
        if (service.origin) {
            swarmView.origin = service.origin;
            swarmView.originConnections = service.maxConnections;
            const auto region = this->settings.regionsByDomain.find(service.originFailureDomain);
            swarmView.originRegion = region == this->settings.regionsByDomain.end() ? "" : region->second;
        }
    }
    return swarmView;
}

SwarmFetch AgentService::makeFetch(const LibFleet::EngineSpec &spec, int64_t version, AK::Milliseconds startedAt)
{
    return SwarmFetch(this->loop, this->origin, this->manifestProof, this->originContact, {this->settings.engineAddress.text(), this->settings.region},
                      spec.model, version, this->swarmView(), startedAt);
}

void AgentService::runManifestLoop(kj::WaitScope &scope)
{
    while (true) {
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        for (const LibFleet::WeightsTarget &target : spec ? this->targetsToFetch(spec->model) : std::vector<LibFleet::WeightsTarget>()) {
            if (!this->store.hasManifest(spec->model, target.version) && this->manifestReads.insert(target.version).second) {
                this->loop.spawn([this, spec = *spec, version = target.version](kj::WaitScope &inner) {
                    KJ_DEFER(this->manifestReads.erase(version));
                    this->readManifest(inner, spec, version);
                });
            }
        }
        this->loop.sleep(scope, manifestPollInterval);
    }
}

void AgentService::readManifest(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version)
{
    const AK::Milliseconds wantedAt = this->manifestWantedAt.try_emplace(version, this->loop.clock().now()).first->second;
    absl::StatusOr<std::string> text = this->makeFetch(spec, version, wantedAt).readManifest(scope);
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
    this->logger.info("manifest_read", {{"version", version}, {"after_ms", this->loop.clock().now() - wantedAt}});
    this->store.announce(spec.model, std::move(*text), std::move(*manifest));
}

void AgentService::runFetchLoop(kj::WaitScope &scope)
{
    while (true) {
        const std::optional<LibFleet::EngineSpec> spec = this->engineSpec();
        const int64_t version = spec ? this->versionToFetch(*spec) : 0;
        if (version != 0 && this->store.hasManifest(spec->model, version)) {
            this->fetch(scope, *spec, version);
        }
        this->loop.sleep(scope, version == 0 ? fetchPollInterval : manifestPollInterval);
    }
}

void AgentService::fetch(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version)
{
    std::shared_ptr<HeldVersion> held = this->store.find(spec.model, version);
    if (!held) {
        held = this->store.begin(spec.model, version);
        this->staging.adopt(scope, spec.model, *held, [&] { return this->versionToFetch(spec) == version; });
    }
    SwarmFetch::Watch watch;
    watch.shouldContinue = [&] {
        return this->versionToFetch(spec) == version;
    };
    watch.currentView = [&] {
        return this->swarmView();
    };
    watch.noteOffers = [&](size_t count) {
        this->offersByVersion[version] = {count, this->loop.clock().now()};
    };
    this->fetchedVersion = version;
    KJ_DEFER(this->fetchedVersion = 0);
    // Not the time at which the manifest was first wanted: while an older version is fetched, this one is not overdue.
    const AK::Milliseconds startedAt = this->fetchStartedAt.try_emplace(version, this->loop.clock().now()).first->second;
    this->makeFetch(spec, version, startedAt).fetchAll(scope, *held, std::move(watch));
}

} // namespace WeightAgent
