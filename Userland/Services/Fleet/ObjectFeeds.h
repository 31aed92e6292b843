#pragma once

#include <AK/StandstillWatch.h>
#include <Fleet/ObjectSource.h>
#include <LibFleet/ObjectFeed.h>
#include <LibFleet/RemovedObjects.h>
#include <LibFleet/RestoredCopy.h>
#include <LibFleet/StoreEvidence.h>
#include <LibFleet/StoreTimes.h>
#include <array>
#include <functional>

namespace Fleet
{

/// Keeps the newest objects of every kind, read from the store while it answers and from other processes that have a newer position. Positions never go back:
/// when the store comes back from an older copy, its era rises, and what this process knew stays in force against the copy for a grace time.
class ObjectFeeds
{
public:
    ObjectFeeds(LibFiber::Loop &loop, ObjectSource &source, ObjectDecoder &decoder, LibFleet::FleetState &state, const LibFleet::StoreTimes &times = {});

    /// Takes over changed times of the deployment.
    void setTimes(const LibFleet::StoreTimes &changed);

    /// Starts one fiber for each kind of objects, which lists and watches them in the store.
    void watchStore();

    /// Sets whether this process watches the store or gets the changes from others. It always lists what it does not know yet, and goes on to call a store that
    /// has not answered until it does.
    void setWatching(bool active);

    /// Whether the store did not answer the last call for any kind of objects.
    bool storeLost() const;

    /// Registers a function that is called when the objects of a kind have changed.
    void onChange(std::function<void()> observer);

    /// Notes that another process has just told what it has. For a process that gets all its news from others.
    void noteExchange();

    /// Lists every kind once. For a process that reaches no other process.
    void refreshFromStore(kj::WaitScope &scope);

    /// Whether this process gets the changes of a kind from the store itself.
    bool watchesStore(LibFleet::ObjectKind kind) const;

    /// Whether the first answer of the store for a kind is still under way.
    bool awaitsFirstList(LibFleet::ObjectKind kind) const;

    /// All changes up to this position of the store are known.
    LibFleet::StorePosition position(LibFleet::ObjectKind kind) const;
    /// Position at which the objects of a kind last changed.
    LibFleet::StorePosition changedAt(LibFleet::ObjectKind kind) const;

    /// Whether the store holds an object in the state that is in force.
    bool isStored(LibFleet::ObjectKind kind, const std::string &name) const;

    /// Reports the era of a response of the store, or one that another process has seen. Kinds that are known only up to an older era are listed again.
    void noteEra(int64_t era);

    /// Period in which the store has answered this process or others, in monotonic time; nothing when there is none that lasts until now.
    std::optional<LibFleet::SteadyPeriod> steadyPeriod() const;

    /// Takes over such a period of another process. Ends the grace of upstreams whose leases can't have lapsed then.
    void noteSteadyStore(const LibFleet::SteadyPeriod &told, std::string_view from);

    /// Returns the objects in force if they changed after `newerThan`, else a page with position 0. `agentPart` leaves out what only entries use.
    LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart) const;

    /// Takes over the objects that another process has in force, if they are newer.
    void accept(LibFleet::ObjectKind kind, const LibFleet::ObjectPage &page, std::string_view from);

private:
    struct Feed {
        /// The objects as the store holds them.
        LibFleet::ObjectSnapshot snapshot;
        /// The objects as this process uses them, with upstreams whose leases expired in an outage.
        std::map<std::string, std::string> inForce;
        /// The parts of `inForce` that agents get.
        std::map<std::string, std::string> agentParts;
        bool storeReached = true;
        /// Time, by AK::Clock::uninterruptedTime(), at which the objects were last known to be the newest.
        AK::Milliseconds currentAt = 0;
        /// What stays in force, or out of force, against a restored copy.
        LibFleet::RestoredCopy restored;
        LibFleet::RemovedObjects removed;
        /// A list is under way.
        bool listing = false;
    };

    Feed &feed(LibFleet::ObjectKind kind);
    const Feed &feed(LibFleet::ObjectKind kind) const;
    void followStore(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    absl::Status readOnce(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    absl::Status watchOnce(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    /// Notes the answer to a watch that began at `askedAt`, by AK::Clock::uninterruptedTime(). Returns the time in ms for which its changes may have gone
    /// unnoticed.
    AK::Milliseconds noteWatchAnswer(Feed &feed, AK::Milliseconds askedAt) const;
    absl::Status listOnce(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    /// Lists a kind that is known only up to an older era while its watch waits.
    void listNewEra(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    /// Takes over all objects of a kind. Returns false when they are not newer.
    bool replaceAll(LibFleet::ObjectKind kind, const LibFleet::ObjectPage &page);
    /// `unnoticed`: see ObjectDecoder::decode().
    void publish(LibFleet::ObjectKind kind, std::map<std::string, std::string> inForce, AK::Milliseconds unnoticed);
    /// Publishes the objects of the store, with upstreams whose leases expired in an outage.
    void publishFromStore(LibFleet::ObjectKind kind, AK::Milliseconds unnoticed = 0);
    /// Publishes the objects again when the time `grace` in ms is over in which those that the store has lost stay in force.
    void endGraceLater(LibFleet::ObjectKind kind, AK::Milliseconds grace);
    /// The objects of another process without the marks that would put back in force what is known to be removed.
    LibFleet::ObjectPage withoutRefutedMarks(LibFleet::ObjectKind kind, const LibFleet::ObjectPage &page, std::string_view from) const;
    /// What is left of the time for which an object stays in force that the store lacks, in ms.
    AK::Milliseconds keptLeft(LibFleet::ObjectKind kind, const std::string &name) const;
    void logKeptObjects(LibFleet::ObjectKind kind) const;
    /// Lists a kind whose watch ended without an answer. `askedAt`: when it began, by AK::Clock::uninterruptedTime().
    absl::Status listAfterCut(kj::WaitScope &scope, LibFleet::ObjectKind kind, const absl::Status &reason, AK::Milliseconds askedAt);
    void noteAnswer();
    /// Whether the store answered others in the absence in which leases may have lapsed.
    bool lapseIsRefuted() const;
    /// Whether the store has answered for so long that no upstream is kept for a lease that may have lapsed.
    bool leaseGraceIsOver() const;
    void noteStoreStatus(LibFleet::ObjectKind kind, const absl::Status &status);

    LibFiber::Loop &loop;
    ObjectSource &source;
    ObjectDecoder &decoder;
    LibFleet::FleetState &state;
    LibFleet::StoreTimes times;
    std::array<Feed, LibFleet::objectKindCount> feeds;
    LibFleet::ExpiredLeases expiredLeases;
    LibFleet::StoreEvidence evidence;
    AK::StandstillWatch standstill;
    /// Highest era that a response of the store or another process has shown.
    int64_t newestEra = 0;
    bool started = false;
    bool watchActive = true;
    std::function<void()> changeObserver;
    LibLog::Logger logger{"feeds"};
};

} // namespace Fleet
