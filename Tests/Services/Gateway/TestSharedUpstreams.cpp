#include <Clocks/SuspendedClock.h>
#include <Gateway/UpstreamTable.h>
#include <gtest/gtest.h>

namespace
{

struct SharedUpstreamCase {
    const char *name;
    std::optional<double> slowness;
    AK::Milliseconds age;
    bool isEngine;
    bool estimated;
};

class SharedUpstreamTest : public testing::TestWithParam<SharedUpstreamCase>
{
};

// Guards against another choice of upstreams for deployments whose upstreams send three figures, or have ceased to send the fourth, and for engines.
TEST_P(SharedUpstreamTest, IsEstimatedWhileItStatesItsSlowness)
{
    SuspendedClock clock;
    LibFleet::FleetState fleet(clock);
    LibFleet::UpstreamRecord record;
    record.id = "u";
    record.service = "s";
    record.isEngine = GetParam().isEngine;
    record.slots = 8;
    fleet.setUpstreams({{"u", record}});
    Gateway::UpstreamTable table(clock, fleet, {}, true);
    table.recordSend("s");
    table.recordResponseLoad(record, 5, 1, GetParam().slowness);
    clock.running += GetParam().age;
    const LibGateway::PlacementCandidate candidate = table.candidateOf(record);
    EXPECT_EQ(candidate.estimated, GetParam().estimated);
    EXPECT_EQ(candidate.load, GetParam().age == 0 ? 6 : 0);
}

INSTANTIATE_TEST_SUITE_P(Table, SharedUpstreamTest,
                         testing::Values(SharedUpstreamCase{"three_figures", std::nullopt, 0, false, false}, SharedUpstreamCase{"four", 1.0, 0, false, true},
                                         SharedUpstreamCase{"four_for_a_minute", 1.0, 60'000, false, true},
                                         SharedUpstreamCase{"four_long_ago", 1.0, 60'001, false, false}, SharedUpstreamCase{"engine", 1.0, 0, true, false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
