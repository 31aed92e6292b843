#include "EntryProcess.h"

#include <AK/Hash.h>
#include <LibGateway/DrainPlan.h>
#include <algorithm>
#include <platform/Directory.h>

namespace
{

// Entries without a response for this long are left out of the addresses for clients.
constexpr AK::Milliseconds entryMaxAge = 1'000;
// Cache lifetime of the addresses; some clients keep them three times as long.
constexpr AK::Milliseconds addressLifetime = 1'000;
constexpr AK::Milliseconds registerInterval = 500;
// Time after a registration in which it may not have come back with the objects of the store.
constexpr AK::Milliseconds registrationReadTime = 2'000;
constexpr AK::Milliseconds dispatcherUpdateInterval = 250;
// Entries that record new targets of weights; one of them may be away at that moment.
constexpr int weightsRecorders = 2;
constexpr const char *weightsRecordKey = "weights_targets";
// Entries that were silent for this long are removed from the store. A restart takes only seconds.
constexpr AK::Milliseconds removeAfter = 60'000;
constexpr AK::Milliseconds removeInterval = 5'000;
constexpr AK::Milliseconds drainPoll = 50;

// A body takes about three times its size: the buffer grows ahead of it, and it is copied when it is sent. The rest is for everything else.
constexpr double bodyMemoryShare = 0.125;
constexpr double bytesPerMegabyte = 1e6;

uint64_t bodyMemoryLimit(const Platform::NodeSettings &settings)
{
    return static_cast<uint64_t>(settings.memoryMb * bytesPerMegabyte * bodyMemoryShare);
}

} // namespace

EntryProcess::EntryProcess(LibFiber::Loop &loop, const Platform::NodeSettings &settings)
    : loop(loop)
    , settings(settings)
    , node(loop, settings, *settings.rpcAddress, *settings.clientAddress, this->metrics)
    , slotClient(loop, this->node.fleet)
    , dispatcher(loop, this->node.fleet, dispatchSettings(settings), &this->slotClient)
    , upstreamConnections(loop, this->node.fleet)
    , crashes(loop, this->metrics)
    , quarantine(loop.clock(), this->node.fleet)
    , quarantineKeeper(loop, this->node.store, this->node.fleet, this->quarantine,
                       [this](const std::string &part) { return this->node.feeds.isStored(LibFleet::ObjectKind::QuarantinedParts, part); })
    , bodyMemory(bodyMemoryLimit(settings))
    , loopWatch(loop, this->metrics)
    , gateway({loop, this->node.fleet, this->codec, this->dispatcher, this->upstreamConnections, this->crashes, this->quarantine, this->metrics,
               this->bodyMemory, this->loopWatch},
              *settings.clientAddress)
    , peers(loop, this->node.exchange, nullptr, &this->dispatcher)
    , readiness(loop, *settings.readinessAddress, [this](const auto &head) { return this->readinessResponse(head); })
    , directory(loop, *settings.directoryAddress, [this](const auto &head) { return this->directoryResponse(head); })
    , metricsServer(loop, {settings.ip, metricsPort}, [this](const auto &) { return this->metricsResponse(); })
{
    this->dispatcher.setRegions(settings.regionsByDomain);
    this->node.exchange.completeStateWith([this](LibPeers::NodeState &state) {
        state.ready = this->ready();
        state.leaving = this->leaving;
        state.openSlots = static_cast<uint16_t>(std::clamp(this->dispatcher.openSlots(), 0, static_cast<int>(UINT16_MAX)));
        this->quarantine.addTo(state);
        this->dispatcher.addUpstreamNews(state);
    });
    this->crashes.onCrash([this](const LibGateway::Crash &crash) { this->quarantine.recordCrash(crash); });
    this->quarantine.onPartFound([this] { this->node.exchange.pushNow(); });
    this->node.exchange.onEntryState([this](const LibPeers::NodeState &state) {
        this->quarantine.record(state);
        this->dispatcher.adoptUpstreamNews(state);
    });
    this->node.exchange.onReport([this](const LibPeers::EngineReport &report) { this->dispatcher.recordReport(report); });
}

