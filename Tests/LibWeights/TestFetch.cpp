#include "Fleet.h"

#include <gtest/gtest.h>

using FleetTest::Fleet;
using FleetTest::FleetOptions;
using FleetTest::PeerFault;

namespace
{

const std::string originBytes = R"(catkinlink_weights_bytes_total{source="origin"})";
const std::string crossBytes = R"(catkinlink_weights_bytes_total{source="cross_region"})";

std::vector<std::string> regions(size_t near, size_t far)
{
    std::vector<std::string> all(near, "a");
    all.insert(all.end(), far, "b");
    return all;
}

struct SpreadCase {
    const char *name;
    size_t near;
    size_t far;
    int64_t originBytesPerSecond;
};

class SpreadTest : public testing::TestWithParam<SpreadCase>
{
};

// Guards against an origin or a region link that carries a copy for each agent, also while the origin is the bottleneck.
TEST_P(SpreadTest, EachChunkLeavesTheOriginAndCrossesOnce)
{
    Fleet fleet({.regions = regions(GetParam().near, GetParam().far), .originBytesPerSecond = GetParam().originBytesPerSecond});
    fleet.want("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("1"); }));
    const auto size = static_cast<double>(fleet.versionBytes());
    EXPECT_LE(static_cast<double>(fleet.store->bytesServed()), 1.1 * size);
    // The text of a metric has six significant digits.
    EXPECT_GE(fleet.metric(originBytes), 0.9999 * size);
    if (GetParam().far > 0) {
        EXPECT_GE(fleet.metric(crossBytes), 0.9999 * size);
        EXPECT_LE(fleet.metric(crossBytes), 1.1 * size);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, SpreadTest,
                         testing::Values(SpreadCase{"one_agent", 1, 0, 0}, SpreadCase{"one_region", 16, 0, 0}, SpreadCase{"slow_origin", 12, 0, 512 << 10},
                                         SpreadCase{"two_regions", 8, 8, 0}, SpreadCase{"two_regions_slow_origin", 6, 6, 512 << 10}),
                         [](const auto &info) { return info.param.name; });

struct FaultCase {
    const char *name;
    PeerFault fault;
    bool dead;
};

class FaultyPeerTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against chunks that are lost to everyone because the agent designated for them delivers wrong bytes, stalls or has died unnoticed.
TEST_P(FaultyPeerTest, OthersGetAllChunks)
{
    Fleet fleet({.regions = regions(8, 0)});
    fleet.want("1");
    for (size_t i = GetParam().dead ? 1 : 0; i < fleet.agents.size(); ++i) {
        fleet.start(i);
        if (i == 0) {
            fleet.agents[0]->chunks->fault = GetParam().fault;
        }
    }
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("1", {0}); }));
    EXPECT_GT(fleet.metric("catkinlink_weights_designations_replaced_total"), 0);
    if (GetParam().fault == PeerFault::Corrupt) {
        EXPECT_GT(fleet.metric("catkinlink_weights_corrupt_chunks_total"), 0);
        // Each agent excludes the source after its first wrong chunk.
        EXPECT_LE(fleet.metric("catkinlink_weights_corrupt_chunks_total"), 7.0 * LibWeights::FetchProgress::fetchLimit);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, FaultyPeerTest,
                         testing::Values(FaultCase{"corrupt", PeerFault::Corrupt, false}, FaultCase{"stalled", PeerFault::Stall, false},
                                         FaultCase{"dead", PeerFault::None, true}),
                         [](const auto &info) { return info.param.name; });

// Guards against an agent that goes on with an old version when a newer one is wanted.
TEST(WeightFetch, NewerVersionEndsTheTransferOfTheOld)
{
    Fleet fleet({.regions = regions(6, 0), .originBytesPerSecond = 512 << 10});
    fleet.want("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.metric("catkinlink_weights_chunks_held") > 0; }));
    fleet.want("2");
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("2"); }));
    EXPECT_FALSE(fleet.agents[0]->service->holdsAll(fleet.store->rootOf("1")));
}

// Guards against transferring what an older version already brought.
TEST(WeightFetch, SharedChunksAreNotMoved)
{
    FleetOptions options{.regions = regions(6, 0)};
    options.weights.changePercent = 20;
    Fleet fleet(options);
    fleet.want("1");
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("1"); }));
    const uint64_t before = fleet.store->bytesServed();
    fleet.want("2");
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.allHold("2"); }));
    EXPECT_GT(fleet.store->bytesServed(), before);
    EXPECT_LT(fleet.store->bytesServed() - before, fleet.versionBytes() / 2);
}

// Guards against agents that need the origin although their peers hold everything.
TEST(WeightFetch, PeersCarryOnWithoutTheOrigin)
{
    Fleet fleet({.regions = regions(8, 4)});
    fleet.want("1");
    fleet.start(0);
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.agents[0]->service->holdsAll(fleet.store->rootOf("1")); }));
    fleet.store->setFault(Fakes::StoreFault::Down);
    for (size_t i = 1; i < fleet.agents.size(); ++i) {
        fleet.start(i);
    }
    EXPECT_TRUE(fleet.waitFor([&] { return fleet.allHold("1"); }));
}

// Guards against weights other than those that the configuration pins by their root.
TEST(WeightFetch, WrongManifestIsRefused)
{
    Fleet fleet({.regions = regions(2, 0)});
    fleet.want("1", "", std::string(64, 'a'));
    fleet.startAll();
    ASSERT_TRUE(fleet.waitFor([&] { return fleet.metric("catkinlink_weights_manifests_refused_total") >= 2; }));
    EXPECT_FALSE(fleet.agents[0]->service->holdsAll(std::string(64, 'a')));
    EXPECT_EQ(fleet.metric("catkinlink_weights_chunks_held"), 0);
}

} // namespace
