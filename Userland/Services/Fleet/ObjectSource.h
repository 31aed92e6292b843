#pragma once

#include <LibFiber/Loop.h>
#include <LibFleet/FleetState.h>
#include <LibFleet/ObjectFeed.h>

namespace Fleet
{

/// The platform's store, reached through one adapter.
class ObjectSource
{
public:
    virtual ~ObjectSource() = default;

    /// All objects of a kind.
    /// Errors: kUnavailable, kDeadlineExceeded, kInvalidArgument for an answer that can't be read.
    virtual absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope &scope, LibFleet::ObjectKind kind) = 0;

    /// Waits for changes after a revision; an empty page when there were none for a while.
    /// Errors: as list(), and kOutOfRange when the history since the revision is gone.
    virtual absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope &scope, LibFleet::ObjectKind kind, int64_t since) = 0;

    /// Creates or replaces an object of the system's own.
    virtual absl::Status put(kj::WaitScope &scope, LibFleet::ObjectKind kind, const std::string &name, const std::string &spec) = 0;
    virtual absl::Status erase(kj::WaitScope &scope, LibFleet::ObjectKind kind, const std::string &name) = 0;
};

/// Turns the objects of a kind into what the process believes. Objects that can't be read are left out with a log line and hurt no other.
class ObjectDecoder
{
public:
    virtual ~ObjectDecoder() = default;

    virtual void decode(LibFleet::ObjectKind kind, const std::map<std::string, std::string> &specs, LibFleet::FleetState &state) = 0;
    /// What agents need of an object: the same, or a smaller one that decode() takes as well.
    virtual std::string agentPart(LibFleet::ObjectKind kind, const std::string &spec) const = 0;
    virtual std::string encodeEntry(const LibFleet::EntryRecord &entry) const = 0;
};

} // namespace Fleet
