#include "SwarmView.h"

#include <LibWeights/ChunkChoice.h>
#include <algorithm>
#include <set>

namespace WeightAgent
{

namespace
{

// Number of peers to fetch from, by region.
constexpr size_t neighboursInOwnRegion = 7;
constexpr size_t neighboursInOriginRegion = 16;
constexpr size_t neighboursInOtherRegions = 2;

} // namespace

std::vector<SwarmMember> membersOf(const SwarmView &view)
{
    std::vector<SwarmMember> members;
    for (const SwarmPeer &peer : view.peers) {
        members.push_back(peer.member);
    }
    return members;
}

size_t regionPosition(const SwarmSelf &agent, const std::vector<SwarmMember> &members, const std::string &key)
{
    // With a single reader no ranks are rotated.
    return regionRank(agent.name, agent.region, members, key, 0, 1);
}

std::vector<ChosenPeer> chooseSwarmPeers(const SwarmSelf &self, const SwarmView &view, const std::string &key, size_t readers)
{
    std::vector<std::string> regionAgents{self.name};
    std::vector<std::string> otherAgents{self.name};
    std::vector<std::string> originRegionAgents{self.name};
    for (const SwarmPeer &peer : view.peers) {
        if (peer.member.region == self.region) {
            regionAgents.push_back(peer.member.name);
        } else {
            (peer.member.region == view.originRegion ? originRegionAgents : otherAgents).push_back(peer.member.name);
        }
    }
    std::set<std::string> chosen;
    // A chunk that this agent fetches into its region first arrives at one agent of the origin's region, which may be any of them.
    for (const auto &[names, count] : {std::pair(regionAgents, neighboursInOwnRegion), std::pair(originRegionAgents, neighboursInOriginRegion),
                                       std::pair(otherAgents, neighboursInOtherRegions)}) {
        const std::vector<std::string> neighbours = LibWeights::chooseNeighbours(self.name, key, names, count);
        chosen.insert(neighbours.begin(), neighbours.end());
    }
    std::vector<SwarmMember> agents = membersOf(view);
    agents.push_back({self.name, self.region});
    const auto reads = [&](const SwarmMember &agent) {
        return agent.region == view.originRegion && regionPosition({agent.name, agent.region}, agents, key) < readers;
    };
    const bool isReader = reads(agents.back());
    std::vector<ChosenPeer> result;
    for (const SwarmPeer &peer : view.peers) {
        const bool neighbour = chosen.contains(peer.member.name);
        if (neighbour || reads(peer.member)) {
            result.push_back({peer, !neighbour && !isReader});
        }
    }
    return result;
}

} // namespace WeightAgent
