#include "Fleet.h"

#include <LibEngine/HttpEngine.h>
#include <gtest/gtest.h>

using FleetTest::Fleet;
using LibWeights::EngineAction;

namespace
{

bool serves(const Fleet &fleet, size_t agent, const std::string &version)
{
    const auto verified = fleet.agents[agent]->state.verified(fleet.clock.now(), 2000);
    return verified && verified->root == fleet.store->rootOf(version);
}

struct LoadFaultCase {
    const char *name;
    Fakes::EngineFault fault;
    uint64_t loads;
};

class LoadFaultTest : public testing::TestWithParam<LoadFaultCase>
{
};

// Guards against reporting "serving" after a load during which the engine restarted between two files, and against a second load after a lost answer.
TEST_P(LoadFaultTest, OnlyTheStatusConfirmsALoad)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.startAll();
    fleet.agents[0]->engine->setFault(GetParam().fault);
    fleet.setTarget("1");
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1"); }));
    LibEngine::HttpEngine engine(fleet.agents[0]->settings.agent.upstreamAddress);
    const auto status = engine.status(1000);
    ASSERT_TRUE(status.ok());
    EXPECT_EQ(status->root, fleet.store->rootOf("1"));
    EXPECT_EQ(fleet.agents[0]->engine->stats().loads, GetParam().loads);
    EXPECT_EQ(fleet.agents[0]->state.verified(fleet.clock.now(), 2000)->fingerprint, status->fingerprint());
}

INSTANTIATE_TEST_SUITE_P(Table, LoadFaultTest,
                         testing::Values(LoadFaultCase{"none", Fakes::EngineFault::None, 1}, LoadFaultCase{"restart", Fakes::EngineFault::CrashInLoad, 1},
                                         LoadFaultCase{"lost_answer", Fakes::EngineFault::LoseLoadResponse, 1}),
                         [](const auto &info) { return info.param.name; });

// Guards against a needless load, which leaves a cold engine, whenever an agent is restarted.
TEST(EngineController, RestartedAgentConfirmsWithoutALoad)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.setTarget("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1"); }));
    fleet.restartService(0);
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1") && fleet.allHold("1"); }));
    EXPECT_EQ(fleet.agents[0]->engine->stats().loads, 1U);
}

// Guards against confirming weights that a load command of another origin than the configuration in force put into the engine.
TEST(EngineController, ForeignLoadIsNeverConfirmed)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.setTarget("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1"); }));
    LibEngine::HttpEngine engine(fleet.agents[0]->settings.agent.upstreamAddress);
    const std::string url = AK::concat("http://", fleet.agents[0]->settings.agent.weightStore.text(), "/weights/glue/base/2/manifest.json");
    ASSERT_TRUE(engine.load({UINT64_MAX / 2, "glue", "base", "2", url}, 5000).ok());
    // The engine honours fencing and has seen a greater token, so it refuses the loads of the agent and stays unverified.
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.agents[0]->engine->stats().refusedLoads > 0; }));
    EXPECT_FALSE(serves(fleet, 0, "2"));
    EXPECT_FALSE(fleet.agents[0]->state.verified(fleet.clock.now(), INT64_MAX).has_value());
    fleet.agents[0]->engine->restart();
}

// Guards against all engines of a service loading at once: with previous weights, at most one wave serves neither the old nor the new root.
TEST(EngineController, OnlyOneWaveSwitchesAtATime)
{
    Fleet fleet({.regions = {"a", "a", "a", "a"}, .engines = true});
    fleet.setTarget("1");
    fleet.startAll();
    const auto servingAgents = [&](const std::string &version) {
        int serving = 0;
        for (size_t i = 0; i < fleet.agents.size(); ++i) {
            serving += serves(fleet, i, version) ? 1 : 0;
        }
        return serving;
    };
    ASSERT_TRUE(fleet.waitFor([&] { return servingAgents("1") == 4; }));
    fleet.setTarget("2", "1");
    int minimum = 4;
    ASSERT_TRUE(fleet.waitFor([&] {
        minimum = std::min(minimum, servingAgents("1") + servingAgents("2"));
        return servingAgents("2") == 4;
    }));
    // Each wave is one agent. The two counts are not taken at the same time, so an agent that switches between them may be missed as well.
    EXPECT_GE(minimum, 2);
}

// Guards against an engine that refuses every load of a restarted agent, because its predecessor sent more load commands in the same revision.
TEST(EngineController, RestartedAgentExceedsEarlierFencingTokens)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.setTarget("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1"); }));
    LibEngine::HttpEngine engine(fleet.agents[0]->settings.agent.upstreamAddress);
    const std::string url = AK::concat("http://", fleet.agents[0]->settings.agent.weightStore.text(), "/weights/glue/base/2/manifest.json");
    const uint64_t revision = fleet.configuration.current()->revision.number;
    ASSERT_TRUE(engine.load({(revision << 20) + 100, "glue", "base", "2", url}, 5000).ok());
    fleet.restartService(0);
    EXPECT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1"); }));
    EXPECT_LE(fleet.agents[0]->engine->stats().refusedLoads, 20);
}

struct EngineActionCase {
    const char *name;
    LibWeights::EngineActionInput input;
    EngineAction expected;
};

class EngineActionTest : public testing::TestWithParam<EngineActionCase>
{
};

// Guards against confirming weights that the configuration does not allow, and against load commands before all chunks are verified or the wave is due.
TEST_P(EngineActionTest, FollowsFromStatusAndConfiguration)
{
    EXPECT_EQ(LibWeights::chooseEngineAction(GetParam().input), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Table, EngineActionTest,
                         testing::Values(EngineActionCase{"target", {true, false, "t", "t", "p", false, false}, EngineAction::ConfirmTarget},
                                         EngineActionCase{"target_not_ready", {false, true, "t", "t", "p", true, true}, EngineAction::MarkUnverified},
                                         EngineActionCase{"previous_not_due", {true, false, "p", "t", "p", true, false}, EngineAction::ConfirmPrevious},
                                         EngineActionCase{"previous_not_held", {true, false, "p", "t", "p", false, false}, EngineAction::ConfirmPrevious},
                                         EngineActionCase{"previous_due", {true, false, "p", "t", "p", true, true}, EngineAction::Switch},
                                         EngineActionCase{"foreign", {true, false, "x", "t", "p", true, false}, EngineAction::MarkUnverified},
                                         EngineActionCase{"no_previous", {true, false, "", "t", "", true, false}, EngineAction::MarkUnverified},
                                         EngineActionCase{"empty_due", {false, false, "", "t", "", true, true}, EngineAction::Switch},
                                         EngineActionCase{"loading", {false, true, "", "t", "", true, true}, EngineAction::MarkUnverified}),
                         [](const auto &info) { return info.param.name; });

} // namespace
