#include "FetchRules.h"

#include <AK/Hash.h>
#include <algorithm>

namespace WeightAgent
{

FetchScope allowedScope(const FetchPosition &position, const FetchRuleSettings &settings)
{
    const AK::Milliseconds overdue = std::max<AK::Milliseconds>(0, position.fetchingFor - settings.expectedFetchTime);
    const auto replaceableRanks =
        static_cast<size_t>(std::max<AK::Milliseconds>(0, position.stalledFor) / settings.stallInterval + overdue / settings.overdueInterval);
    if (position.inOriginRegion) {
        if (position.regionRank <= replaceableRanks) {
            return FetchScope::Origin;
        }
        return replaceableRanks > 0 ? FetchScope::AnyRegion : FetchScope::SameRegion;
    }
    if (replaceableRanks >= static_cast<size_t>(settings.originFallbackIntervals) + position.regionRank) {
        return FetchScope::Origin;
    }
    return position.regionRank <= replaceableRanks ? FetchScope::AnyRegion : FetchScope::SameRegion;
}

AK::Milliseconds refusedReadDelay(int refused)
{
    constexpr AK::Milliseconds firstDelay = 300;
    constexpr int maxDoublings = 5;
    return refused <= 0 ? 0 : firstDelay << std::min(refused - 1, maxDoublings);
}

OriginConcurrency originConcurrency(size_t agentsInOriginRegion, int maxConnections)
{
    constexpr size_t defaultReadsPerReader = 2;
    // Leaves room for two sets of connections, those of agents that have lost power and those of the restarted agents, and a reserve.
    constexpr double limitShare = 0.45;
    if (maxConnections <= 0) {
        return {agentsInOriginRegion, defaultReadsPerReader};
    }
    const auto budget = std::max<size_t>(1, static_cast<size_t>(limitShare * maxConnections));
    if (agentsInOriginRegion * defaultReadsPerReader <= budget) {
        return {agentsInOriginRegion, defaultReadsPerReader};
    }
    return {std::min(agentsInOriginRegion, budget), 1};
}

bool mayReadManifestFromOrigin(bool inOriginRegion, size_t rank, AK::Milliseconds elapsed)
{
    // A manifest is read within 50 ms, even while chunks are transferred; proof takes two reads or three.
    FetchRuleSettings rules;
    rules.stallInterval = 250;
    return allowedScope({inOriginRegion, rank, elapsed, 0}, rules) == FetchScope::Origin;
}

size_t regionRank(const std::string &self, const std::string &region, const std::vector<SwarmMember> &members, const std::string &key, size_t chunk,
                  size_t readers)
{
    const uint64_t ownWeight = AK::rendezvousWeight(key, self);
    size_t predecessors = 0;
    size_t count = 1;
    for (const SwarmMember &member : members) {
        if (member.name != self && member.region == region) {
            ++count;
            predecessors += AK::rendezvousWeight(key, member.name) > ownWeight ? 1 : 0;
        }
    }
    const size_t rotating = std::clamp<size_t>(readers, 1, count);
    return predecessors < rotating ? (predecessors + rotating - chunk % rotating) % rotating : predecessors;
}

int64_t chooseVersionToFetch(const std::vector<VersionProgress> &targets, const DurationEstimates &estimates)
{
    if (targets.empty()) {
        return 0;
    }
    const VersionProgress &newest = targets.back();
    const auto remainingFetchTime = [&](const VersionProgress &version) {
        return static_cast<AK::Milliseconds>((1 - version.heldShare) * static_cast<double>(estimates.fetch));
    };
    for (const VersionProgress &older : targets) {
        if (older.version == newest.version) {
            break;
        }
        const bool newestTooLate = remainingFetchTime(newest) + estimates.load > older.timeLeft;
        const bool olderInTime = remainingFetchTime(older) + estimates.load / 2 <= older.timeLeft;
        if (newestTooLate && olderInTime && older.heldShare < 1) {
            return older.version;
        }
    }
    return newest.heldShare < 1 ? newest.version : 0;
}

AK::Milliseconds loadDelay(size_t rank, size_t count, AK::Milliseconds timeLeft)
{
    return count <= 1 ? 0 : std::max<AK::Milliseconds>(0, timeLeft) * static_cast<AK::Milliseconds>(rank) / static_cast<AK::Milliseconds>(count);
}

} // namespace WeightAgent
