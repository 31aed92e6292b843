#pragma once

#include <AK/Clock.h>
#include <LibConfiguration/ConfigurationView.h>
#include <LibLog/Logger.h>
#include <LibMembership/MembershipView.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWeights/ChunkStore.h>
#include <LibWeights/FetchProgress.h>
#include <LibWeights/PeerConnections.h>
#include <LibWeights/PeerDirectory.h>
#include <LibWeights/TransferPacer.h>
#include <LibWire/RpcConnection.h>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace LibWeights
{

/// Dependencies of a fetch, provided by the weights service.
struct FetchContext {
    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibMembership::MembershipView &membership;
    LibWire::RpcIdentity identity;
    LibMetrics::MetricRegistry &metrics;
    ChunkStore &store;
    TransferPacer &downlink;
};

/// Fetches one version of weights with one supervisor thread, one thread per neighbour and one for designated chunks. Finishes when all chunks are held.
class WeightFetch
{
public:
    WeightFetch(FetchContext context, LibSettings::WeightsTarget target);
    ~WeightFetch();
    WeightFetch(const WeightFetch &) = delete;
    WeightFetch &operator=(const WeightFetch &) = delete;

    void start();

    /// Requests all threads to end; each does so after its call in progress at the latest.
    void requestStop();
    bool finished() const;

    const LibSettings::WeightsTarget &target() const;

    /// nullptr until the manifest has been read and its root verified.
    std::shared_ptr<FetchProgress> progress() const;

private:
    struct PeerTask {
        std::atomic<bool> stopping{false};
        std::atomic<bool> finished{false};
        AK::Milliseconds restartAt = 0;
        std::thread thread;
    };

    /// Requests for chunks that failed one after another, and the time of the last.
    struct FailedRequests {
        int count = 0;
        AK::Milliseconds lastAt = 0;
    };

    enum class FetchResult { Stored, Retry, Drop, Exclude };

    void run();
    bool active() const;
    bool fetchManifest(PeerConnections &connections);
    absl::StatusOr<std::string> manifestFromOrigin() const;
    std::vector<std::string> manifestSources(const PeerDirectory &directory, size_t rank, bool searchAll) const;
    bool acceptManifest(const std::string &text, const std::string &source);
    PeerDirectory currentPeers() const;
    void reportComplete();
    size_t designatedCount(const std::string &region) const;

    void superviseNeighbours();
    void runPeerTask(PeerTask &task, const std::string &peer, const AK::Endpoint &endpoint);
    FetchResult fetchFromPeer(PeerConnections &connections, const std::string &peer, const AK::Endpoint &endpoint, uint32_t index, const char *sourceKind);

    void runDesignatedTask();
    bool fetchDesignated(PeerConnections &connections, const PeerDirectory &directory, uint32_t index);
    bool fetchFromOrigin(uint32_t index);
    bool fetchAcrossRegions(PeerConnections &connections, const PeerDirectory &directory, uint32_t index);
    bool replacePredecessors(PeerConnections &connections, const PeerDirectory &directory, const std::vector<std::pair<size_t, uint32_t>> &nonDesignated);
    bool replaceForChunk(PeerConnections &connections, const PeerDirectory &directory, uint32_t index);
    /// Asks an earlier agent that holds a chunk for it. True when the chunk was stored.
    bool fetchFromHolder(PeerConnections &connections, const std::string &name, const AK::Endpoint &endpoint, uint32_t index);
    bool hasRefusedToSend(const std::string &name) const;
    AK::Milliseconds replacementTimeout() const;

    void pause(AK::Milliseconds duration) const;
    bool storeChunk(uint32_t index, absl::StatusOr<std::string> data, const std::string &source, const char *sourceKind, FetchResult &result);
    double expectedRate() const;
    bool isExcluded(const std::string &source) const;
    void exclude(const std::string &source);

    FetchContext context;
    LibSettings::WeightsTarget weightsTarget;
    LibLog::Logger logger{"weights"};
    AK::Random random;
    AK::Milliseconds startedAt = 0;
    AK::Milliseconds slowestOriginFetch = 0;
    /// Time at which an earlier agent in the fetch order was first seen to hold a chunk that has not arrived here, by chunk.
    std::map<uint32_t, AK::Milliseconds> offeredSince;
    /// Earlier agents that did not send a chunk they hold when asked for it.
    std::map<std::string, FailedRequests> failedRequests;
    std::atomic<bool> stopping{false};
    std::atomic<bool> ended{false};
    std::atomic<bool> completeReported{false};
    mutable std::mutex mutex;
    std::shared_ptr<FetchProgress> fetchProgress;
    std::set<std::string> excluded;
    std::map<std::string, std::unique_ptr<PeerTask>> peerTasks;
    std::thread supervisor;
};

} // namespace LibWeights
