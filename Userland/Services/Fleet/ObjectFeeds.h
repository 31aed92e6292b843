#pragma once

#include <Fleet/ObjectSource.h>
#include <LibFleet/ObjectFeed.h>
#include <array>
#include <functional>

namespace Fleet
{

/// Keeps the newest objects of every kind, read from the store while it answers and from other processes that have a newer revision. Revisions never decrease.
class ObjectFeeds
{
public:
    ObjectFeeds(LibFiber::Loop &loop, ObjectSource &source, ObjectDecoder &decoder, LibFleet::FleetState &state);

    /// Starts one fiber for each kind of objects, which lists and watches them in the store.
    void watchStore();

    /// Sets whether this process watches the store or gets the changes from others. It always lists what it does not know yet, and goes on to call a store that
    /// has not answered until it does.
    void setWatching(bool active);

    /// Whether the store did not answer the last call for any kind of objects.
    bool storeLost() const;

    /// Registers a function that is called when the objects of a kind have changed.
    void onChange(std::function<void()> observer);

    /// Lists every kind once. For a process that reaches no other process.
    void refreshFromStore(kj::WaitScope &scope);

    /// Whether this process gets the changes of a kind from the store itself.
    bool watchesStore(LibFleet::ObjectKind kind) const;

    /// Whether the first answer of the store for a kind is still under way.
    bool awaitsFirstList(LibFleet::ObjectKind kind) const;

    /// All changes up to this revision of the store are known.
    int64_t revision(LibFleet::ObjectKind kind) const;
    /// Revision at which the objects of a kind last changed.
    int64_t changedAt(LibFleet::ObjectKind kind) const;

    /// Returns the objects in force if they changed after `newerThan`, else a page with revision 0. `agentPart` leaves out what only entries use.
    LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, int64_t newerThan, bool agentPart) const;

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
    };

    Feed &feed(LibFleet::ObjectKind kind);
    const Feed &feed(LibFleet::ObjectKind kind) const;
    void followStore(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    absl::Status readOnce(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    void publish(LibFleet::ObjectKind kind, std::map<std::string, std::string> inForce);
    /// Publishes the objects of the store, with upstreams whose leases expired in an outage.
    void publishFromStore(LibFleet::ObjectKind kind);
    /// Ends the time in which upstreams whose leases expired stay in force.
    void endGraceLater();
    void noteStoreStatus(LibFleet::ObjectKind kind, const absl::Status &status);

    LibFiber::Loop &loop;
    ObjectSource &source;
    ObjectDecoder &decoder;
    LibFleet::FleetState &state;
    std::array<Feed, LibFleet::objectKindCount> feeds;
    LibFleet::ExpiredLeases expiredLeases;
    bool started = false;
    bool watchActive = true;
    std::function<void()> changeObserver;
    LibLog::Logger logger{"feeds"};
};

} // namespace Fleet
