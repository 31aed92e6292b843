#include <Fleet/PeerExchange.h>

#include <algorithm>

namespace Fleet
{

namespace
{

// Interval of the heartbeat and of the choice of partners.
constexpr AK::Milliseconds partnerInterval = 250;
// Nobody can have news of an entry that was registered less than this ago.
constexpr AK::Milliseconds newEntryTime = 2'500;
// Seeds are tried while no entry has been heard for this long.
constexpr AK::Milliseconds seedMaxAge = 1'500;

} // namespace

void PeerExchange::chooseStoreWatchers()
{
    std::vector<LibFleet::EntryLocation> reachingStore;
    for (const auto &[name, view] : this->views.live(liveMaxAge)) {
        const auto record = this->state.entries().find(name);
        if (record != this->state.entries().end() && view.state.ready && !view.state.leaving && !view.state.storeLost) {
            reachingStore.push_back({name, record->second.failureDomain, record->second.region});
        }
    }
    const LibFleet::EntryLocation self{this->settings.name, this->settings.failureDomain, this->settings.region};
    this->feeds.setWatching(LibFleet::watchesStore(self, reachingStore, this->settings.partners));
}

std::vector<LibFleet::EntryLocation> PeerExchange::entriesTakenAsAlive()
{
    const AK::Milliseconds now = this->loop.clock().now();
    std::vector<LibFleet::EntryLocation> entries;
    for (const auto &[name, record] : this->state.entries()) {
        const AK::Milliseconds since = this->registeredSince.try_emplace(name, now).first->second;
        if (name == this->settings.name) {
            continue;
        }
        // Nobody tells agents of entries that they don't exchange with.
        const auto silent = this->silentUntil.find(record.rpcAddress.text());
        const bool alive = this->settings.clientAddress ? now - since < newEntryTime || this->views.isLive(name, liveMaxAge)
                                                        : silent == this->silentUntil.end() || now >= silent->second;
        if (alive) {
            entries.push_back({name, record.failureDomain, record.region});
        }
    }
    std::erase_if(this->silentUntil, [&](const auto &item) { return now - item.second > silentTime; });
    std::erase_if(this->registeredSince, [&](const auto &item) { return !this->state.entries().contains(item.first); });
    return entries;
}

std::string PeerExchange::engineId() const
{
    for (const auto &[id, record] : this->state.upstreams()) {
        if (this->settings.engineAddress && record.address == *this->settings.engineAddress) {
            return id;
        }
    }
    return "";
}

std::map<std::string, PeerExchange::Partner> PeerExchange::choosePartners()
{
    const LibFleet::EntryLocation self{this->settings.name, this->settings.failureDomain, this->settings.region};
    const std::vector<LibFleet::EntryLocation> alive = this->entriesTakenAsAlive();
    const std::vector<std::string> names = this->settings.clientAddress ? LibFleet::partnersOfEntry(self, alive, this->settings.partners)
                                                                        : LibFleet::partnersOfAgent(self, this->engineId(), alive, this->settings.partners);
    std::map<std::string, Partner> chosen;
    for (const std::string &name : names) {
        const LibFleet::EntryRecord &record = this->state.entries().at(name);
        const bool inOtherRegion = record.region != this->settings.region;
        AK::Milliseconds interval = inOtherRegion ? this->settings.crossRegionInterval : this->settings.interval;
        if (!this->settings.clientAddress) {
            interval = name == names.front() ? this->settings.interval : this->settings.standbyInterval;
        }
        chosen.emplace(record.rpcAddress.text(), Partner{name, record.rpcAddress, inOtherRegion, interval});
    }
    if (chosen.empty() || this->views.live(seedMaxAge).empty()) {
        for (const AK::Endpoint &seed : this->settings.seeds) {
            chosen.emplace(seed.text(), Partner{"", seed, false, this->settings.crossRegionInterval});
        }
    }
    chosen.erase(this->settings.rpcAddress.text());
    return chosen;
}

void PeerExchange::probeSilentEntry()
{
    std::vector<Partner> silent;
    for (const auto &[name, record] : this->state.entries()) {
        if (name != this->settings.name && !this->activeAddresses.contains(record.rpcAddress.text()) && !this->views.isLive(name, liveMaxAge)) {
            silent.push_back({name, record.rpcAddress, record.region != this->settings.region, 0});
        }
    }
    if (silent.empty()) {
        return;
    }
    this->loop.spawn([this, partner = silent[AK::uniformBelow(this->random, silent.size())]](kj::WaitScope &scope) {
        LibPeers::PeerClient link(this->loop, partner.address);
        (void)this->exchangeOnce(scope, link, partner, unreachedTimeout);
    });
}

void PeerExchange::followPartners(kj::WaitScope &scope)
{
    constexpr int roundsBetweenProbes = 4;
    for (int round = 0;; ++round) {
        this->views.beat();
        this->partners = this->choosePartners();
        if (this->settings.clientAddress) {
            this->chooseStoreWatchers();
        }
        for (const auto &[address, partner] : this->partners) {
            if (this->activeAddresses.insert(address).second) {
                this->loop.spawn([this, partner = partner](kj::WaitScope &inner) { this->exchangeWith(inner, partner); });
            }
        }
        if (this->settings.clientAddress && round % roundsBetweenProbes == 0) {
            this->probeSilentEntry();
        }
        this->loop.sleep(scope, partnerInterval);
    }
}

} // namespace Fleet
