#include <LibMembership/Watchers.h>

#include <AK/Hash.h>
#include <algorithm>

namespace LibMembership
{

bool isWatcher(const std::vector<Member> &members, const std::string &self)
{
    const auto own = std::find_if(members.begin(), members.end(), [&self](const Member &member) { return member.name == self; });
    if (own == members.end()) {
        return true;
    }
    const std::string key = "watch/" + own->failureDomain;
    const uint64_t ownWeight = AK::rendezvousWeight(key, self);
    const auto ahead = std::count_if(members.begin(), members.end(), [&](const Member &member) {
        return member.name != self && member.failureDomain == own->failureDomain && member.status == MemberStatus::Alive
            && AK::rendezvousWeight(key, member.name) > ownWeight;
    });
    return static_cast<size_t>(ahead) < watchersPerDomain;
}

} // namespace LibMembership
