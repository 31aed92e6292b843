#pragma once

#include "FetchRules.h"
#include "ManifestProof.h"
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

/// The peers and the origin of the deployment as a fetch needs them.
struct SwarmView {
    std::vector<SwarmPeer> peers;
    std::optional<AK::Endpoint> origin;
    std::string originRegion;
    /// Connections that the origin serves at a time, 0 for no limit.
    int originConnections = 0;
};

/// Name and region of this agent.
struct SwarmSelf {
    std::string name;
    std::string region;
};

/// Fetches all chunks of one version: from other agents, rarest first, and from the origin where allowedScope() permits it.
class SwarmFetch
{
public:
    /// `startedAt`: time at which this agent first looked for the version; the fetch itself is restarted when the set of peers changes.
    SwarmFetch(LibFiber::Loop &loop, WeightsOrigin &origin, ManifestProof &proof, SwarmSelf self, std::string model, int64_t version, SwarmView view,
               AK::Milliseconds startedAt);

    /// Reads the manifest from another agent, which has proof of it, or, when mayReadManifestFromOrigin() permits it, from the origin until two reads agree.
    /// Errors: kUnavailable when no peer has it and the origin must not be read yet, kDataLoss when the reads of the origin do not agree, and those of
    /// WeightsOrigin::manifestText() and parseManifest().
    absl::StatusOr<std::string> readManifest(kj::WaitScope &scope);

    /// Returns when `held` is complete or `shouldContinue` returns false.
    void fetchAll(kj::WaitScope &scope, HeldVersion &held, const std::function<bool()> &shouldContinue);

private:
    struct PeerState {
        SwarmPeer peer;
        std::vector<bool> offered;
        bool excluded = false;
    };

    absl::StatusOr<std::string> readManifestFromOrigin(kj::WaitScope &scope);
    bool inOriginRegion() const;
    /// Number of agents in this agent's region, including itself.
    size_t regionSize() const;
    void fetchFromPeer(kj::WaitScope &scope, size_t index);
    void fetchFromOrigin(kj::WaitScope &scope);
    bool active() const;
    /// Chunks that are missing, not in flight and may be fetched from sources of `scope` now.
    std::vector<bool> allowedChunks(FetchScope scope) const;
    std::optional<uint32_t> chooseChunk(const std::vector<bool> &offered, FetchScope scope);
    bool storeChunk(uint32_t index, std::string data);
    void pause(kj::WaitScope &scope, AK::Milliseconds duration);

    LibFiber::Loop &loop;
    WeightsOrigin &origin;
    ManifestProof &proof;
    SwarmSelf self;
    std::string model;
    int64_t version;
    SwarmView view;
    AK::Milliseconds startedAt;
    std::vector<SwarmMember> members;
    OriginConcurrency originReads;
    /// regionRank() of this agent by chunk.
    std::vector<size_t> ranks;
    std::vector<PeerState> peers;
    std::set<uint32_t> inFlight;
    int peerFetches = 0;
    HeldVersion *held = nullptr;
    std::function<bool()> shouldContinue;
    AK::Milliseconds lastProgressAt = 0;
    uint64_t originBytes = 0;
    bool originReached = true;
    AK::Random random;
    LibLog::Logger logger{"swarm"};
};

} // namespace WeightAgent
