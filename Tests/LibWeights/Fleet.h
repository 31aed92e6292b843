#pragma once

#include <LibWeights/WeightsService.h>
#include <Tests/Fakes/Engine/FakeEngine.h>
#include <Tests/Fakes/WeightStore/FakeWeightStore.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace FleetTest
{

/// A configuration that tests replace with publish().
class TestConfiguration final : public LibConfiguration::ConfigurationView
{
public:
    std::shared_ptr<const LibConfiguration::Configuration> current() const override;
    std::shared_ptr<const LibConfiguration::Configuration> waitForChange(const std::shared_ptr<const LibConfiguration::Configuration> &seen,
                                                                         AK::Milliseconds timeout) const override;
    void publish(LibConfiguration::Configuration next);

private:
    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::shared_ptr<const LibConfiguration::Configuration> value;
};

/// Member table shared by all agents of a fleet.
class TestMemberTable
{
public:
    mutable std::mutex mutex;
    std::map<std::string, LibMembership::Member> members;
    uint64_t changes = 0;
};

class TestMembership final : public LibMembership::MembershipView
{
public:
    TestMembership(TestMemberTable &table, std::string self);
    std::vector<LibMembership::Member> members() const override;
    std::optional<LibMembership::Member> find(const std::string &name) const override;
    uint64_t changeCount() const override;
    void updateSelf(const std::function<void(LibMembership::Member &)> &change) override;
    void reportUnreachable(const std::string &name) override;

private:
    TestMemberTable &table;
    std::string self;
};

class TestGate final : public LibEngine::AdmissionGate
{
public:
    void closeForSwitch() override;
    bool waitDrained(AK::Milliseconds timeout) override;
    void reopen() override;
    int callsInFlight() const override;

    std::atomic<int> closed{0};
    std::atomic<int> opened{0};
};

/// Stall: chunks are not sent. Pause: nothing is answered, as on a host that stands still.
enum class PeerFault { None, Corrupt, Stall, Pause };

/// Serves the chunks of an agent, with an injected fault.
class FaultyChunkHandler final : public LibWire::ChunkHandler
{
public:
    explicit FaultyChunkHandler(LibWire::ChunkHandler &inner);
    void chunkMap(std::string_view root, bool wantManifest, Wire::Node::ChunkMapResults::Builder results) override;
    void fetchChunk(std::string_view root, uint32_t index, Wire::Node::FetchChunkResults::Builder results, kj::WaitScope &scope) override;

    std::atomic<PeerFault> fault{PeerFault::None};

private:
    void waitWhilePaused() const;

    LibWire::ChunkHandler &inner;
};

struct FleetOptions {
    /// Region of each agent; the origin is in region "a".
    std::vector<std::string> regions;
    LibWeights::GeneratedWeights weights{"glue", "base", "1", 1 << 20, 16 << 10, 7, 100};
    int64_t originBytesPerSecond = 0;
    bool engines = false;
};

/// One agent with real RPC and HTTP servers on loopback.
struct TestAgent {
    LibSettings::ProcessSettings settings;
    std::unique_ptr<TestMembership> membership;
    LibEngine::EngineState state;
    TestGate gate;
    LibMetrics::MetricRegistry metrics;
    std::unique_ptr<LibWeights::WeightsService> service;
    std::unique_ptr<FaultyChunkHandler> chunks;
    std::unique_ptr<LibWire::RpcServer> rpc;
    std::unique_ptr<LibHttp::HttpServer> http;
    std::unique_ptr<Fakes::FakeEngine> engine;
};

/// Agents, a weight store and a shared configuration in one process.
class Fleet
{
public:
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Publishes a configuration with a target and, when given, a previous version.
    void setTarget(const std::string &version, const std::string &previous = "", const std::string &rootOverride = "");
    void start(size_t index);
    void startAll();
    /// Stops the agent's service and starts a new one with the same engine.
    void restartService(size_t index);

    /// Waits for a condition; false after 60 s, far longer than any test needs.
    bool waitFor(const std::function<bool()> &condition) const;
    bool allHold(const std::string &version, const std::vector<size_t> &excluded = {}) const;
    /// Sum of the metrics of all agents whose line starts with `prefix`.
    double metricSum(const std::string &prefix) const;
    uint64_t versionBytes() const;

    AK::SystemClock clock;
    FleetOptions options;
    TestMemberTable table;
    TestConfiguration configuration;
    std::unique_ptr<Fakes::FakeWeightStore> store;
    std::vector<std::unique_ptr<TestAgent>> agents;

private:
    void createService(TestAgent &agent);
    std::shared_ptr<LibWire::KeyRing> keys;
    uint64_t revision = 0;
};

} // namespace FleetTest
