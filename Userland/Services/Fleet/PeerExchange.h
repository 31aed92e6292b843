#pragma once

#include <Fleet/ObjectFeeds.h>
#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Fleet
{

/// The newest state that another entry has sent.
struct EntryView {
    LibPeers::NodeState state;
    /// Monotonic time at which it arrived.
    AK::Milliseconds lastSeenAt = 0;
};

/// Exchanges state with the entries of the deployment: liveness, engine reports, and objects of which the other side has a newer revision. Entries exchange
/// with all other entries, agents with all entries.
/// FIXME: With more than some tens of entries each process must exchange with a few random ones only; docs/CAPACITY.md shows how the cost grows.
class PeerExchange final : public LibPeers::PeerHandler
{
public:
    struct Settings {
        std::string name;
        std::string failureDomain;
        std::string region;
        AK::Endpoint rpcAddress;
        /// Entries: where clients connect.
        std::optional<AK::Endpoint> clientAddress;
        /// RPC addresses to try before any entry is known; may be out of date.
        std::vector<AK::Endpoint> seeds;
        /// Time between exchanges with an entry of the own region, in ms.
        AK::Milliseconds interval = 250;
        /// The same for entries of other regions. Longer, because the links between regions carry all other traffic too; changes are sent at once anyway.
        AK::Milliseconds crossRegionInterval = 500;
    };

    PeerExchange(LibFiber::Loop &loop, Settings settings, ObjectFeeds &feeds, LibFleet::FleetState &state);
    ~PeerExchange() noexcept override;
    KJ_DISALLOW_COPY(PeerExchange);

    void start();

    /// Replaces the addresses to try before any entry is known.
    void setSeeds(std::vector<AK::Endpoint> seeds);

    /// Sets the function that adds the rest to the state before it is sent to another process.
    void completeStateWith(std::function<void(LibPeers::NodeState &)> completeState);

    /// Sets the function that is called for each engine report that arrives.
    void onReport(std::function<void(const LibPeers::EngineReport &)> observer);

    /// Entries whose state arrived within the last `maxAge` ms, by name; this process is not among them.
    std::map<std::string, EntryView> liveEntries(AK::Milliseconds maxAge) const;

    /// Sends the state to all entries at once instead of at the end of the interval.
    void pushNow();

    LibPeers::NodeState exchange(const LibPeers::NodeState &from) override;
    LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, int64_t newerThan, bool agentPart) override;

private:
    /// Exchanges with one process until it is no longer needed.
    void exchangeWith(kj::WaitScope &scope, const AK::Endpoint &address);
    void discoverEntries(kj::WaitScope &scope);
    void pullNewer(kj::WaitScope &scope, LibPeers::PeerClient &link, const LibPeers::NodeState &peer);
    LibPeers::NodeState ownState() const;
    bool isInOtherRegion(const AK::Endpoint &address) const;
    /// Whether an entry of the own region has sent its state recently.
    bool hasLiveEntryInRegion() const;
    AK::Milliseconds intervalTo(const AK::Endpoint &address) const;
    /// Whether the store lists an entry at the address or one answered there recently.
    bool isKnownEntry(const AK::Endpoint &address) const;
    void noteState(const LibPeers::NodeState &peer);

    LibFiber::Loop &loop;
    Settings settings;
    ObjectFeeds &feeds;
    LibFleet::FleetState &state;
    std::function<void(LibPeers::NodeState &)> completeState;
    std::function<void(const LibPeers::EngineReport &)> reportObserver;
    std::map<std::string, EntryView> entryViews;
    /// Addresses that a fiber exchanges with.
    std::set<std::string> activeAddresses;
    /// Newer objects of a kind that other processes have and this one has not read.
    struct PendingRead {
        /// While a read is running, no other one starts before this time; 0 when none is running.
        AK::Milliseconds exclusiveUntil = 0;
        /// Time at which objects newer than the revision `known` were first announced; 0 when none are.
        AK::Milliseconds announcedAt = 0;
        int64_t known = 0;
    };
    std::array<PendingRead, LibFleet::objectKindCount> pendingReads;
    kj::Own<kj::PromiseFulfiller<void>> wakeUp;
    kj::ForkedPromise<void> woken;
    LibLog::Logger logger{"peers"};
};

} // namespace Fleet
