#pragma once

#include "OriginSchedule.h"
#include <AK/Endpoint.h>
#include <optional>

namespace WeightAgent
{

/// An agent that may have chunks.
struct SwarmPeer {
    SwarmMember member;
    AK::Endpoint rpcAddress;

    bool operator==(const SwarmPeer &) const = default;
};

/// The peers and the origin of the deployment as a fetch needs them.
struct SwarmView {
    std::vector<SwarmPeer> peers;
    std::optional<AK::Endpoint> origin;
    std::string originRegion;
    /// Connections that the origin serves at a time, 0 for no limit.
    int originConnections = 0;
    /// The other agents are taken to have the same link as this one.
    OriginLink originLink;

    bool operator==(const SwarmView &) const = default;
};

/// Name and region of this agent.
struct SwarmSelf {
    std::string name;
    std::string region;
};

/// The other agents of the deployment.
std::vector<SwarmMember> membersOf(const SwarmView &view);

/// Place of an agent in the order of the agents of its region for the version that `key` names.
size_t regionPosition(const SwarmSelf &agent, const std::vector<SwarmMember> &members, const std::string &key);

/// A peer from which an agent fetches chunks.
struct ChosenPeer {
    SwarmPeer peer;
    /// Asked only about overdue chunks.
    bool standby = false;
};

/// Peers from which an agent fetches the chunks of the version that `key` names. The first `readers` agents of the origin's region are among them, for most
/// agents as standby: before an agent reads an overdue chunk from the origin, it has to see whether one of them holds it.
std::vector<ChosenPeer> chooseSwarmPeers(const SwarmSelf &self, const SwarmView &view, const std::string &key, size_t readers);

} // namespace WeightAgent
