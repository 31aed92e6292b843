#include "PauseSite.h"
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

struct PauseCase {
    const char *name;
    RouteKind kind;
    std::vector<std::string> seconds;
    /// The refusals say that the call has not run.
    bool notRun;
    AK::Milliseconds duration;
};

class PausedUpstreamTest : public testing::TestWithParam<PauseCase>
{
};

// Guards against an upstream that has asked for a pause and gets more calls meanwhile, and against calls that fail although another upstream could take them.
TEST_P(PausedUpstreamTest, GetsHardlyAnyCalls)
{
    constexpr int onTheirWay = 50;
    constexpr AK::Milliseconds span = 2'600;
    PauseSite site(GetParam().seconds, GetParam().kind, GetParam().notRun, GetParam().duration);
    site.callFor(span, onTheirWay);
    for (size_t index = 0; index < GetParam().seconds.size(); ++index) {
        ASSERT_FALSE(site.arrivals[index].empty());
        if (!GetParam().seconds[index].empty()) {
            EXPECT_LE(site.mostInPause(index), PauseSite::allowedInPause) << "upstream " << index;
        }
    }
    EXPECT_GE(site.served, site.calls * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(Table, PausedUpstreamTest,
                         testing::Values(PauseCase{"one_of_two", RouteKind::AtMostOnce, {"1.5", ""}, true, 0},
                                         PauseCase{"fraction", RouteKind::Idempotent, {"0.9", ""}, true, 0},
                                         PauseCase{"streams", RouteKind::Stream, {"1.5", ""}, true, 0},
                                         PauseCase{"two_of_three", RouteKind::AtMostOnce, {"1.5", "2.2", ""}, true, 0},
                                         PauseCase{"without_statement_about_the_call", RouteKind::Idempotent, {"1.5", ""}, false, 0},
                                         PauseCase{"full_queue", RouteKind::Idempotent, {"1.5", ""}, true, 25}),
                         [](const auto &info) { return std::string(info.param.name); });

struct SeveralPausesCase {
    const char *name;
    /// What the upstream asks for in its first refusals, and from then on.
    std::vector<std::string> first;
    std::string later;
    /// Time that a call takes until it is refused; calls that are at the upstream together are refused together.
    AK::Milliseconds duration;
};

class SeveralPausesTest : public testing::TestWithParam<SeveralPausesCase>
{
};

// Guards against a second pause that replaces the first one although it ends earlier, and against one that is not recorded because another is known.
TEST_P(SeveralPausesTest, AreAllKept)
{
    constexpr int onTheirWay = 50;
    constexpr AK::Milliseconds span = 2'600;
    PauseSite site({GetParam().later, ""}, RouteKind::Idempotent, true, GetParam().duration);
    site.firstPauses = GetParam().first;
    site.callFor(span, onTheirWay);
    ASSERT_GE(site.refusals[0].size(), GetParam().first.size());
    EXPECT_LE(site.mostInPause(0), PauseSite::allowedInPause);
    EXPECT_GE(site.served, site.calls * 9 / 10);
}

INSTANTIATE_TEST_SUITE_P(Table, SeveralPausesTest,
                         testing::Values(SeveralPausesCase{"longer_then_shorter", {"2", "0.6", "0.1"}, "0.6", 25},
                                         SeveralPausesCase{"shorter_then_longer", {"0.6", "2"}, "0.6", 25},
                                         SeveralPausesCase{"longer_between_shorter_ones", {"0.1", "2", "0.2"}, "0.6", 25},
                                         SeveralPausesCase{"longer_after_the_end_of_a_shorter_one", {"0.2", "0.2", "0.2", "0.2"}, "1.4", 0},
                                         SeveralPausesCase{"zero_after_a_longer_one", {"2", "0", "0"}, "0.6", 25}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against calls that wait until their deadline while all upstreams are paused, and against clients that return during the pause.
TEST(Pause, OfAllUpstreamsIsARefusalAtOnce)
{
    constexpr AK::Milliseconds quick = 150;
    PauseSite site({"3", "4"}, RouteKind::AtMostOnce);
    site.startCalls(4);
    site.waitForAll();
    const AK::Milliseconds startedAt = site.site.loop.clock().now();
    const ClientResponse response = site.site.call();
    const AK::Milliseconds endedAt = site.site.loop.clock().now();
    EXPECT_EQ(response.status, 503);
    EXPECT_LE(endedAt - startedAt, quick);
    const std::string *retryAfter = LibHttpStream::findHeader(response.headers, "Retry-After");
    ASSERT_NE(retryAfter, nullptr);
    const auto returnsAt = endedAt + static_cast<AK::Milliseconds>(std::stod(*retryAfter) * PauseSite::millisecondsPerSecond);
    EXPECT_GE(returnsAt, site.refusals[0].back().at + 3 * PauseSite::millisecondsPerSecond - quick);
    EXPECT_LE(returnsAt, site.refusals[0].back().at + 5 * PauseSite::millisecondsPerSecond);
}

// Guards against calls that stay in the queue until their deadline when all upstreams are paused meanwhile.
TEST(Pause, OfAllUpstreamsEndsTheQueue)
{
    constexpr int load = 30;
    constexpr AK::Milliseconds duration = 60;
    constexpr AK::Milliseconds quick = 300;
    PauseSite site({"3"}, RouteKind::AtMostOnce, true, duration);
    const AK::Milliseconds startedAt = site.site.loop.clock().now();
    site.startCalls(load);
    site.waitForAll();
    EXPECT_EQ(site.ended, load);
    EXPECT_LE(site.site.loop.clock().now() - startedAt, duration + quick);
    EXPECT_LE(site.arrivals[0].size(), 4U) << "only the calls that were sent before the pause";
}

// Guards against pauses that count as failures: the upstream would be suspended after them.
TEST(Pause, IsNoFailure)
{
    PauseSite site({"0.1", ""}, RouteKind::Idempotent, false);
    for (int i = 0; i < 12; ++i) {
        site.startCalls(6);
        site.waitForAll();
    }
    ASSERT_GE(site.refusals[0].size(), 3U);
    site.refuses = false;
    const size_t before = site.arrivals[0].size();
    const AK::Milliseconds startedAt = site.site.loop.clock().now();
    while (site.arrivals[0].size() == before && site.site.loop.clock().now() < startedAt + PauseSite::callTimeout) {
        site.startCalls(6);
        site.waitForAll();
    }
    ASSERT_GT(site.arrivals[0].size(), before);
    EXPECT_LT(site.arrivals[0][before] - site.refusals[0].back().at, LibGateway::PlacementSettings().suspension);
    EXPECT_EQ(site.served, site.calls);
}

} // namespace
