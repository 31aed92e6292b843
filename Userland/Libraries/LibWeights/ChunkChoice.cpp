#include <LibWeights/ChunkChoice.h>

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace LibWeights
{

namespace
{

constexpr double minRateShare = 0.1;

std::vector<std::string> sortByRendezvousWeight(const std::string &key, const std::vector<std::string> &names)
{
    std::vector<std::pair<uint64_t, std::string>> weighted;
    weighted.reserve(names.size());
    for (const std::string &name : names) {
        weighted.emplace_back(AK::rendezvousWeight(key, name), name);
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<std::string> order;
    order.reserve(names.size());
    for (auto &[weight, name] : weighted) {
        order.push_back(std::move(name));
    }
    return order;
}

} // namespace

std::vector<std::string> designatedGroup(const std::string &root, const std::vector<std::string> &names, size_t designated)
{
    std::vector<std::string> group = sortByRendezvousWeight(AK::concat(root, "/group"), names);
    group.resize(std::min(group.size(), designated));
    return group;
}

std::vector<std::string> fetchOrder(const std::string &root, std::string_view key, const std::vector<std::string> &names, size_t designated)
{
    const std::vector<std::string> group = designatedGroup(root, names, designated);
    std::vector<std::string> rest;
    for (const std::string &name : names) {
        if (std::find(group.begin(), group.end(), name) == group.end()) {
            rest.push_back(name);
        }
    }
    std::vector<std::string> order = sortByRendezvousWeight(AK::concat(root, "/", key), group);
    for (std::string &name : sortByRendezvousWeight(AK::concat(root, "/", key), rest)) {
        order.push_back(std::move(name));
    }
    return order;
}

std::vector<std::string> chooseNeighbours(const std::string &self, const std::string &root, const std::vector<std::string> &names, size_t count)
{
    std::vector<std::string> others;
    for (const std::string &name : names) {
        if (name != self) {
            others.push_back(name);
        }
    }
    if (others.empty()) {
        return {};
    }
    std::sort(others.begin(), others.end());
    auto next = std::upper_bound(others.begin(), others.end(), self);
    const std::string successor = next == others.end() ? others.front() : *next;
    std::vector<std::string> chosen{successor};
    for (const std::string &name : sortByRendezvousWeight(AK::concat(root, "/", self), others)) {
        if (chosen.size() <= count && name != successor) {
            chosen.push_back(name);
        }
    }
    return chosen;
}

std::optional<uint32_t> chooseRarest(const std::vector<bool> &needed, const std::vector<bool> &offered, const std::vector<uint32_t> &sourceCounts,
                                     AK::Random &random)
{
    std::optional<uint32_t> chosen;
    uint32_t fewest = UINT32_MAX;
    uint64_t ties = 0;
    for (uint32_t i = 0; i < needed.size() && i < offered.size(); ++i) {
        if (!needed[i] || !offered[i] || sourceCounts[i] > fewest) {
            continue;
        }
        ties = sourceCounts[i] < fewest ? 1 : ties + 1;
        fewest = sourceCounts[i];
        // Reservoir sampling: each of the equally rare chunks is chosen with the same probability.
        if (AK::uniformBelow(random, ties) == 0) {
            chosen = i;
        }
    }
    return chosen;
}

bool mayReplace(const std::vector<PredecessorState> &predecessors, AK::Milliseconds now, AK::Milliseconds idleTimeout)
{
    return std::all_of(predecessors.begin(), predecessors.end(),
                       [&](const PredecessorState &predecessor) { return !predecessor.reachable || now - predecessor.lastProgressAt >= idleTimeout; });
}

bool isTooSlow(uint64_t bytes, AK::Milliseconds duration, double expectedBytesPerSecond)
{
    return static_cast<double>(bytes) * 1000 < minRateShare * expectedBytesPerSecond * static_cast<double>(duration);
}

AK::Milliseconds fetchTimeout(uint64_t bytes, double expectedBytesPerSecond, AK::Milliseconds minimum)
{
    return std::max(minimum, static_cast<AK::Milliseconds>(static_cast<double>(bytes) * 1000 / (minRateShare * std::max(1.0, expectedBytesPerSecond))));
}

} // namespace LibWeights
