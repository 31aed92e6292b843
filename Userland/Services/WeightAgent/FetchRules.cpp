#include "FetchRules.h"

#include <AK/Hash.h>
#include <algorithm>

namespace WeightAgent
{

FetchScope allowedScope(const FetchPosition &position, const FetchRuleSettings &settings)
{
    const AK::Milliseconds late = std::max<AK::Milliseconds>(0, position.fetchingFor - settings.usualFetch);
    const auto turns = static_cast<size_t>(std::max<AK::Milliseconds>(0, position.stalledFor) / settings.patience + late / settings.latePatience);
    if (position.nearOrigin) {
        if (position.regionRank <= turns) {
            return FetchScope::Origin;
        }
        return turns > 0 ? FetchScope::AnyRegion : FetchScope::SameRegion;
    }
    if (turns >= static_cast<size_t>(settings.originPatience) + position.regionRank) {
        return FetchScope::Origin;
    }
    return position.regionRank <= turns ? FetchScope::AnyRegion : FetchScope::SameRegion;
}

OriginUse originUse(size_t agentsNearOrigin, int maxConnections)
{
    constexpr size_t usualReads = 2;
    // Two generations of connections, those of agents that have lost power and those of the restarted ones, and some room.
    constexpr double limitShare = 0.45;
    if (maxConnections <= 0) {
        return {agentsNearOrigin, usualReads};
    }
    const auto budget = std::max<size_t>(1, static_cast<size_t>(limitShare * maxConnections));
    if (agentsNearOrigin * usualReads <= budget) {
        return {agentsNearOrigin, usualReads};
    }
    return {std::min(agentsNearOrigin, budget), 1};
}

bool readsManifest(bool nearOrigin, size_t rank, AK::Milliseconds waited)
{
    // A manifest is read within 50 ms, also beside chunks.
    FetchRuleSettings rules;
    rules.patience = 200;
    return allowedScope({nearOrigin, rank, waited, 0}, rules) == FetchScope::Origin;
}

size_t regionRank(const std::string &self, const std::string &region, const std::vector<SwarmMember> &members, const std::string &key, size_t chunk,
                  size_t readers)
{
    const uint64_t own = AK::rendezvousWeight(key, self);
    size_t before = 0;
    size_t count = 1;
    for (const SwarmMember &member : members) {
        if (member.name != self && member.region == region) {
            ++count;
            before += AK::rendezvousWeight(key, member.name) > own ? 1 : 0;
        }
    }
    const size_t turns = std::clamp<size_t>(readers, 1, count);
    return before < turns ? (before + turns - chunk % turns) % turns : before;
}

int64_t versionToBring(const std::vector<VersionProgress> &named, const BringTimes &times)
{
    if (named.empty()) {
        return 0;
    }
    const VersionProgress &newest = named.back();
    const auto fetchLeft = [&](const VersionProgress &version) {
        return static_cast<AK::Milliseconds>((1 - version.held) * static_cast<double>(times.fetch));
    };
    for (const VersionProgress &older : named) {
        if (older.version == newest.version) {
            break;
        }
        const bool newestTooLate = fetchLeft(newest) + times.load > older.timeLeft;
        const bool olderInTime = fetchLeft(older) + times.load / 2 <= older.timeLeft;
        if (newestTooLate && olderInTime && older.held < 1) {
            return older.version;
        }
    }
    return newest.held < 1 ? newest.version : 0;
}

AK::Milliseconds loadDelay(size_t rank, size_t count, AK::Milliseconds timeLeft)
{
    return count <= 1 ? 0 : std::max<AK::Milliseconds>(0, timeLeft) * static_cast<AK::Milliseconds>(rank) / static_cast<AK::Milliseconds>(count);
}

} // namespace WeightAgent
