#include "Fleet.h"

#include <gtest/gtest.h>

using FleetTest::Fleet;
using FleetTest::FleetOptions;
using FleetTest::PeerFault;

namespace
{

const std::string originBytes = R"(catkinlink_weights_bytes_total{source="origin"})";
const std::string crossRegionBytes = R"(catkinlink_weights_bytes_total{source="cross_region"})";

std::vector<std::string> regionsOf(size_t localAgents, size_t remoteAgents)
{
    std::vector<std::string> all(localAgents, "a");
    all.insert(all.end(), remoteAgents, "b");
    return all;
}

struct DistributionCase {
    const char *name;
    size_t localAgents;
    size_t remoteAgents;
    int64_t originBytesPerSecond;
};

class DistributionTest : public testing::TestWithParam<DistributionCase>
{
};

// Guards against an origin or a region link that carries a copy of the chunks for each agent, also while the origin is the bottleneck.
TEST_P(DistributionTest, OriginAndRegionLinkCarryEachChunkOnce)
{
    Fleet fleet({.regions = regionsOf(GetParam().localAgents, GetParam().remoteAgents), .originBytesPerSecond = GetParam().originBytesPerSecond});
    fleet.setTarget("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("1"); }));
    const auto size = static_cast<double>(fleet.versionBytes());
    EXPECT_LE(static_cast<double>(fleet.store->bytesServed()), 1.1 * size);
    // Metrics are printed with six significant digits.
    EXPECT_GE(fleet.metricSum(originBytes), 0.9999 * size);
    if (GetParam().remoteAgents > 0) {
        EXPECT_GE(fleet.metricSum(crossRegionBytes), 0.9999 * size);
        EXPECT_LE(fleet.metricSum(crossRegionBytes), 1.1 * size);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, DistributionTest,
                         testing::Values(DistributionCase{"one_agent", 1, 0, 0}, DistributionCase{"one_region", 16, 0, 0},
                                         DistributionCase{"slow_origin", 12, 0, 512 << 10}, DistributionCase{"two_regions", 8, 8, 0},
                                         DistributionCase{"two_regions_slow_origin", 6, 6, 512 << 10}),
                         [](const auto &info) { return info.param.name; });

struct LateAnswersCase {
    const char *name;
    size_t agents;
    /// Times for which the peers answer nothing and for which they answer in between, in ms.
    AK::Milliseconds pause;
    AK::Milliseconds between;
    int pauses;
    int64_t originBytesPerSecond;
};

class LateAnswersTest : public testing::TestWithParam<LateAnswersCase>
{
};

// Guards against agents that take peers on busy hosts for dead because an answer came later than the RPC timeout, and read from the origin what peers hold.
TEST_P(LateAnswersTest, OriginStillSendsEachChunkOnce)
{
    Fleet fleet({.regions = regionsOf(GetParam().agents, 0), .originBytesPerSecond = GetParam().originBytesPerSecond});
    fleet.setTarget("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.metricSum("catkinlink_weights_chunks_held") > 0; }));
    for (int i = 0; i < GetParam().pauses; ++i) {
        for (const auto fault : {PeerFault::Pause, PeerFault::None}) {
            for (auto &agent : fleet.agents) {
                agent->chunks->fault = fault;
            }
            fleet.clock.sleep(fault == PeerFault::Pause ? GetParam().pause : GetParam().between);
        }
    }
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("1"); }));
    EXPECT_LE(static_cast<double>(fleet.store->bytesServed()), 1.1 * static_cast<double>(fleet.versionBytes()));
}

INSTANTIATE_TEST_SUITE_P(Table, LateAnswersTest,
                         testing::Values(LateAnswersCase{"once", 16, 600, 0, 1, 0}, LateAnswersCase{"again_and_again", 16, 600, 60, 6, 0},
                                         LateAnswersCase{"slow_origin", 12, 600, 200, 3, 512 << 10}),
                         [](const auto &info) { return info.param.name; });

struct FaultCase {
    const char *name;
    PeerFault fault;
    bool dead;
};

class FaultyPeerTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against chunks that no agent receives because the agent designated for them sends corrupt data, stalls or has died unnoticed.
TEST_P(FaultyPeerTest, OthersGetAllChunks)
{
    Fleet fleet({.regions = regionsOf(8, 0)});
    fleet.setTarget("1");
    for (size_t i = GetParam().dead ? 1 : 0; i < fleet.agents.size(); ++i) {
        fleet.start(i);
        if (i == 0) {
            fleet.agents[0]->chunks->fault = GetParam().fault;
        }
    }
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("1", {0}); }));
    EXPECT_GT(fleet.metricSum("catkinlink_weights_designations_replaced_total"), 0);
    if (GetParam().fault == PeerFault::Corrupt) {
        EXPECT_GT(fleet.metricSum("catkinlink_weights_corrupt_chunks_total"), 0);
        // Each agent excludes the source after its first corrupt chunk; others may be in flight at that time.
        EXPECT_LE(fleet.metricSum("catkinlink_weights_corrupt_chunks_total"), 7.0 * LibWeights::FetchProgress::maxInFlight);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, FaultyPeerTest,
                         testing::Values(FaultCase{"corrupt", PeerFault::Corrupt, false}, FaultCase{"stalled", PeerFault::Stall, false},
                                         FaultCase{"dead", PeerFault::None, true}),
                         [](const auto &info) { return info.param.name; });

