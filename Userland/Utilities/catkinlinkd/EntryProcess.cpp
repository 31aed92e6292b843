#include "EntryProcess.h"

#include <Gateway/AddressChoice.h>
#include <platform/Directory.h>

namespace
{

// An entry that has not answered for this long is not named to clients.
constexpr AK::Milliseconds entryMaxAge = 1'000;
// Clients keep the addresses this long, some of them three times as long.
constexpr AK::Milliseconds addressLifetime = 1'000;
constexpr AK::Milliseconds registerInterval = 500;
constexpr AK::Milliseconds shareInterval = 250;
// An entry that was silent for this long is removed from the store; a restart takes seconds.
constexpr AK::Milliseconds removeAfter = 60'000;
constexpr AK::Milliseconds removeInterval = 5'000;
// Time from SIGTERM until idle connections are ended: clients have asked for addresses again.
constexpr AK::Milliseconds idleCloseAfter = 3'500;
constexpr AK::Milliseconds drainPoll = 50;
// Calls that come later might not end within the grace; clients have had new addresses for a second by then.
constexpr AK::Milliseconds takeCallsFor = 2'500;
// Kept of the grace for ending the process.
constexpr AK::Milliseconds stopReserve = 700;

} // namespace

EntryProcess::EntryProcess(LibFiber::Loop &loop, const Platform::NodeSettings &settings)
    : loop(loop)
    , settings(settings)
    , node(loop, settings, *settings.rpcAddress, *settings.clientAddress)
    , slotClient(loop, this->node.fleet)
    , dispatcher(loop, this->node.fleet, dispatchSettings(settings), &this->slotClient)
    , links(loop)
    , gateway({loop, this->node.fleet, this->codec, this->dispatcher, this->links, this->metrics}, *settings.clientAddress)
    , peers(loop, this->node.exchange, nullptr, &this->dispatcher)
    , readiness(loop, *settings.readinessAddress, [this](const auto &head) { return this->answerReadiness(head); })
    , directory(loop, *settings.directoryAddress, [this](const auto &head) { return this->answerDirectory(head); })
    , metricsServer(loop, {settings.ip, metricsPort}, [this](const auto &) { return this->answerMetrics(); })
{
    this->dispatcher.setRegions(settings.regionsByDomain);
    this->node.exchange.completeStateWith([this](LibPeers::NodeState &state) {
        state.ready = this->ready();
        state.leaving = this->leaving;
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
    this->loop.spawn([this](kj::WaitScope &scope) { this->shareUpstreams(scope); });
    this->loop.spawn([this](kj::WaitScope &scope) { this->removeLost(scope); });
    return absl::OkStatus();
}

void EntryProcess::reconfigure(const Platform::NodeSettings &changed)
{
    this->settings = changed;
    const Gateway::DispatchSettings dispatch = dispatchSettings(changed);
    this->dispatcher.setBounds(dispatch.retries, dispatch.upstreams.weightsSwitchDelay);
    this->dispatcher.setRegions(changed.regionsByDomain);
    this->node.exchange.setSeeds(changed.seeds);
}

void EntryProcess::drain()
{
    const AK::Milliseconds begun = this->loop.clock().now();
    const AK::Milliseconds limit = begun + this->settings.bounds.shutdownGracePeriod - stopReserve;
    this->leaving = true;
    this->gateway.beginDrain(takeCallsFor);
    this->node.exchange.pushNow();
    this->loop.spawn([this](kj::WaitScope &scope) { this->unregisterSelf(scope); });
    kj::WaitScope &scope = this->loop.rootScope();
    while (this->loop.clock().now() < limit) {
        this->loop.sleep(scope, drainPoll);
        if (this->loop.clock().now() - begun >= idleCloseAfter) {
            this->gateway.closeIdle();
            if (this->gateway.openConnections() == 0) {
                break;
            }
        }
    }
    this->logger.info("drained", {{"took_ms", this->loop.clock().now() - begun}, {"calls_left", this->gateway.callsInProgress()}});
}

Gateway::DispatchSettings EntryProcess::dispatchSettings(const Platform::NodeSettings &settings)
{
    Gateway::DispatchSettings result;
    result.upstreams.name = settings.name;
    result.upstreams.region = settings.region;
    result.retries = {settings.bounds.retryRatio, settings.bounds.retryExtra, settings.bounds.retryWindow};
    result.upstreams.weightsSwitchDelay = switchBefore(settings);
    return result;
}

bool EntryProcess::ready() const
{
    return !this->leaving && this->node.fleet.configuration() != nullptr;
}

Gateway::SimpleHttpResponse EntryProcess::answerMetrics()
{
    this->metrics.set("catkinlink_calls_waiting", {}, static_cast<double>(this->dispatcher.waitingCalls()));
    this->metrics.set("catkinlink_calls_in_flight", {}, this->dispatcher.callsInFlight());
    return {200, "text/plain; version=0.0.4", this->metrics.text()};
}

Gateway::SimpleHttpResponse EntryProcess::answerReadiness(const LibHttpStream::RequestHead &head) const
{
    constexpr int unavailable = 503;
    constexpr int notFound = 404;
    if (!Platform::isReadinessRequest(head)) {
        return {notFound, "application/json", "{}"};
    }
    return {this->ready() ? 200 : unavailable, "application/json", "{}"};
}

Gateway::SimpleHttpResponse EntryProcess::answerDirectory(const LibHttpStream::RequestHead &head)
{
    constexpr int notFound = 404;
    if (!Platform::isAddressRequest(head)) {
        return {notFound, "application/json", "{}"};
    }
    std::vector<Gateway::DirectoryEntry> entries;
    if (this->ready()) {
        entries.push_back({*this->settings.clientAddress, this->settings.failureDomain});
    }
    for (const auto &[name, view] : this->node.exchange.liveEntries(entryMaxAge)) {
        const absl::StatusOr<AK::Endpoint> address = AK::parseEndpoint(view.state.clientAddress);
        if (name != this->settings.name && view.state.ready && !view.state.leaving && address.ok()) {
            entries.push_back({*address, view.state.failureDomain});
        }
    }
    if (entries.empty()) {
        entries.push_back({*this->settings.clientAddress, this->settings.failureDomain});
    }
    const std::vector<AK::Endpoint> addresses = Gateway::chooseAddresses(entries, Platform::failureDomainOfClient(head), this->random);
    return {200, "application/json", Platform::encodeAddresses(addresses, std::min(addressLifetime, this->settings.bounds.addressLifetime))};
}

void EntryProcess::shareUpstreams(kj::WaitScope &scope)
{
    while (true) {
        std::vector<LibGateway::EntryLocation> places{{this->settings.name, this->settings.failureDomain}};
        for (const auto &[name, view] : this->node.exchange.liveEntries(entryMaxAge)) {
            if (name != this->settings.name && view.state.ready) {
                places.push_back({name, view.state.failureDomain});
            }
        }
        this->dispatcher.setEntries(std::move(places));
        this->loop.sleep(scope, shareInterval);
    }
}

void EntryProcess::registerSelf(kj::WaitScope &scope)
{
    const LibFleet::EntryRecord self{this->settings.name, *this->settings.rpcAddress, *this->settings.clientAddress, this->settings.region,
                                     this->settings.failureDomain};
    while (!this->leaving) {
        const auto known = this->node.fleet.entries().find(self.name);
        const bool current =
            known != this->node.fleet.entries().end() && known->second.rpcAddress == self.rpcAddress && known->second.clientAddress == self.clientAddress;
        if (!current) {
            const absl::Status status = this->node.store.put(scope, LibFleet::ObjectKind::Entries, self.name, this->node.decoder.encodeEntry(self));
            if (status.ok()) {
                this->logger.info("registered");
            } else {
                this->logger.info("not_registered", {{"reason", std::string(status.message())}});
            }
        }
        this->loop.sleep(scope, registerInterval);
    }
}

void EntryProcess::removeLost(kj::WaitScope &scope)
{
    std::map<std::string, AK::Milliseconds> heardAt;
    while (!this->leaving) {
        this->loop.sleep(scope, removeInterval);
        const AK::Milliseconds now = this->loop.clock().now();
        const auto live = this->node.exchange.liveEntries(removeInterval);
        // Copied: an erase waits, and the entries change meanwhile.
        const std::map<std::string, LibFleet::EntryRecord> entries = this->node.fleet.entries();
        for (const auto &[name, entry] : entries) {
            const bool heard = name == this->settings.name || live.contains(name);
            const AK::Milliseconds since = heard ? now : heardAt.try_emplace(name, now).first->second;
            heardAt[name] = since;
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
