#pragma once

#include <LibFiber/Loop.h>
#include <LibFleet/FleetState.h>
#include <LibFleet/ObjectFeed.h>
#include <functional>

namespace Fleet
{

/// Interface to the platform's object store.
class ObjectSource
{
public:
    virtual ~ObjectSource() = default;

    /// All objects of a kind.
    /// Errors: kUnavailable, kDeadlineExceeded, kInvalidArgument for an answer that can't be read.
    virtual absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope &scope, LibFleet::ObjectKind kind) = 0;

    /// Waits for changes after a revision for `wait` ms. Returns an empty page when none arrive. Gives up LibFleet::watchOverdueAfter later.
    /// Errors: as list(), and kOutOfRange when the store no longer has all changes since the revision.
    virtual absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope &scope, LibFleet::ObjectKind kind, int64_t since, AK::Milliseconds wait) = 0;

    /// Creates or replaces an object that the system itself owns.
    virtual absl::Status put(kj::WaitScope &scope, LibFleet::ObjectKind kind, const std::string &name, const std::string &spec) = 0;
    virtual absl::Status erase(kj::WaitScope &scope, LibFleet::ObjectKind kind, const std::string &name) = 0;

    /// Sets the function that is called with the era of each response, also of those that fail; see LibFleet::StorePosition.
    virtual void observeEra(const std::function<void(int64_t)> & /*observer*/)
    {
    }
};

/// Decodes the objects of a kind into FleetState. An object that can't be decoded is logged and skipped; the others are not affected.
class ObjectDecoder
{
public:
    virtual ~ObjectDecoder() = default;

    /// `unnoticed`: time in ms for which changes among the objects may have gone unnoticed, 0 when they arrived at once.
    virtual void decode(LibFleet::ObjectKind kind, const std::map<std::string, std::string> &specs, AK::Milliseconds unnoticed,
                        LibFleet::FleetState &state) = 0;
    /// Returns the part of an object that agents need: the object itself or a smaller one, which decode() must accept as well.
    virtual std::string agentPart(LibFleet::ObjectKind kind, const std::string &spec) const = 0;
    virtual std::string encodeEntry(const LibFleet::EntryRecord &entry) const = 0;
};

} // namespace Fleet
