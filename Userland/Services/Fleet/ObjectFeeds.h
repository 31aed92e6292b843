#pragma once

#include <Fleet/ObjectSource.h>
#include <LibFleet/ObjectFeed.h>
#include <array>

namespace Fleet
{

/// Keeps the newest objects of every kind: from the store while it answers, and from other processes that know a newer revision. Revisions never go back.
class ObjectFeeds
{
public:
    ObjectFeeds(LibFiber::Loop &loop, ObjectSource &source, ObjectDecoder &decoder, LibFleet::FleetState &state);

    /// Starts one fiber for each kind that lists and watches the store.
    void watchStore();

    /// Lists every kind once; for a process that reaches no other process.
    void refreshFromStore(kj::WaitScope &scope);

    /// Whether changes of a kind arrive from the store itself.
    bool watchesStore(LibFleet::ObjectKind kind) const;

    /// Everything up to this revision of the store is known.
    int64_t revision(LibFleet::ObjectKind kind) const;
    /// Revision at which the objects of a kind last changed.
    int64_t changedAt(LibFleet::ObjectKind kind) const;

    /// The objects in force, if they changed after a revision; revision 0 otherwise. `agentPart`: without what only entries use.
    LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, int64_t newerThan, bool agentPart) const;

    /// Takes the objects that another process has in force.
    void accept(LibFleet::ObjectKind kind, const LibFleet::ObjectPage &page, std::string_view from);

private:
    struct Feed {
        /// As the store holds it.
        LibFleet::ObjectSnapshot snapshot;
        /// As it is used, with upstreams whose leases lapsed in an outage.
        std::map<std::string, std::string> inForce;
        /// What agents get of `inForce`.
        std::map<std::string, std::string> agentParts;
        bool storeReached = true;
    };

    Feed &feed(LibFleet::ObjectKind kind);
    const Feed &feed(LibFleet::ObjectKind kind) const;
    void keep(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    absl::Status readOnce(kj::WaitScope &scope, LibFleet::ObjectKind kind);
    void publish(LibFleet::ObjectKind kind, bool fromStore);
    void storeAnswered(LibFleet::ObjectKind kind, const absl::Status &status);

    LibFiber::Loop &loop;
    ObjectSource &source;
    ObjectDecoder &decoder;
    LibFleet::FleetState &state;
    std::array<Feed, LibFleet::objectKindCount> feeds;
    LibFleet::LapsedEntries lapsed;
    bool watching = false;
    LibLog::Logger logger{"feeds"};
};

} // namespace Fleet
