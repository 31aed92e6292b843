#include <LibWeights/Wave.h>

#include <AK/Hash.h>
#include <algorithm>
#include <cmath>

namespace LibWeights
{

bool maySwitch(const std::string &self, const std::string &root, const std::vector<WaveMember> &members, const LibSettings::RolloutPolicy &policy)
{
    if (policy.paused) {
        return false;
    }
    std::vector<WaveMember> order = members;
    std::sort(order.begin(), order.end(), [&](const WaveMember &left, const WaveMember &right) {
        return std::pair(AK::rendezvousWeight(root, left.name), left.name) > std::pair(AK::rendezvousWeight(root, right.name), right.name);
    });
    const size_t size = std::max<size_t>(1, static_cast<size_t>(std::floor(policy.waveShare * static_cast<double>(order.size()))));
    for (size_t start = 0; start < order.size(); start += size) {
        const size_t end = std::min(order.size(), start + size);
        uint64_t calls = 0;
        uint64_t errors = 0;
        bool finished = true;
        for (size_t i = start; i < end; ++i) {
            if (order[i].name == self) {
                return true;
            }
            finished = finished && (!order[i].present || order[i].root == root);
            if (order[i].root == root) {
                calls += order[i].calls;
                errors += order[i].errors;
            }
        }
        if (!finished || static_cast<double>(errors) > policy.maxErrorShare * static_cast<double>(calls)) {
            return false;
        }
    }
    // An agent that the configuration does not list belongs to no wave.
    return false;
}

} // namespace LibWeights
