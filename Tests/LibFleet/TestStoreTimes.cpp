#include <LibFleet/StoreTimes.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::ObjectKind;
using LibFleet::StoreTimes;

struct WaitCase {
    const char *name;
    ObjectKind kind;
    StoreTimes times;
    AK::Milliseconds wait;
};

class WatchWaitTest : public testing::TestWithParam<WaitCase>
{
};

// Guards against a watch that waits longer than a change on a silent connection may go unnoticed, and against more calls to the store than that needs.
TEST_P(WatchWaitTest, FollowsTheTimesOfTheDeployment)
{
    EXPECT_EQ(LibFleet::watchWait(GetParam().kind, GetParam().times), GetParam().wait);
}

INSTANTIATE_TEST_SUITE_P(Table, WatchWaitTest,
                         testing::Values(WaitCase{"configuration", ObjectKind::Configuration, {}, 2'000},
                                         WaitCase{"upstreams", ObjectKind::Upstreams, {}, 1'600}, WaitCase{"evacuations", ObjectKind::Evacuations, {}, 4'000},
                                         WaitCase{"weights_targets", ObjectKind::WeightsTargets, {}, 3'000},
                                         WaitCase{"entries", ObjectKind::Entries, {}, 10'000},
                                         WaitCase{"quarantined_parts", ObjectKind::QuarantinedParts, {}, 10'000},
                                         WaitCase{"slow_configuration", ObjectKind::Configuration, {.configurationChange = 6'000}, 5'000},
                                         WaitCase{"slow_recovery", ObjectKind::Configuration, {.channelRecovery = 5'000}, 4'000},
                                         WaitCase{"rare_renewal", ObjectKind::Upstreams, {.leaseRenewal = 10'000}, 2'000},
                                         WaitCase{"frequent_renewal", ObjectKind::Upstreams, {.leaseRenewal = 200}, 500},
                                         WaitCase{"no_time", ObjectKind::Evacuations, {.evacuation = 0, .channelRecovery = 0}, 500},
                                         WaitCase{"hours", ObjectKind::Evacuations, {.evacuation = 3'600'000}, 10'000}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
