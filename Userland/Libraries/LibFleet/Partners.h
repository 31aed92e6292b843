#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace LibFleet
{

/// Where an entry runs, as far as the choice of owners and exchange partners depends on it.
struct EntryLocation {
    std::string name;
    std::string failureDomain;
    std::string region;

    bool operator==(const EntryLocation &) const = default;
};

/// How many entries a process exchanges with. None of the numbers grows with the deployment, apart from one link for each further region.
struct PartnerSettings {
    /// Partners of an entry in its own region: the successors on a ring, which keep the region connected, and others by rendezvous hash, which make the paths
    /// short.
    size_t ringSuccessors = 2;
    size_t shortcuts = 3;
    /// Entries of a region that exchange with each other region.
    size_t relaysPerRegion = 2;
    /// Entries of a region that watch the store; the others get the objects from them.
    size_t storeWatchersPerRegion = 2;
    /// Partners of an agent: the first owners of its engine by rank, and others elsewhere, from which it learns of changes when the whole failure domain is cut
    /// off from the store.
    size_t agentPartners = 4;
    size_t agentPartnersElsewhere = 1;
};

/// Entries that own upstreams, as the entry `self` sees it. `live`: the others that accept clients. An entry that stops hands its upstreams over to them at
/// once: as an owner it would send calls beside its successors until it has ended.
std::vector<EntryLocation> owningEntries(const EntryLocation &self, bool leaving, std::vector<EntryLocation> live);

/// Entries in the order in which they own an upstream while they are alive: those of its failure domain, or all when it has none there, by rendezvous hash.
std::vector<EntryLocation> rankOwners(const std::string &upstream, const std::string &failureDomain, const std::vector<EntryLocation> &entries);

/// Names of the entries with which the entry `self` starts exchanges, among the entries that are taken to be alive. Load pattern: a fleet of hundreds, where
/// an exchange of each pair takes more processor time and more of the links between regions than the calls.
std::vector<std::string> partnersOfEntry(const EntryLocation &self, const std::vector<EntryLocation> &alive, const PartnerSettings &settings);

/// Whether the entry `self` watches the store. `reachingStore` holds the other entries that are alive and reach the store as far as is known. Load pattern: a
/// service of hundreds of upstreams is scaled or replaced; each watching entry makes a call for each burst of changes, and a large configuration crosses the
/// links between regions once for each of them.
bool watchesStore(const EntryLocation &self, const std::vector<EntryLocation> &reachingStore, const PartnerSettings &settings);

/// Names of the entries with which the agent `self` exchanges. `upstream` is the id of its engine, by which the owner is ranked.
std::vector<std::string> partnersOfAgent(const EntryLocation &self, const std::string &upstream, const std::vector<EntryLocation> &alive,
                                         const PartnerSettings &settings);

} // namespace LibFleet
