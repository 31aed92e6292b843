#pragma once

#include <AK/Clock.h>
#include <LibConfiguration/ConfigurationView.h>
#include <LibLog/Logger.h>
#include <LibMembership/MembershipView.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWeights/ChunkStore.h>
#include <LibWeights/FetchProgress.h>
#include <LibWeights/PeerDirectory.h>
#include <LibWeights/PeerLinks.h>
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

/// What a fetch needs of its service.
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

/// The fetch of one version: a supervisor, one task per neighbour and one for designated chunks. Ends by itself when all chunks are held.
class WeightFetch
{
public:
    WeightFetch(FetchContext context, LibSettings::WeightsTarget target);
    ~WeightFetch();
    WeightFetch(const WeightFetch &) = delete;
    WeightFetch &operator=(const WeightFetch &) = delete;

    void start();

    /// Asks all tasks to end; they do so after the call in progress at the latest.
    void requestStop();
    bool finished() const;

    const LibSettings::WeightsTarget &target() const;

    /// nullptr until the manifest is known and its root verified.
    std::shared_ptr<FetchProgress> progress() const;

private:
    struct PeerTask {
        std::atomic<bool> stopping{false};
        std::atomic<bool> finished{false};
        AK::Milliseconds restartAt = 0;
        std::thread thread;
    };

    enum class FetchResult { Held, Retry, Drop, Exclude };

    void run();
    bool active() const;
    bool fetchManifest(PeerLinks &links);
    absl::StatusOr<std::string> manifestFromOrigin() const;
    std::vector<std::string> manifestSources(const PeerDirectory &directory, size_t rank, bool searchAll) const;
    bool acceptManifest(const std::string &text, const std::string &source);
    PeerDirectory currentPeers() const;
    void reportComplete();
    size_t designatedIn(const std::string &region) const;

    void superviseNeighbours();
    void runPeer(PeerTask &task, const std::string &peer, const AK::Endpoint &endpoint);
    FetchResult fetchFromPeer(PeerLinks &links, const std::string &peer, const AK::Endpoint &endpoint, uint32_t index, const char *kind);

    void runDesignated();
    bool fetchDesignated(PeerLinks &links, const PeerDirectory &directory, uint32_t index);
    bool fetchFromOrigin(uint32_t index);
    bool fetchAcrossRegions(PeerLinks &links, const PeerDirectory &directory, uint32_t index);
    bool replacePredecessors(PeerLinks &links, const PeerDirectory &directory, const std::vector<std::pair<size_t, uint32_t>> &later);
    bool replaceOne(PeerLinks &links, const PeerDirectory &directory, uint32_t index);
    AK::Milliseconds patience() const;

    void pause(AK::Milliseconds duration) const;
    bool keep(uint32_t index, absl::StatusOr<std::string> data, const std::string &source, const char *kind, FetchResult &result);
    double expectedRate() const;
    bool isExcluded(const std::string &source) const;
    void exclude(const std::string &source);

    FetchContext context;
    LibSettings::WeightsTarget wanted;
    LibLog::Logger logger{"weights"};
    AK::Random random;
    AK::Milliseconds startedAt = 0;
    AK::Milliseconds slowestOriginFetch = 0;
    /// When an earlier agent in the order was first seen to hold a chunk that has not come; by chunk.
    std::map<uint32_t, AK::Milliseconds> offeredSince;
    std::atomic<bool> stopping{false};
    std::atomic<bool> ended{false};
    std::atomic<bool> completeReported{false};
    mutable std::mutex mutex;
    std::shared_ptr<FetchProgress> current;
    std::set<std::string> excluded;
    std::map<std::string, std::unique_ptr<PeerTask>> peerTasks;
    std::thread supervisor;
};

} // namespace LibWeights
