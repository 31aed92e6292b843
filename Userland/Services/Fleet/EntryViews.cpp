#include <Fleet/EntryViews.h>

#include <algorithm>

namespace Fleet
{

namespace
{

// Time that news of an entry take to the farthest other one: a few exchanges within regions and one between regions, one of which may be lost.
constexpr AK::Milliseconds relayTime = 1'500;
constexpr uint16_t maxOpenSlots = 255;

// Entries that the store does not list are forgotten after this time without news.
constexpr AK::Milliseconds forgetAfter = 60'000;

void takeRegistration(LibPeers::NodeState &state, const LibFleet::EntryRecord &record)
{
    state.name = record.name;
    state.failureDomain = record.failureDomain;
    state.rpcAddress = record.rpcAddress.text();
    state.clientAddress = record.clientAddress.text();
}

} // namespace

bool isNewerHeartbeat(uint32_t heartbeat, uint32_t than)
{
    return static_cast<int32_t>(heartbeat - than) > 0;
}

EntryViews::EntryViews(std::string self, const AK::Clock &clock, LibFleet::FleetState &fleet)
    : self(std::move(self))
    , clock(clock)
    , fleet(fleet)
{
    fleet.observe([this] { this->indexRegistrations(); });
    this->indexRegistrations();
}

void EntryViews::indexRegistrations()
{
    for (const auto &[name, record] : this->fleet.entries()) {
        this->namesByHash[LibPeers::entryHash(name)] = name;
    }
}

uint32_t EntryViews::heartbeat() const
{
    return this->ownHeartbeat;
}

void EntryViews::beat()
{
    ++this->ownHeartbeat;
    const AK::Milliseconds now = this->clock.now();
    std::erase_if(this->views, [&](const auto &item) {
        return !this->fleet.entries().contains(item.first) && now - std::max(item.second.heardAt, item.second.sightedAt) > forgetAfter;
    });
}

bool EntryViews::record(const LibPeers::NodeState &peer)
{
    bool stopped = false;
    if (!peer.clientAddress.empty()) {
        EntryView &view = this->views[peer.name];
        stopped = view.state.ready && !peer.ready;
        // An entry that has restarted counts from 0 until this one's reply tells it the number that the others know.
        const bool known = !view.state.name.empty();
        const uint32_t newest = known && isNewerHeartbeat(view.state.heartbeat, peer.heartbeat) ? view.state.heartbeat : peer.heartbeat;
        view.state = peer;
        view.state.heartbeat = newest;
        view.state.sightings.clear();
        view.state.introduced.clear();
        view.heardAt = this->clock.now();
        view.failingSince = 0;
        this->namesByHash[LibPeers::entryHash(peer.name)] = peer.name;
    }
    for (const LibPeers::NodeState &introduced : peer.introduced) {
        if (introduced.name != this->self && !introduced.clientAddress.empty() && !this->views.contains(introduced.name)) {
            this->views[introduced.name].state = introduced;
            this->namesByHash[LibPeers::entryHash(introduced.name)] = introduced.name;
        }
    }
    for (const LibPeers::EntrySighting &sighting : peer.sightings) {
        stopped = this->recordSighting(sighting) || stopped;
    }
    return stopped;
}

bool EntryViews::recordSighting(const LibPeers::EntrySighting &sighting)
{
    if (sighting.entry == LibPeers::entryHash(this->self)) {
        // Others know a greater heartbeat of this entry from before its restart.
        if (isNewerHeartbeat(sighting.heartbeat, this->ownHeartbeat)) {
            this->ownHeartbeat = sighting.heartbeat + 1;
        }
        return false;
    }
    const auto name = this->namesByHash.find(sighting.entry);
    if (name == this->namesByHash.end()) {
        return false;
    }
    const auto registered = this->fleet.entries().find(name->second);
    const bool isRegistered = registered != this->fleet.entries().end();
    const auto known = this->views.find(name->second);
    if (known == this->views.end()) {
        // The first sighting may be of an entry that has ended since; only a growing heartbeat shows that it is alive.
        if (isRegistered) {
            LibPeers::NodeState &state = this->views[name->second].state;
            takeRegistration(state, registered->second);
            state.heartbeat = sighting.heartbeat;
        }
        return false;
    }
    EntryView &view = known->second;
    if (!isNewerHeartbeat(sighting.heartbeat, view.state.heartbeat)) {
        return false;
    }
    if (isRegistered) {
        // A replaced entry may have another address than the one that was heard last.
        takeRegistration(view.state, registered->second);
    }
    const bool stopped = view.state.ready && !sighting.ready;
    view.state.heartbeat = sighting.heartbeat;
    view.state.ready = sighting.ready;
    view.state.leaving = sighting.leaving;
    view.state.openSlots = sighting.openSlots;
    view.state.storeLost = sighting.storeLost;
    view.sightedAt = this->clock.now();
    return stopped;
}

void EntryViews::recordFailure(const std::string &rpcAddress)
{
    for (auto &[name, view] : this->views) {
        if (view.state.rpcAddress == rpcAddress && view.failingSince == 0) {
            view.failingSince = this->clock.now();
        }
    }
}

bool EntryViews::isLive(const EntryView &view, AK::Milliseconds maxAge) const
{
    const AK::Milliseconds now = this->clock.now();
    if (view.heardAt > 0 && now - view.heardAt <= maxAge) {
        return true;
    }
    // News that were under way when the entry stopped answering don't show that it is alive.
    const bool olderThanFailure = view.failingSince > 0 && view.sightedAt < view.failingSince + relayTime;
    return view.sightedAt > 0 && !olderThanFailure && now - view.sightedAt <= maxAge + relayTime;
}

bool EntryViews::isLive(const std::string &name, AK::Milliseconds maxAge) const
{
    const auto view = this->views.find(name);
    return view != this->views.end() && this->isLive(view->second, maxAge);
}

std::map<std::string, EntryView> EntryViews::live(AK::Milliseconds maxAge) const
{
    std::map<std::string, EntryView> live;
    for (const auto &[name, view] : this->views) {
        if (this->isLive(view, maxAge)) {
            live.emplace(name, view);
        }
    }
    return live;
}

bool EntryViews::hasRevisions(const std::string &name, const Revisions &revisions) const
{
    const auto view = this->views.find(name);
    return view != this->views.end()
        && std::equal(revisions.begin(), revisions.end(), view->second.state.revisions.begin(),
                      [](LibFleet::StorePosition wanted, LibFleet::StorePosition held) { return held >= wanted; });
}

bool EntryViews::anyHeardInRegion(const std::string &region, AK::Milliseconds maxAge) const
{
    const AK::Milliseconds now = this->clock.now();
    return std::any_of(this->views.begin(), this->views.end(), [&](const auto &item) {
        const auto record = this->fleet.entries().find(item.first);
        return record != this->fleet.entries().end() && record->second.region == region && item.second.heardAt > 0 && now - item.second.heardAt <= maxAge;
    });
}

void EntryViews::addSightings(LibPeers::NodeState &own, AK::Milliseconds maxAge) const
{
    const auto add = [&own](const LibPeers::NodeState &state, uint32_t heartbeat) {
        own.sightings.push_back({LibPeers::entryHash(state.name), heartbeat, state.ready, state.leaving,
                                 static_cast<uint8_t>(std::min(maxOpenSlots, state.openSlots)), state.storeLost});
    };
    for (const auto &[name, view] : this->views) {
        if (this->isLive(view, maxAge)) {
            add(view.state, view.state.heartbeat);
            if (!this->fleet.entries().contains(name)) {
                own.introduced.push_back(view.state);
            }
        }
    }
}

} // namespace Fleet
