#pragma once

#include <AK/Random.h>
#include <Fleet/EntryViews.h>
#include <Fleet/ObjectFeeds.h>
#include <LibFleet/Partners.h>
#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace Fleet
{

/// Exchanges state with a few entries of the deployment: liveness, engine reports, and objects of which the other side has a newer position. Which entries
/// these are follows from LibFleet::partnersOfEntry() and partnersOfAgent(); news of the others arrive by way of them.
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
        /// RPC addresses to try while no entry is known; may be out of date.
        std::vector<AK::Endpoint> seeds;
        /// Agents: where the engine of this host accepts calls.
        std::optional<AK::Endpoint> engineAddress;
        /// Time between exchanges of entries within a region, and of an agent with the owner of its engine, in ms.
        AK::Milliseconds interval = 250;
        /// The same for entries of different regions, whose links carry all other traffic too; changes are sent at once anyway.
        AK::Milliseconds crossRegionInterval = 500;
        /// The same for an agent and entries that would own its engine after the owner.
        AK::Milliseconds standbyInterval = 500;
        LibFleet::PartnerSettings partners;
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

    /// Sets the function that is called for the state of each entry that arrives from that entry itself.
    void onEntryState(std::function<void(const LibPeers::NodeState &)> observer);

    /// Entries known to be alive by news of the last `maxAge` ms, by name; this process is not among them. News that came by way of other entries may be older
    /// by the time that they take.
    std::map<std::string, EntryView> liveEntries(AK::Milliseconds maxAge) const;

    /// Sends the state to all partners at once instead of at the end of the interval.
    void pushNow();

    /// The same for those partners only that were behind with the objects when they were heard last.
    void pushObjects();

    LibPeers::NodeState exchange(const LibPeers::NodeState &from) override;
    LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart) override;

private:
    // For a process that does not answer yet. It may be starting, as all are after a power loss; a host without power never answers a connection attempt.
    static constexpr AK::Milliseconds unreachedTimeout = 250;
    // Entries without news for this long are not taken for partners.
    static constexpr AK::Milliseconds liveMaxAge = 1'000;
    // An agent turns to other entries in place of one that has not answered for liveMaxAge, and comes back to it after this time.
    static constexpr AK::Milliseconds silentTime = 2'000;

    struct Partner {
        /// Empty for a seed.
        std::string name;
        AK::Endpoint address;
        bool inOtherRegion = false;
        AK::Milliseconds interval = 0;

        bool operator==(const Partner &) const = default;
    };

    void followPartners(kj::WaitScope &scope);
    /// By RPC address.
    std::map<std::string, Partner> choosePartners();
    /// Entries that are alive or registered so recently that nobody can have news of them; for an agent those that have not failed to answer.
    std::vector<LibFleet::EntryLocation> entriesTakenAsAlive();
    std::string engineId() const;
    /// Tries one registered entry of which there is no news, so that the parts of the fleet find each other again after a cut.
    void probeSilentEntry();
    /// Exchanges with one partner until it is one no longer.
    void exchangeWith(kj::WaitScope &scope, const Partner &partner);
    absl::Status exchangeOnce(kj::WaitScope &scope, LibPeers::PeerClient &link, const Partner &partner, AK::Milliseconds timeout);
    void pullNewer(kj::WaitScope &scope, LibPeers::PeerClient &link, const LibPeers::NodeState &peer, bool inOtherRegion);
    /// Reads the newer objects of an entry that has just announced them.
    void pullSoon(const LibPeers::NodeState &peer);
    bool hasNewer(const LibPeers::NodeState &peer) const;
    /// Whether this process has read what it needs from the store or from others. Until then it exchanges at short intervals. Load pattern: all hosts of a
    /// deployment return from a loss of power, and engines wait for the agents, which wait for the entries.
    bool knowsFleet() const;
    /// Decides whether this entry or others of its region watch the store.
    void chooseStoreWatchers();
    EntryViews::Revisions ownRevisions() const;
    LibPeers::NodeState ownState(bool forEntry);
    /// Waits until the next exchange with a partner is due. `sentPushes`: `pushes` when the last exchange began.
    void waitForTurn(kj::WaitScope &scope, const Partner &partner, AK::Milliseconds interval, uint64_t sentPushes);
    void wakePartners();
    void record(const LibPeers::NodeState &peer);
    /// Takes over what a response tells about the store. `askedAt`: when the call began. The ages count from then for the end of the period, and from now for
    /// its begin, so that a slow call never makes it longer, however many processes pass it on. What a request tells is not used: its time on the way is
    /// unknown.
    void noteSteadyStore(const LibPeers::NodeState &peer, AK::Milliseconds askedAt);

    LibFiber::Loop &loop;
    Settings settings;
    ObjectFeeds &feeds;
    LibFleet::FleetState &state;
    EntryViews views;
    std::function<void(LibPeers::NodeState &)> completeState;
    std::function<void(const LibPeers::EngineReport &)> reportObserver;
    std::function<void(const LibPeers::NodeState &)> entryObserver;
    std::map<std::string, Partner> partners;
    /// Addresses that a fiber exchanges with.
    std::set<std::string> activeAddresses;
    /// Agents: monotonic time until which an entry that did not answer is not tried again, by RPC address.
    std::map<std::string, AK::Milliseconds> silentUntil;
    /// Monotonic time at which each registered entry was first seen.
    std::map<std::string, AK::Milliseconds> registeredSince;
    /// What others must learn at once when it changes. A change counts as a heartbeat, so that it replaces the older state everywhere.
    struct Announcement {
        bool ready = false;
        bool leaving = false;
        bool storeLost = false;

        bool operator==(const Announcement &) const = default;
    };
    Announcement announced;
    /// Connections for reading newer objects from entries that have announced them, by RPC address.
    std::map<std::string, std::shared_ptr<LibPeers::PeerClient>> pullLinks;
    AK::Milliseconds wokenAt = 0;
    /// Calls of pushNow().
    uint64_t pushes = 0;
    bool pushPending = false;
    AK::Random random;
    /// Newer objects of a kind that other processes have and this one has not read.
    struct PendingRead {
        /// While a read is running, no other one starts before this time; 0 when none is running.
        AK::Milliseconds exclusiveUntil = 0;
        /// Time at which objects newer than the position `known` were first announced; 0 when none are.
        AK::Milliseconds announcedAt = 0;
        LibFleet::StorePosition known;
        AK::Milliseconds readAt = 0;
    };
    std::array<PendingRead, LibFleet::objectKindCount> pendingReads;
    kj::Own<kj::PromiseFulfiller<void>> wakeUp;
    kj::ForkedPromise<void> woken;
    LibLog::Logger logger{"peers"};
};

} // namespace Fleet