// Guards against an agent that continues to fetch an old version when the target is a newer one.
TEST(WeightFetch, NewerTargetStopsTheFetchOfTheOlder)
{
    Fleet fleet({.regions = regionsOf(6, 0), .originBytesPerSecond = 512 << 10});
    fleet.setTarget("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.metricSum("catkinlink_weights_chunks_held") > 0; }));
    fleet.setTarget("2");
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("2"); }));
    EXPECT_FALSE(fleet.agents[0]->service->holdsAll(fleet.store->rootOf("1")));
}

// Guards against transferring chunks again that an older version shares with the target.
TEST(WeightFetch, SharedChunksAreNotTransferredAgain)
{
    FleetOptions options{.regions = regionsOf(6, 0)};
    options.weights.changePercent = 20;
    Fleet fleet(options);
    fleet.setTarget("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("1"); }));
    const uint64_t before = fleet.store->bytesServed();
    fleet.setTarget("2");
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("2"); }));
    EXPECT_GT(fleet.store->bytesServed(), before);
    EXPECT_LT(fleet.store->bytesServed() - before, fleet.versionBytes() / 2);
}

// Guards against agents that depend on the origin although their peers hold all chunks.
TEST(WeightFetch, PeersDistributeChunksWithoutTheOrigin)
{
    Fleet fleet({.regions = regionsOf(8, 4)});
    fleet.setTarget("1");
    fleet.start(0);
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.agents[0]->service->holdsAll(fleet.store->rootOf("1")); }));
    fleet.store->setFault(Fakes::WeightStoreFault::Down);
    for (size_t i = 1; i < fleet.agents.size(); ++i) {
        fleet.start(i);
    }
    EXPECT_TRUE(fleet.waitFor([&] { return fleet.allHold("1"); }));
}

// Guards against weights other than those whose root is in the configuration.
TEST(WeightFetch, WrongManifestIsRefused)
{
    Fleet fleet({.regions = regionsOf(2, 0)});
    fleet.setTarget("1", "", std::string(64, 'a'));
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.metricSum("catkinlink_weights_manifests_refused_total") >= 2; }));
    EXPECT_FALSE(fleet.agents[0]->service->holdsAll(std::string(64, 'a')));
    EXPECT_EQ(fleet.metricSum("catkinlink_weights_chunks_held"), 0);
}

} // namespace
