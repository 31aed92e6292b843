#pragma once

#include "PromptQuarantine.h"
#include <Fleet/ObjectSource.h>

namespace Gateway
{

/// Stores the parts of prompts that are quarantined, one object each, so that they stay in force when all entries have been restarted, and removes the objects
/// after a time. One more object holds the crashes that may still show a part: requests with it may be minutes apart, and an entry restarted in between. The
/// entries find the same parts at about the same time; they write one after the other, until one of them has succeeded.
class QuarantineKeeper
{
public:
    /// `isStored` tells whether the store holds a part that is in force; it may have lost it.
    QuarantineKeeper(LibFiber::Loop &loop, Fleet::ObjectSource &store, const LibFleet::FleetState &fleet, const PromptQuarantine &quarantine,
                     std::function<bool(const std::string &part)> isStored);

    /// Sets the names of the live entries, `self` among them.
    void setEntries(const std::string &self, std::vector<std::string> names);

    /// Starts the fiber that stores and removes parts.
    void start();

private:
    /// Number of live entries that come before this one for a part.
    size_t rankFor(const std::string &part) const;
    void storeParts(kj::WaitScope &scope);
    /// Stores the parts again that are in force although the store has lost them.
    void storeLostParts(kj::WaitScope &scope);
    void storePart(kj::WaitScope &scope, const std::string &part);
    void removeParts(kj::WaitScope &scope);
    /// Stores crashes that the store lacks, and removes parts that have been released from those it has.
    void storeCrashes(kj::WaitScope &scope);

    LibFiber::Loop &loop;
    Fleet::ObjectSource &store;
    const LibFleet::FleetState &fleet;
    const PromptQuarantine &quarantine;
    std::function<bool(const std::string &part)> isStored;
    std::string self;
    std::vector<std::string> entries;
    /// Monotonic time at which this process learned of each stored part.
    std::map<std::string, AK::Milliseconds> storedSince;
    /// Monotonic time at which this process found that the store lacks each part that is in force.
    std::map<std::string, AK::Milliseconds> lostSince;
    /// Monotonic time at which this process found that the stored crashes must change.
    std::optional<AK::Milliseconds> crashesStaleSince;
    /// What was compared last, with nothing to write: see PromptQuarantine::evidenceChanges().
    std::optional<uint64_t> comparedChanges;
    std::string comparedText;
    LibLog::Logger logger{"quarantine"};
};

} // namespace Gateway
