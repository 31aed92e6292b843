#pragma once

#include "ManifestProof.h"
#include "OriginSchedule.h"
#include "SwarmView.h"
#include "VersionStore.h"
#include <AK/Random.h>
#include <LibPeers/PeerClient.h>
#include <deque>
#include <functional>
#include <set>

namespace WeightAgent
{

/// What an agent knows of the way to the origin; it outlasts the fetches.
struct OriginContact {
    bool reached = true;
    AK::Milliseconds lostAt = 0;
};

/// Fetches all chunks of one version: from other agents, rarest first, and from the origin where scheduledScope() permits it, or allowedScope() when the
/// configuration does not name the rate of the origin's link.
class SwarmFetch
{
public:
    /// What a fetch asks for while it runs.
    struct Watch {
        /// Whether the version is still to be fetched.
        std::function<bool()> shouldContinue;
        /// The peers and the origin now. The fetch goes on with what it knows when they change.
        std::function<SwarmView()> currentView;
        /// Called with the number of missing chunks that peers offer, once they have had time to answer.
        std::function<void(size_t)> noteOffers;
    };

    /// `startedAt`: time at which this agent first looked for the version.
    SwarmFetch(LibFiber::Loop &loop, WeightsOrigin &origin, ManifestProof &proof, OriginContact &contact, SwarmSelf self, std::string model, int64_t version,
               SwarmView view, AK::Milliseconds startedAt);

    /// Reads the manifest from another agent, which has proof of it, or, when mayReadManifestFromOrigin() permits it, from the origin until two reads agree.
    /// Errors: kUnavailable when no peer has it and the origin must not be read yet, kDataLoss when the reads of the origin do not agree, and those of
    /// WeightsOrigin::manifestText() and parseManifest().
    absl::StatusOr<std::string> readManifest(kj::WaitScope &scope);

    /// Returns when `held` is complete or `Watch::shouldContinue` returns false.
    void fetchAll(kj::WaitScope &scope, HeldVersion &held, Watch watch);

private:
    struct PeerState {
        SwarmPeer peer;
        /// See ChosenPeer::standby.
        bool standby = false;
        std::vector<bool> offered;
        /// Time at which `offered` was read.
        AK::Milliseconds offeredAt = 0;
        bool excluded = false;
        /// The deployment no longer lists the peer.
        bool gone = false;

        bool usable() const
        {
            return !this->excluded && !this->gone;
        }
    };

    absl::StatusOr<std::string> readManifestFromOrigin(kj::WaitScope &scope);
    bool inOriginRegion() const;
    /// Number of agents in a region, this one included.
    size_t regionSize(const std::string &region) const;
    void rankChunks();
    std::string versionKey() const;
    /// Fetches until `held` is complete or active() is false.
    void runFibers(kj::WaitScope &scope);
    /// Derives the concurrency and the peers from the view. Known peers keep what they have offered.
    void useView();
    void followView();
    void fetchFromPeer(kj::WaitScope &scope, PeerState &state);
    /// Reads the chunks that this agent is responsible for, or those that it takes over from others.
    enum class ReadKind { Own, TakenOver };
    /// `number`: number of the fiber among those for `kind`.
    void fetchFromOrigin(kj::WaitScope &scope, ReadKind kind, size_t number);
    void readFromOrigin(kj::WaitScope &scope, uint32_t chunk);
    void noteOriginRead(const absl::Status &status);
    /// Tries to connect to the origin after reads have failed; when it is back, the plan starts from that moment.
    void probeOrigin(kj::WaitScope &scope);
    /// Tries to connect to the origin when nothing arrives: an agent that does not read from it would not learn that it is away.
    void checkOrigin(kj::WaitScope &scope);
    /// Asks a peer for its chunks. False when it does not answer.
    bool refreshOffers(kj::WaitScope &scope, LibPeers::PeerClient &client, PeerState &state);
    bool active() const;
    int peerFetchLimit() const;
    /// Starts a plan for the chunks that have not been seen.
    void startReadPlan();
    /// Whether a chunk is overdue that no other peer than the standby ones offers.
    bool needsStandby() const;
    /// Number of known sources by chunk.
    std::vector<uint32_t> sourceCounts() const;
    size_t offeredCount() const;
    /// Chunks that this agent holds or that a peer offers.
    std::vector<bool> seenChunks() const;
    FetchScope scopeOf(uint32_t chunk, bool offered, AK::Milliseconds now) const;
    /// Chunks that are missing, not in flight and may be fetched from sources of `scope` now.
    std::vector<bool> allowedChunks(FetchScope scope, const std::vector<uint32_t> &sources) const;
    std::optional<uint32_t> chooseChunk(const std::vector<bool> &offered, FetchScope scope);
    std::optional<uint32_t> chooseOriginChunk(ReadKind kind);
    bool storeChunk(uint32_t index, std::string data);
    void pause(kj::WaitScope &scope, AK::Milliseconds duration);

    LibFiber::Loop &loop;
    WeightsOrigin &origin;
    ManifestProof &proof;
    OriginContact &contact;
    SwarmSelf self;
    std::string model;
    int64_t version;
    SwarmView view;
    AK::Milliseconds startedAt;
    std::vector<SwarmMember> members;
    OriginConcurrency originReads;
    /// laneRank() or regionRank() of this agent by chunk.
    std::vector<size_t> ranks;
    std::deque<PeerState> peers;
    std::set<uint32_t> inFlight;
    int peerFetches = 0;
    int originReadsInFlight = 0;
    /// Empty when the rate of the origin's link is not known.
    std::optional<ReadPlan> plan;
    HeldVersion *held = nullptr;
    Watch watch;
    /// The fetches from peers and from the origin.
    std::vector<kj::Promise<void>> fibers;
    AK::Milliseconds lastProgressAt = 0;
    uint64_t originBytes = 0;
    size_t chunksTakenOver = 0;
    bool probing = false;
    AK::Milliseconds nextCheckAt = 0;
    AK::Random random;
    LibLog::Logger logger{"swarm"};
};

} // namespace WeightAgent
