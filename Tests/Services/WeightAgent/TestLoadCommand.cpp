#include "LoneAgent.h"

#include <gtest/gtest.h>
#include <thread>

namespace
{

using namespace WeightAgent;
using namespace LoneAgentTest;

const std::string corrupt = "corrupt";

struct PauseCase {
    const char *name;
    /// Time for which the process stands still after the last comparison, in ms; a chunk becomes corrupt as it begins.
    AK::Milliseconds pause;
    /// Calls that the engine still runs, which delay the load.
    uint32_t running;
};

/// An engine whose staged data becomes corrupt once, while the agent stands still.
class RottingEngine final : public MemoryEngine
{
public:
    explicit RottingEngine(const PauseCase &plan)
        : plan(plan)
    {
    }

    absl::StatusOr<EngineStatus> status(kj::WaitScope &scope) override
    {
        // The agent compares all chunks once more after it has staged them, then waits for the calls to end.
        if (this->reads >= chunkCount && !this->rotted) {
            this->rotted = true;
            this->staged[1] = corrupt;
            std::this_thread::sleep_for(std::chrono::milliseconds(this->plan.pause));
        }
        absl::StatusOr<EngineStatus> status = MemoryEngine::status(scope);
        status->report.running = this->rotted ? 0 : this->plan.running;
        return status;
    }
    absl::StatusOr<std::string> stagedChunk(kj::WaitScope &scope, const std::string &name, uint32_t index) override
    {
        this->reads += this->staged.size() == chunkCount ? 1 : 0;
        return MemoryEngine::stagedChunk(scope, name, index);
    }

    PauseCase plan;
    size_t reads = 0;
    bool rotted = false;
};

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
    LoneAgent agent(loop, engine, origin);
    ASSERT_TRUE(agent.runUntil([&] { return engine.loads > 0; }));
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
