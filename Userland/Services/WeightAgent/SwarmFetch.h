#pragma once

#include "FetchRules.h"
#include "VersionStore.h"
#include <AK/Random.h>
#include <LibPeers/PeerClient.h>
#include <functional>
#include <set>

namespace WeightAgent
{

/// An agent that may have chunks.
struct SwarmPeer {
    SwarmMember member;
    AK::Endpoint rpcAddress;

    bool operator==(const SwarmPeer &) const = default;
};

/// What a fetch needs to know of the deployment.
struct SwarmView {
    std::vector<SwarmPeer> peers;
    std::optional<AK::Endpoint> origin;
    std::string originRegion;
    /// Connections that the origin serves at a time, 0 for no limit.
    int originConnections = 0;
};

/// Who this agent is.
struct SwarmSelf {
    std::string name;
    std::string region;
};

/// Brings all chunks of one version to this agent: from other agents, rarest first, and from the origin where the order of the chunk says so.
class SwarmFetch
{
public:
    /// `beganAt`: when this agent first looked for the version; a fetch is begun anew when the agents that take part change.
    SwarmFetch(LibFiber::Loop &loop, WeightsOrigin &origin, SwarmSelf self, std::string model, int64_t version, SwarmView view, AK::Milliseconds beganAt);

    /// Reads the manifest from another agent or, in the order of the agents, from the origin.
    /// Errors: kUnavailable when nobody has it.
    absl::StatusOr<std::string> readManifest(kj::WaitScope &scope);

    /// Returns when `held` is complete or `wanted` returns false.
    void fetchAll(kj::WaitScope &scope, HeldVersion &held, const std::function<bool()> &wanted);

private:
    struct PeerState {
        SwarmPeer peer;
        std::vector<bool> offered;
        bool excluded = false;
    };

    bool nearOrigin() const;
    /// Agents of the own region, this one among them.
    size_t regionSize() const;
    void askPeer(kj::WaitScope &scope, size_t index);
    void askOrigin(kj::WaitScope &scope);
    bool running() const;
    std::vector<bool> wantedIn(FetchScope scope) const;
    std::optional<uint32_t> choose(const std::vector<bool> &offered, FetchScope scope);
    bool take(uint32_t index, std::string data);
    void pause(kj::WaitScope &scope, AK::Milliseconds duration);

    LibFiber::Loop &loop;
    WeightsOrigin &origin;
    SwarmSelf self;
    std::string model;
    int64_t version;
    SwarmView view;
    AK::Milliseconds beganAt;
    std::vector<SwarmMember> members;
    OriginUse use;
    std::vector<size_t> ranks;
    std::vector<PeerState> peers;
    std::set<uint32_t> underWay;
    int peerReads = 0;
    HeldVersion *held = nullptr;
    std::function<bool()> wanted;
    AK::Milliseconds progressAt = 0;
    uint64_t originBytes = 0;
    AK::Random random;
    LibLog::Logger logger{"swarm"};
};

} // namespace WeightAgent
