#include <AK/Hash.h>
#include <WeightAgent/AgentService.h>
#include <gtest/gtest.h>
#include <thread>

namespace
{

using namespace WeightAgent;

const std::string model = "glue-line";
constexpr int64_t oldVersion = 1;
constexpr int64_t newVersion = 2;
constexpr uint32_t chunkCount = 4;
const std::string corrupt = "corrupt";

std::string soundChunk(uint32_t index)
{
    return "chunk " + std::to_string(index);
}

/// A store that never answers; the test sets the state of the deployment itself.
class NoSource final : public Fleet::ObjectSource
{
public:
    absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope &, LibFleet::ObjectKind) override
    {
        return absl::UnavailableError("no store");
    }
    absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope &, LibFleet::ObjectKind, int64_t, AK::Milliseconds) override
    {
        return absl::UnavailableError("no store");
    }
    absl::Status put(kj::WaitScope &, LibFleet::ObjectKind, const std::string &, const std::string &) override
    {
        return absl::UnavailableError("no store");
    }
    absl::Status erase(kj::WaitScope &, LibFleet::ObjectKind, const std::string &) override
    {
        return absl::UnavailableError("no store");
    }
};

class NoDecoder final : public Fleet::ObjectDecoder
{
public:
    void decode(LibFleet::ObjectKind, const std::map<std::string, std::string> &, LibFleet::FleetState &) override
    {
    }
    std::string agentPart(LibFleet::ObjectKind, const std::string &spec) const override
    {
        return spec;
    }
    std::string encodeEntry(const LibFleet::EntryRecord &) const override
    {
        return "{}";
    }
};

class SoundOrigin final : public WeightsOrigin
{
public:
    absl::StatusOr<std::string> manifestText(kj::WaitScope &, const AK::Endpoint &, const std::string &, int64_t version) override
    {
        return std::to_string(version);
    }
    absl::StatusOr<std::string> chunk(kj::WaitScope &, const AK::Endpoint &, const std::string &, int64_t, uint32_t index) override
    {
        return soundChunk(index);
    }
    absl::StatusOr<WeightsManifest> parseManifest(const std::string &text) const override
    {
        WeightsManifest manifest{std::stoll(text), 1, {}};
        for (uint32_t i = 0; i < chunkCount; ++i) {
            manifest.digests.push_back(AK::sha256Hex(soundChunk(i)));
        }
        return manifest;
    }
};

struct PauseCase {
    const char *name;
    /// Time for which the process stands still after the last comparison, in ms; a chunk becomes corrupt as it begins.
    AK::Milliseconds pause;
    /// Calls that the engine still runs, which delay the load.
    uint32_t running;
};

/// An engine whose staged data becomes corrupt once, while the agent stands still.
class RottingEngine final : public EngineControl
{
public:
    explicit RottingEngine(const PauseCase &plan)
        : plan(plan)
    {
    }

    absl::StatusOr<EngineStatus> status(kj::WaitScope &) override
    {
        // The agent compares all chunks once more after it has staged them, then waits for the calls to end.
        if (this->reads >= chunkCount && !this->rotted) {
            this->rotted = true;
            this->staged[1] = corrupt;
            std::this_thread::sleep_for(std::chrono::milliseconds(this->plan.pause));
        }
        EngineStatus status;
        status.report.weightsVersion = this->loadedVersion;
        status.report.running = this->rotted ? 0 : this->plan.running;
        status.commandSequence = this->loads;
        return status;
    }
    absl::Status stageChunk(kj::WaitScope &, const std::string &, uint32_t index, const std::string &data) override
    {
        this->staged[index] = data;
        return absl::OkStatus();
    }
    absl::StatusOr<std::string> stagedChunk(kj::WaitScope &, const std::string &, uint32_t index) override
    {
        const auto found = this->staged.find(index);
        if (found == this->staged.end()) {
            return absl::NotFoundError("not staged");
        }
        this->reads += this->staged.size() == chunkCount ? 1 : 0;
        return found->second;
    }
    absl::StatusOr<LoadOutcome> load(kj::WaitScope &, const std::string &, int64_t version, LoadStrategy, int64_t) override
    {
        ++this->loads;
        this->loaded = this->staged;
        this->loadedVersion = version;
        return LoadOutcome::Accepted;
    }

    PauseCase plan;
    std::map<uint32_t, std::string> staged;
    std::map<uint32_t, std::string> loaded;
    int64_t loadedVersion = oldVersion;
    int64_t loads = 0;
    size_t reads = 0;
    bool rotted = false;
};

LibFleet::Configuration modelConfiguration()
{
    LibFleet::Configuration configuration;
    configuration.version = 1;
    LibFleet::ServiceSpec service;
    service.name = "bench-assistant";
    service.engine.emplace();
    service.engine->model = model;
    service.engine->chunks = chunkCount;
    LibFleet::ServiceSpec origin;
    origin.name = "weights";
    origin.origin = AK::Endpoint{"127.0.0.1", 1};
    origin.originFailureDomain = "lima-1";
    configuration.services = {{service.name, service}, {origin.name, origin}};
    return configuration;
}

class LoadCommandTest : public testing::TestWithParam<PauseCase>
{
};

// Guards against calls on spoilt weights: a host stood still between the comparison of its staged chunks and the load command, and a chunk that had become
// corrupt meanwhile was loaded.
TEST_P(LoadCommandTest, LoadsNoChunkThatBecameCorruptSinceItsComparison)
{
    LibFiber::Loop loop;
    RottingEngine engine(GetParam());
    SoundOrigin origin;
    NoSource source;
    NoDecoder decoder;
    LibFleet::FleetState fleet(loop.clock());
    Fleet::ObjectFeeds feeds(loop, source, decoder, fleet);
    Fleet::PeerExchange exchange(loop, {"agent", "lima-1", "lima", {"127.0.0.1", 1}, std::nullopt, {}}, feeds, fleet);
    fleet.setConfiguration(modelConfiguration());
    fleet.setWeightsTargets({{model, newVersion}}, 0);
    AgentService::Settings settings;
    settings.service = "bench-assistant";
    settings.engineAddress = {"127.0.0.1", 2};
    settings.region = "lima";
    settings.regionsByDomain = {{"lima-1", "lima"}};
    settings.statusInterval = 20;
    AgentService agent(loop, settings, fleet, engine, origin, exchange);
    const LibFiber::SpawnedFibersGuard guard(loop);
    agent.start();
    constexpr AK::Milliseconds limit = 20'000;
    const AK::Milliseconds until = loop.clock().now() + limit;
    while (engine.loads == 0 && loop.clock().now() < until) {
        loop.sleep(loop.rootScope(), 10);
    }
    ASSERT_TRUE(engine.rotted);
    ASSERT_EQ(engine.loads, 1);
    for (uint32_t i = 0; i < chunkCount; ++i) {
        EXPECT_EQ(engine.loaded[i], soundChunk(i));
    }
}

// The users' rule allows a chunk that has been corrupt for less than 3 s, so the pauses are longer.
INSTANTIATE_TEST_SUITE_P(Table, LoadCommandTest, testing::Values(PauseCase{"idle_engine", 3'100, 0}, PauseCase{"engine_with_calls", 3'100, 8}),
                         [](const auto &info) { return info.param.name; });

} // namespace
