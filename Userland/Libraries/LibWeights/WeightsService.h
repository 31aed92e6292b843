#pragma once

#include <AK/Clock.h>
#include <Kernel/Service.h>
#include <LibConfiguration/ConfigurationView.h>
#include <LibEngine/EngineState.h>
#include <LibEngine/HttpEngine.h>
#include <LibHttp/RequestHandler.h>
#include <LibMembership/MembershipView.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWeights/ChunkStore.h>
#include <LibWeights/EngineOrders.h>
#include <LibWeights/TransferPacer.h>
#include <LibWeights/WeightFetch.h>
#include <LibWire/RpcConnection.h>
#include <LibWire/RpcServer.h>
#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace LibWeights
{

/// Fetches the weights that the configuration wants, offers them to peers and to its own engine, and gives the engine its orders. For agents of engines.
class WeightsService final : public Kernel::Service, public LibWire::ChunkHandler, public LibHttp::RequestHandler
{
public:
    /// Chunks sent to peers at once.
    static constexpr int uploadLimit = 4;

    WeightsService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                   LibMembership::MembershipView &membership, LibEngine::EngineState &state, LibEngine::AdmissionGate &gate, LibWire::RpcIdentity identity,
                   LibMetrics::MetricRegistry &metrics);
    ~WeightsService() override;

    std::string_view name() const override;
    absl::Status start() override;
    void stop() override;

    void chunkMap(std::string_view root, bool wantManifest, Wire::Node::ChunkMapResults::Builder results) override;
    void fetchChunk(std::string_view root, uint32_t index, Wire::Node::FetchChunkResults::Builder results, kj::WaitScope &scope) override;

    /// Serves the manifest and the files of held versions under the paths of the weight store, with Range.
    bool handle(LibHttp::HttpExchange &exchange) override;

    /// Whether all chunks of a root are held.
    bool holdsAll(const std::string &root) const;

private:
    void runControl();
    void runOrders();
    void followTarget();
    void publishProgress();
    void reapRetired();
    double transferRate() const;
    std::shared_ptr<FetchProgress> versionOf(std::string_view root) const;
    void serveFile(LibHttp::HttpExchange &exchange, const FetchProgress &version, size_t file);
    std::string readRange(const FetchProgress &version, size_t file, uint64_t first, uint64_t end) const;

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibMembership::MembershipView &membership;
    LibEngine::AdmissionGate &gate;
    LibMetrics::MetricRegistry &metrics;
    ChunkStore store;
    TransferPacer downlink;
    TransferPacer uplink;
    FetchContext context;
    LibEngine::HttpEngine engine;
    EngineOrders orders;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    std::unique_ptr<WeightFetch> fetch;
    std::list<std::unique_ptr<WeightFetch>> retired;
    /// The version before the current one, still offered while its chunks are held.
    std::shared_ptr<FetchProgress> lastVersion;
    std::mutex uploadMutex;
    std::condition_variable uploadFreed;
    int uploads = 0;
    std::thread control;
    std::thread orderThread;
};

} // namespace LibWeights
