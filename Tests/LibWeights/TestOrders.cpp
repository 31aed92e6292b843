#include "Fleet.h"

#include <LibEngine/HttpEngine.h>
#include <gtest/gtest.h>

using FleetTest::Fleet;
using LibWeights::OrderAction;

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

// Guards against "serving" being believed after a load whose engine restarted between two files, and against a second load after a lost answer.
TEST_P(LoadFaultTest, OnlyTheStatusIsBelieved)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.startAll();
    fleet.agents[0]->engine->setFault(GetParam().fault);
    fleet.want("1");
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
                                         LoadFaultCase{"lost_answer", Fakes::EngineFault::LoseLoadAnswer, 1}),
                         [](const auto &info) { return info.param.name; });

// Guards against a needless load, with its cold engine, whenever an agent is restarted.
TEST(EngineOrders, RestartedAgentConfirmsWithoutALoad)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.want("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1"); }));
    fleet.restartService(0);
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1") && fleet.allHold("1"); }));
    EXPECT_EQ(fleet.agents[0]->engine->stats().loads, 1U);
}

// Guards against weights that came into the engine by an order other than that of the configuration in force.
TEST(EngineOrders, ForeignLoadIsNeverConfirmed)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.want("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return serves(fleet, 0, "1"); }));
    LibEngine::HttpEngine engine(fleet.agents[0]->settings.agent.upstreamAddress);
    const std::string url = AK::concat("http://", fleet.agents[0]->settings.agent.weightStore.text(), "/weights/glue/base/2/manifest.json");
    ASSERT_TRUE(engine.load({UINT64_MAX / 2, "glue", "base", "2", url}, 5000).ok());
    // The engine honours fencing and has seen a greater token, so that it stays unverified; wrong weights are never confirmed.
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.agents[0]->engine->stats().refusedLoads > 0; }));
    EXPECT_FALSE(serves(fleet, 0, "2"));
    EXPECT_FALSE(fleet.agents[0]->state.verified(fleet.clock.now(), INT64_MAX).has_value());
    fleet.agents[0]->engine->restart();
}

// Guards against a whole service that loads at once: with previous weights at most one wave is without the old or the new root.
TEST(EngineOrders, WavesFollowEachOther)
{
    Fleet fleet({.regions = {"a", "a", "a", "a"}, .engines = true});
    fleet.want("1");
    fleet.startAll();
    const auto count = [&](const std::string &version) {
        int serving = 0;
        for (size_t i = 0; i < fleet.agents.size(); ++i) {
            serving += serves(fleet, i, version) ? 1 : 0;
        }
        return serving;
    };
    ASSERT_TRUE(fleet.waitFor([&] { return count("1") == 4; }));
    fleet.want("2", "1");
    int fewest = 4;
    ASSERT_TRUE(fleet.waitFor([&] {
        fewest = std::min(fewest, count("1") + count("2"));
        return count("2") == 4;
    }));
    // Waves of one; the two counts are not taken at the same moment, so an agent between them may be missed once more.
    EXPECT_GE(fewest, 2);
}

// Guards against an engine that refuses every load of a restarted agent, because the agent before it gave more orders in the same revision.
TEST(EngineOrders, RestartedAgentPassesTheTokensOfTheOneBefore)
{
    Fleet fleet({.regions = {"a"}, .engines = true});
    fleet.want("1");
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

struct OrderCase {
    const char *name;
    LibWeights::OrderInput input;
    OrderAction expected;
};

class OrderTest : public testing::TestWithParam<OrderCase>
{
};

// Guards against confirming weights that the configuration does not allow, and against orders before chunks are verified or the wave is due.
TEST_P(OrderTest, FollowsFromStatusAndConfiguration)
{
    EXPECT_EQ(LibWeights::chooseOrder(GetParam().input), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Table, OrderTest,
                         testing::Values(OrderCase{"target", {true, false, "t", "t", "p", false, false}, OrderAction::ConfirmTarget},
                                         OrderCase{"target_not_ready", {false, true, "t", "t", "p", true, true}, OrderAction::MarkUnverified},
                                         OrderCase{"previous_not_due", {true, false, "p", "t", "p", true, false}, OrderAction::ConfirmPrevious},
                                         OrderCase{"previous_not_held", {true, false, "p", "t", "p", false, false}, OrderAction::ConfirmPrevious},
                                         OrderCase{"previous_due", {true, false, "p", "t", "p", true, true}, OrderAction::Switch},
                                         OrderCase{"foreign", {true, false, "x", "t", "p", true, false}, OrderAction::MarkUnverified},
                                         OrderCase{"no_previous", {true, false, "", "t", "", true, false}, OrderAction::MarkUnverified},
                                         OrderCase{"empty_due", {false, false, "", "t", "", true, true}, OrderAction::Switch},
                                         OrderCase{"loading", {false, true, "", "t", "", true, true}, OrderAction::MarkUnverified}),
                         [](const auto &info) { return info.param.name; });

} // namespace
