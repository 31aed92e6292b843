#include <LibFleet/Partners.h>

#include <AK/Hash.h>
#include <algorithm>
#include <set>

namespace LibFleet
{

namespace
{

std::vector<EntryLocation> sortByWeight(const std::string &key, std::vector<EntryLocation> entries)
{
    std::sort(entries.begin(), entries.end(), [&](const EntryLocation &left, const EntryLocation &right) {
        const uint64_t leftWeight = AK::rendezvousWeight(key, left.name);
        const uint64_t rightWeight = AK::rendezvousWeight(key, right.name);
        return leftWeight != rightWeight ? leftWeight > rightWeight : left.name < right.name;
    });
    return entries;
}

template <typename Condition>
std::vector<EntryLocation> select(const std::vector<EntryLocation> &entries, Condition &&condition)
{
    std::vector<EntryLocation> selected;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(selected), std::forward<Condition>(condition));
    return selected;
}

void addFirst(std::vector<std::string> &chosen, const std::vector<EntryLocation> &entries, size_t count)
{
    for (const EntryLocation &entry : entries) {
        if (count == 0) {
            return;
        }
        if (std::find(chosen.begin(), chosen.end(), entry.name) == chosen.end()) {
            chosen.push_back(entry.name);
            --count;
        }
    }
}

/// The entries after `self` on a ring that is ordered by the hash of the names.
std::vector<EntryLocation> ringAfter(const EntryLocation &self, const std::vector<EntryLocation> &entries)
{
    std::vector<EntryLocation> ring = sortByWeight("ring", entries);
    const uint64_t own = AK::rendezvousWeight("ring", self.name);
    const auto next = std::find_if(ring.begin(), ring.end(), [&](const EntryLocation &entry) { return AK::rendezvousWeight("ring", entry.name) < own; });
    std::rotate(ring.begin(), next, ring.end());
    return ring;
}

/// Whether `self` is among the first `count` entries of its region for a duty.
bool isAmongFirst(const EntryLocation &self, std::vector<EntryLocation> region, const std::string &duty, size_t count)
{
    region.push_back(self);
    const std::vector<EntryLocation> ranked = sortByWeight(duty, std::move(region));
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    return std::any_of(ranked.begin(), end, [&](const EntryLocation &entry) { return entry.name == self.name; });
}

} // namespace

std::vector<EntryLocation> owningEntries(const EntryLocation &self, bool leaving, std::vector<EntryLocation> live)
{
    if (!leaving || live.empty()) {
        live.insert(live.begin(), self);
    }
    return live;
}

std::vector<EntryLocation> rankOwners(const std::string &upstream, const std::string &failureDomain, const std::vector<EntryLocation> &entries)
{
    const std::vector<EntryLocation> inDomain = select(entries, [&](const EntryLocation &entry) { return entry.failureDomain == failureDomain; });
    return sortByWeight(upstream, inDomain.empty() ? entries : inDomain);
}

std::vector<std::string> partnersOfEntry(const EntryLocation &self, const std::vector<EntryLocation> &alive, const PartnerSettings &settings)
{
    const std::vector<EntryLocation> region = select(alive, [&](const EntryLocation &entry) { return entry.region == self.region && entry.name != self.name; });
    std::vector<std::string> chosen;
    addFirst(chosen, ringAfter(self, region), settings.ringSuccessors);
    addFirst(chosen, sortByWeight(self.name, region), settings.shortcuts);
    std::set<std::string> otherRegions;
    for (const EntryLocation &entry : alive) {
        if (entry.region != self.region) {
            otherRegions.insert(entry.region);
        }
    }
    for (const std::string &other : otherRegions) {
        if (isAmongFirst(self, region, "relay/" + other, settings.relaysPerRegion)) {
            addFirst(chosen, sortByWeight(self.name, select(alive, [&](const EntryLocation &entry) { return entry.region == other; })), 1);
        }
    }
    return chosen;
}

bool watchesStore(const EntryLocation &self, const std::vector<EntryLocation> &reachingStore, const PartnerSettings &settings)
{
    const std::vector<EntryLocation> region =
        select(reachingStore, [&](const EntryLocation &entry) { return entry.region == self.region && entry.name != self.name; });
    return isAmongFirst(self, region, "store", settings.storeWatchersPerRegion);
}

std::vector<std::string> partnersOfAgent(const EntryLocation &self, const std::string &upstream, const std::vector<EntryLocation> &alive,
                                         const PartnerSettings &settings)
{
    std::vector<std::string> chosen;
    addFirst(chosen, rankOwners(upstream, self.failureDomain, alive), settings.agentPartners);
    const std::vector<EntryLocation> byOwnWeight = sortByWeight(self.name, alive);
    const size_t elsewhere = std::max(settings.agentPartnersElsewhere, settings.agentPartners - std::min(settings.agentPartners, chosen.size()));
    addFirst(chosen, select(byOwnWeight, [&](const EntryLocation &entry) { return entry.region != self.region; }), elsewhere);
    // A deployment of one region has nobody elsewhere.
    addFirst(chosen, byOwnWeight, settings.agentPartners - std::min(settings.agentPartners, chosen.size()));
    return chosen;
}

} // namespace LibFleet
