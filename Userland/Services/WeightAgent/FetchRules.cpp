#include "FetchRules.h"

#include <AK/Hash.h>
#include <algorithm>

namespace WeightAgent
{

FetchScope allowedScope(const FetchPosition &position, const FetchRuleSettings &settings)
{
    const auto turns = static_cast<size_t>(std::max<AK::Milliseconds>(0, position.stalledFor) / settings.patience);
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

size_t regionRank(const std::string &self, const std::string &region, const std::vector<SwarmMember> &members, const std::string &chunkKey)
{
    const uint64_t own = AK::rendezvousWeight(chunkKey, self);
    return static_cast<size_t>(std::count_if(members.begin(), members.end(), [&](const SwarmMember &member) {
        return member.name != self && member.region == region && AK::rendezvousWeight(chunkKey, member.name) > own;
    }));
}

AK::Milliseconds loadDelay(size_t rank, size_t count, AK::Milliseconds timeLeft, AK::Milliseconds loadTime)
{
    const AK::Milliseconds window = std::max<AK::Milliseconds>(0, timeLeft - loadTime);
    return count <= 1 ? 0 : window * static_cast<AK::Milliseconds>(rank) / static_cast<AK::Milliseconds>(count);
}

} // namespace WeightAgent
