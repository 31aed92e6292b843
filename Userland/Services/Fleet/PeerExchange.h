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

/// What is known of another entry from its own words.
struct EntryView {
    LibPeers::NodeState state;
    /// Monotonic time of its newest answer.
    AK::Milliseconds heardAt = 0;
};

/// Exchanges state with the entries of the deployment: liveness, engine reports, and objects of which the other side knows a newer revision. Entries
/// exchange with all other entries, agents with all entries.
/// FIXME: Beyond some tens of entries each process must talk to a random few of them; docs/CAPACITY.md gives the slope.
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
        /// RPC addresses at which entries may be found before any is known; may be stale.
        std::vector<AK::Endpoint> seeds;
        AK::Milliseconds interval = 250;
        /// With entries of other regions, whose links carry all other traffic too; changes are told at once anyway.
        AK::Milliseconds farInterval = 500;
    };

    PeerExchange(LibFiber::Loop &loop, Settings settings, ObjectFeeds &feeds, LibFleet::FleetState &state);
    ~PeerExchange() noexcept override;
    KJ_DISALLOW_COPY(PeerExchange);

    void start();

    /// Replaces the addresses at which entries are sought.
    void setSeeds(std::vector<AK::Endpoint> seeds);

    /// Completes the state that other processes are told.
    void completeStateWith(std::function<void(LibPeers::NodeState &)> completeState);

    /// Called for each engine report that arrives.
    void onReport(std::function<void(const LibPeers::EngineReport &)> observer);

    /// Entries that answered within `maxAge` ms, by name; this process is not among them.
    std::map<std::string, EntryView> liveEntries(AK::Milliseconds maxAge) const;

    /// Sends the state to all entries at once, in place of the next interval.
    void pushNow();

    LibPeers::NodeState exchange(const LibPeers::NodeState &from) override;
    LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, int64_t newerThan, bool agentPart) override;

private:
    void converse(kj::WaitScope &scope, const AK::Endpoint &address);
    void findEntries(kj::WaitScope &scope);
    void pullNewer(kj::WaitScope &scope, LibPeers::PeerClient &link, const LibPeers::NodeState &peer);
    LibPeers::NodeState ownState() const;
    bool isFar(const AK::Endpoint &address) const;
    /// Whether an entry of the own region has been heard from lately.
    bool hearsNear() const;
    AK::Milliseconds intervalTo(const AK::Endpoint &address) const;
    bool wanted(const AK::Endpoint &address) const;
    void heard(const LibPeers::NodeState &peer);

    LibFiber::Loop &loop;
    Settings settings;
    ObjectFeeds &feeds;
    LibFleet::FleetState &state;
    std::function<void(LibPeers::NodeState &)> completeState;
    std::function<void(const LibPeers::EngineReport &)> reportObserver;
    std::map<std::string, EntryView> heardEntries;
    std::set<std::string> conversations;
    /// What is known of the newest objects of a kind before they are here.
    struct Lag {
        /// A read from another process is under way, and no other one begins before this time.
        AK::Milliseconds readingUntil = 0;
        /// When objects newer than those of the revision `known` were first heard of; 0 for never.
        AK::Milliseconds since = 0;
        int64_t known = 0;
    };
    std::array<Lag, LibFleet::objectKindCount> lags;
    kj::Own<kj::PromiseFulfiller<void>> wakeUp;
    kj::ForkedPromise<void> woken;
    LibLog::Logger logger{"peers"};
};

} // namespace Fleet
