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
#include <LibWeights/EngineController.h>
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

/// Fetches the weights that the configuration names as target, offers them to peers and to the engine of this host, and makes the engine load them. Runs in
/// agents of engines.
class WeightsService final : public Kernel::Service, public LibWire::ChunkHandler, public LibHttp::RequestHandler
{
public:
    /// Maximum number of concurrent uploads of chunks to peers.
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

    /// Serves the manifest and the files of completely held versions under the paths of the weight store; supports Range requests.
    bool handle(LibHttp::HttpExchange &exchange) override;

    /// Whether all chunks of a root are held.
    bool holdsAll(const std::string &root) const;

private:
    void runControl();
    void runEngineController();
    void followTarget();
    void publishProgress();
    void reapRetired();
    double transferRate() const;
    std::shared_ptr<FetchProgress> findVersion(std::string_view root) const;
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
    EngineController engineController;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    std::unique_ptr<WeightFetch> fetch;
    /// Stopped fetches whose threads have not ended yet.
    std::list<std::unique_ptr<WeightFetch>> retired;
    /// The previous version, still offered while its chunks are held.
    std::shared_ptr<FetchProgress> previousVersion;
    std::mutex uploadMutex;
    std::condition_variable uploadFinished;
    int activeUploads = 0;
    std::thread controlThread;
    std::thread engineThread;
};

} // namespace LibWeights
