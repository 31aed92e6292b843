#pragma once

#include <LibFleet/FleetState.h>
#include <LibPeers/PeerRecords.h>
#include <map>

namespace Fleet
{

/// The newest known state of another entry.
struct EntryView {
    LibPeers::NodeState state;
    /// Monotonic time of the last exchange with the entry itself; 0 before the first one.
    AK::Milliseconds heardAt = 0;
    /// Monotonic time at which other entries last told of a newer heartbeat; 0 before the first one.
    AK::Milliseconds sightedAt = 0;
    /// Monotonic time since which exchanges with the entry itself fail; 0 while they succeed.
    AK::Milliseconds failingSince = 0;
};

/// What a process knows about the entries of the deployment: from exchanges with some of them, and by what these tell of the others. A heartbeat that grows
/// shows that an entry is alive, whatever path the news took, so that entries that can't reach each other still know of each other.
class EntryViews
{
public:
    EntryViews(std::string self, const AK::Clock &clock, LibFleet::FleetState &fleet);

    /// Records the state that another process itself has sent, and what it tells of others. Returns whether an entry is found to have stopped accepting
    /// clients, which the others must learn at once.
    bool record(const LibPeers::NodeState &peer);

    /// Records that an exchange with an entry has failed.
    void recordFailure(const std::string &rpcAddress);

    /// Entries that were heard within `maxAge` ms, or of which others told within `maxAge` and the time that news take through the fleet.
    std::map<std::string, EntryView> live(AK::Milliseconds maxAge) const;

    bool isLive(const std::string &name, AK::Milliseconds maxAge) const;

    using Revisions = std::array<LibFleet::StorePosition, LibFleet::objectKindCount>;

    /// Whether an entry had objects of all these revisions when it was heard last.
    bool hasRevisions(const std::string &name, const Revisions &revisions) const;

    /// Whether an entry of a region, this process excepted, was heard within `maxAge` ms.
    bool anyHeardInRegion(const std::string &region, AK::Milliseconds maxAge) const;

    /// Adds the sightings of all live entries, and the states of those that the store does not list.
    void addSightings(LibPeers::NodeState &own, AK::Milliseconds maxAge) const;

    /// Heartbeat of this process.
    uint32_t heartbeat() const;
    void beat();

private:
    bool recordSighting(const LibPeers::EntrySighting &sighting);
    bool isLive(const EntryView &view, AK::Milliseconds maxAge) const;
    void indexRegistrations();

    std::string self;
    const AK::Clock &clock;
    const LibFleet::FleetState &fleet;
    uint32_t ownHeartbeat = 0;
    std::map<std::string, EntryView> views;
    /// Names of registered and of introduced entries by entryHash().
    std::map<uint32_t, std::string> namesByHash;
};

/// Whether a heartbeat is newer than another one, modulo 2^32.
bool isNewerHeartbeat(uint32_t heartbeat, uint32_t than);

} // namespace Fleet