absl::Status EntryProcess::start()
{
    for (const absl::Status &status : {this->peers.listen(*this->settings.rpcAddress), this->readiness.start(), this->directory.start(),
                                       this->metricsServer.start(), this->gateway.start()}) {
        if (!status.ok()) {
            return status;
        }
    }
    this->node.feeds.watchStore();
    this->node.exchange.start();
    this->loop.spawn([this](kj::WaitScope &scope) { this->registerSelf(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->updateDispatcherEntries(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->removeSilentEntries(scope); });
    this->quarantineKeeper.start();
    this->loopWatch.start();
    return absl::OkStatus();
}

void EntryProcess::reconfigure(const Platform::NodeSettings &changed)
{
    this->settings = changed;
    const Gateway::DispatchSettings dispatch = dispatchSettings(changed);
    this->dispatcher.setBounds(dispatch.retries, dispatch.upstreams.weightsSwitchDelay, dispatch.upstreams.weightsBeginLimit);
    this->dispatcher.setRegions(changed.regionsByDomain);
    this->node.exchange.setSeeds(changed.seeds);
    this->node.feeds.setTimes(changed.bounds.store);
    this->bodyMemory.setLimit(bodyMemoryLimit(changed));
}

void EntryProcess::drain()
{
    const AK::Milliseconds startTime = this->loop.clock().now();
    const LibGateway::DrainPlan plan = LibGateway::planDrain(this->settings.bounds.shutdownGracePeriod);
    const auto elapsed = [&] {
        return this->loop.clock().now() - startTime;
    };
    this->leaving = true;
    this->gateway.beginDrain(plan.acceptUntil);
    this->node.exchange.pushNow();
    this->loop.spawn([this](kj::WaitScope &scope) { this->unregisterSelf(scope); });
    kj::WaitScope &scope = this->loop.rootScope();
    size_t callsAtAnswer = 0;
    bool answered = false;
    while (elapsed() < plan.endAt) {
        this->loop.sleep(scope, drainPoll);
        if (elapsed() >= plan.closeIdleAt) {
            this->gateway.closeIdle();
            if (this->gateway.openConnections() == 0) {
                break;
            }
        }
        if (!answered && elapsed() >= plan.answerAt) {
            answered = true;
            callsAtAnswer = this->gateway.callsInProgress();
            this->gateway.answerCalls();
        }
    }
    this->logger.info("drained", {{"took_ms", elapsed()}, {"calls_ended", callsAtAnswer}, {"calls_left", this->gateway.callsInProgress()}});
}

Gateway::DispatchSettings EntryProcess::dispatchSettings(const Platform::NodeSettings &settings)
{
    Gateway::DispatchSettings result;
    result.upstreams.name = settings.name;
    result.upstreams.region = settings.region;
    result.retries = {settings.bounds.retryRatio, settings.bounds.retryExtra, settings.bounds.retryWindow};
    result.competition = settings.callersCompete;
    result.upstreams.weightsSwitchDelay = weightsSwitchDelay(settings);
    result.upstreams.weightsBeginLimit = weightsBeginLimit(settings);
    return result;
}

bool EntryProcess::ready() const
{
    return !this->leaving && this->node.fleet.configuration() != nullptr;
}

Gateway::SimpleHttpResponse EntryProcess::metricsResponse()
{
    this->metrics.set("catkinlink_calls_waiting", {}, static_cast<double>(this->dispatcher.waitingCalls()));
    this->metrics.set("catkinlink_calls_in_flight", {}, this->dispatcher.callsInFlight());
    this->metrics.set("catkinlink_body_memory_bytes", {}, static_cast<double>(this->bodyMemory.heldBytes()));
    this->dispatcher.exportMetrics(this->metrics);
    return {200, "text/plain; version=0.0.4", this->metrics.text()};
}

Gateway::SimpleHttpResponse EntryProcess::readinessResponse(const LibHttpStream::RequestHead &head) const
{
    constexpr int unavailable = 503;
    constexpr int notFound = 404;
    if (!Platform::isReadinessRequest(head)) {
        return {notFound, "application/json", "{}"};
    }
    return {this->ready() ? 200 : unavailable, "application/json", "{}"};
}

Gateway::SimpleHttpResponse EntryProcess::directoryResponse(const LibHttpStream::RequestHead &head)
{
    constexpr int notFound = 404;
    if (!Platform::isAddressRequest(head)) {
        return {notFound, "application/json", "{}"};
    }
    Gateway::DirectoryClient client = Platform::clientOf(head);
    // The client's own word counts only where the settings do not know its failure domain.
    if (std::string known = this->regionOf(client.failureDomain); !known.empty()) {
        client.region = std::move(known);
    }
    const Gateway::AddressChoice choice = Gateway::chooseAddresses(this->listedEntries(), client, this->currentHomes().of(client.host), this->random);
    this->metrics.add("catkinlink_directory_responses_total", {{"scope", std::string(AK::nameOf(Gateway::addressScopeNames, choice.scope))}});
    return {200, "application/json", Platform::encodeAddresses(choice.addresses, std::min(addressLifetime, this->settings.bounds.addressLifetime))};
}

std::vector<Gateway::DirectoryEntry> EntryProcess::listedEntries() const
{
    const Gateway::DirectoryEntry self{*this->settings.clientAddress, this->settings.failureDomain, this->settings.region};
    std::vector<Gateway::DirectoryEntry> entries;
    if (this->ready()) {
        entries.push_back(self);
    }
    for (const auto &[name, view] : this->node.exchange.liveEntries(entryMaxAge)) {
        const absl::StatusOr<AK::Endpoint> address = AK::parseEndpoint(view.state.clientAddress);
        if (name != this->settings.name && view.state.ready && !view.state.leaving && address.ok()) {
            entries.push_back({*address, view.state.failureDomain, this->regionOf(view.state.failureDomain)});
        }
    }
    if (entries.empty()) {
        entries.push_back(self);
    }
    return entries;
}

std::string EntryProcess::regionOf(const std::string &failureDomain) const
{
    const auto found = this->settings.regionsByDomain.find(failureDomain);
    return found == this->settings.regionsByDomain.end() ? "" : found->second;
}

const Gateway::HomesByHost &EntryProcess::currentHomes()
{
    const std::shared_ptr<const LibFleet::Configuration> configuration = this->node.fleet.configuration();
    if (configuration != this->homesOf) {
        this->homes = Gateway::homesByHost(*configuration);
        this->homesOf = configuration;
    }
    return this->homes;
}

void EntryProcess::updateDispatcherEntries(kj::WaitScope &scope)
{
    while (true) {
        std::vector<LibFleet::EntryLocation> live;
        std::map<std::string, int> openSlots;
        std::vector<std::string> names{this->settings.name};
        for (const auto &[name, view] : this->node.exchange.liveEntries(entryMaxAge)) {
            if (name != this->settings.name && view.state.ready) {
                const auto region = this->settings.regionsByDomain.find(view.state.failureDomain);
                live.push_back({name, view.state.failureDomain, region == this->settings.regionsByDomain.end() ? "" : region->second});
                openSlots[name] = view.state.openSlots;
                names.push_back(name);
            }
        }
        const LibFleet::EntryLocation self{this->settings.name, this->settings.failureDomain, this->settings.region};
        this->dispatcher.setEntries(LibFleet::owningEntries(self, this->leaving, std::move(live)));
        this->dispatcher.setOpenSlots(std::move(openSlots));
        this->quarantineKeeper.setEntries(this->settings.name, std::move(names));
        this->loop.sleep(scope, dispatcherUpdateInterval);
    }
}

bool EntryProcess::mustRegister(const LibFleet::EntryRecord &self) const
{
    const auto known = this->node.fleet.entries().find(self.name);
    const bool registered = known != this->node.fleet.entries().end() && known->second.rpcAddress == self.rpcAddress
        && known->second.clientAddress == self.clientAddress && this->node.feeds.isStored(LibFleet::ObjectKind::Entries, self.name);
    if (!registered) {
        return true;
    }
    // Few entries record each new target, because all of them read each record that changes.
    const auto own = AK::rendezvousWeight(weightsRecordKey, self.name);
    const auto live = this->node.exchange.liveEntries(entryMaxAge);
    const auto before = std::ranges::count_if(live, [&](const auto &entry) { return AK::rendezvousWeight(weightsRecordKey, entry.first) > own; });
    return before < weightsRecorders && known->second.weightsTargets != self.weightsTargets;
}

void EntryProcess::registerSelf(kj::WaitScope &scope)
{
    const AK::Milliseconds startedAt = this->loop.clock().now();
    while (!this->leaving) {
        const LibFleet::EntryRecord self{this->settings.name,   *this->settings.rpcAddress,   *this->settings.clientAddress,
                                         this->settings.region, this->settings.failureDomain, this->node.fleet.newestWeightsTargets()};
        // What the record of an earlier process of this entry tells must be read before it is replaced.
        const bool mayReplace = this->node.feeds.position(LibFleet::ObjectKind::Entries) > 0 || this->loop.clock().now() - startedAt > registrationReadTime;
        if (mayReplace && this->mustRegister(self)) {
            const absl::Status status = this->node.store.put(scope, LibFleet::ObjectKind::Entries, self.name, this->node.decoder.encodeEntry(self));
            if (status.ok()) {
                this->logger.info("registered");
                this->loop.sleep(scope, registrationReadTime);
            } else {
                this->logger.info("not_registered", {{"reason", std::string(status.message())}});
            }
        }
        this->loop.sleep(scope, registerInterval);
    }
}

void EntryProcess::removeSilentEntries(kj::WaitScope &scope)
{
    std::map<std::string, AK::Milliseconds> lastHeard;
    while (!this->leaving) {
        this->loop.sleep(scope, removeInterval);
        const AK::Milliseconds now = this->loop.clock().now();
        const auto live = this->node.exchange.liveEntries(removeInterval);
        // A copy, because erase() suspends this fiber and the entries may change meanwhile.
        const std::map<std::string, LibFleet::EntryRecord> entries = this->node.fleet.entries();
        for (const auto &[name, entry] : entries) {
            const bool heard = name == this->settings.name || live.contains(name);
            const AK::Milliseconds since = heard ? now : lastHeard.try_emplace(name, now).first->second;
            lastHeard[name] = since;
            if (now - since < removeAfter || live.empty()) {
                continue;
            }
            const absl::Status status = this->node.store.erase(scope, LibFleet::ObjectKind::Entries, name);
            this->logger.info("entry_removed", {{"entry", name}, {"silent_ms", now - since}, {"reason", std::string(status.message())}});
        }
    }
}

void EntryProcess::unregisterSelf(kj::WaitScope &scope)
{
    const absl::Status status = this->node.store.erase(scope, LibFleet::ObjectKind::Entries, this->settings.name);
    this->logger.info("unregistered", {{"reason", std::string(status.message())}});
}
