#include <LibGateway/Placement.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

struct SlownessCase {
    const char *name;
    std::optional<StatedSlowness> stated;
    /// Slowdown and age of the agent's report.
    std::optional<std::pair<double, AK::Milliseconds>> reported;
    double expected;
};

class SlownessTest : public testing::TestWithParam<SlownessCase>
{
};

// Guards against an upstream that is avoided for seconds after a slow period of its host, and against a report that hides a newer figure.
TEST_P(SlownessTest, FollowsTheNewerFigureAndDecays)
{
    UpstreamLoad load;
    load.slowness = GetParam().stated;
    if (GetParam().reported) {
        load.report = LibPeers::EngineReport{};
        load.report->slowdown = GetParam().reported->first;
        load.reportAt = 10'000 - GetParam().reported->second;
    }
    EXPECT_NEAR(slowness(load, 10'000, {}), GetParam().expected, 0.01);
}

INSTANTIATE_TEST_SUITE_P(Table, SlownessTest,
                         testing::Values(SlownessCase{"missing", std::nullopt, std::nullopt, 1},
                                         SlownessCase{"new", StatedSlowness{2.5, 10'000}, std::nullopt, 2.5},
                                         SlownessCase{"one_half_life", StatedSlowness{2.5, 9'700}, std::nullopt, 1.75},
                                         SlownessCase{"length_of_a_period", StatedSlowness{2.5, 9'400}, std::nullopt, 1.375},
                                         SlownessCase{"stuck_long_ago", StatedSlowness{2.5, 4'000}, std::nullopt, 1},
                                         SlownessCase{"fast", StatedSlowness{0.5, 9'700}, std::nullopt, 0.75},
                                         SlownessCase{"absurd", StatedSlowness{1'000, 8'800}, std::nullopt, 1.44},
                                         SlownessCase{"report_only", std::nullopt, std::pair(2.0, 100), 2},
                                         SlownessCase{"newer_report", StatedSlowness{2.5, 9'800}, std::pair(1.0, 100), 1},
                                         SlownessCase{"older_report", StatedSlowness{2.5, 10'000}, std::pair(1.0, 100), 2.5}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
