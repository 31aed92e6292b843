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

struct OthersCase {
    const char *name;
    std::optional<double> atFigure;
    AK::Milliseconds age;
    double running;
    double sentSince;
};

class OthersTest : public testing::TestWithParam<OthersCase>
{
};

// Guards against an upstream that looks idle because its figure is old or missing, and against one that stays full by a figure whose calls have ended.
TEST_P(OthersTest, GoFromTheFigureToTheMean)
{
    const SharedEstimate others = estimateOthers({GetParam().atFigure, GetParam().age, 0.1, 60});
    EXPECT_NEAR(others.stillRunning, GetParam().running, 0.01);
    EXPECT_NEAR(others.sentSince, GetParam().sentSince, 0.01);
}

INSTANTIATE_TEST_SUITE_P(Table, OthersTest,
                         testing::Values(OthersCase{"new", 9, 0, 9, 0}, OthersCase{"one_service_time", 9, 60, 3.31, 3.79}, OthersCase{"old", 9, 1'000, 0, 6},
                                         OthersCase{"missing", std::nullopt, 0, 0, 6}, OthersCase{"own_calls_only", -2, 0, 0, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an entry that takes all upstreams for unused after its start, because the average has not seen its rate for long enough.
TEST(ServiceFlow, RateIsRightSoonAfterTheStart)
{
    ServiceFlow flow;
    for (AK::Milliseconds now = 50'000; now < 52'000; now += 20) {
        recordCall(flow, now, {});
    }
    EXPECT_NEAR(callsPerMs(flow, 52'000, {}), 0.05, 0.005);
    EXPECT_NEAR(othersPerMs(0.05, 13, 3), 0.2, 0.001);
    EXPECT_EQ(othersPerMs(0.05, 1, 3), 0);
}

// Guards against calls that cross regions because two random upstreams are elsewhere, and against an upstream that is full only by an estimate.
TEST(ChooseSharedUpstream, StaysInTheRegionAndFillsOnlyByKnownCalls)
{
    std::vector<PlacementCandidate> candidates(6);
    for (size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].limit = 4;
        candidates[i].sameRegion = i == 3;
        candidates[i].sentSince = 10;
        candidates[i].contention = 5;
    }
    for (uint64_t seed = 0; seed < 20; ++seed) {
        AK::Random random(seed);
        EXPECT_EQ(chooseSharedUpstream(candidates, {}, {}, random), 3U);
    }
    for (PlacementCandidate &candidate : candidates) {
        candidate.load = 4;
    }
    AK::Random random(1);
    EXPECT_EQ(chooseSharedUpstream(candidates, {}, {}, random), std::nullopt);
}

// Guards against an engine with few long answers that gets the next call because it has fewer calls.
TEST(ChooseUpstream, WeighsWork)
{
    ServiceFlow flow;
    EXPECT_EQ(expectedWork(flow, std::nullopt), 1);
    EXPECT_EQ(expectedWork(flow, 100), 1);
    EXPECT_NEAR(expectedWork(flow, 300), 2.9, 0.1);
    EXPECT_EQ(expectedWork(flow, 1'000'000'000), 4);
    PlacementCandidate longAnswers;
    longAnswers.load = 3;
    longAnswers.extraWork = 6;
    longAnswers.limit = 12;
    longAnswers.preferred = true;
    PlacementCandidate meanAnswers = longAnswers;
    meanAnswers.load = 5;
    meanAnswers.extraWork = 0;
    for (const bool weighs : {false, true}) {
        longAnswers.weighsWork = weighs;
        meanAnswers.weighsWork = weighs;
        AK::Random random(1);
        EXPECT_EQ(chooseUpstream({longAnswers, meanAnswers}, 10, false, {}, random), weighs ? 1U : 0U);
    }
}

} // namespace
