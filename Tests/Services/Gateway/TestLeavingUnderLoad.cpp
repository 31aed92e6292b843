#include "LeavingSite.h"
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

struct LeavingLoadCase {
    const char *name;
    RouteKind kind;
    /// Calls per second that the upstream that leaves and the other one name; 0 for none.
    std::array<double, 2> limits;
    /// Requests that the other upstream must get while the calls still wait.
    size_t furtherRequests;
};

class LeavingLoadTest : public testing::TestWithParam<LeavingLoadCase>
{
};

// Guards against an upstream that gets calls after its notice because far more calls wait than the others can take, or because the limits of the upstreams
// leave nothing else; and against calls that get no answer then.
TEST_P(LeavingLoadTest, GetsNothingAtFourTimesTheLoad)
{
    constexpr AK::Milliseconds duration = 60;
    constexpr double slotsPerUpstream = 4;
    constexpr double perSecond = 1'000 * slotsPerUpstream / static_cast<double>(duration);
    constexpr double load = 4 * 2 * perSecond;
    constexpr AK::Milliseconds longestSpan = 6'000;
    constexpr size_t leavesAt = 12;
    LeavingSite site({200, {}, false, duration}, GetParam().kind, leavesAt, GetParam().limits);
    LibFiber::Loop &loop = site.site.loop;
    const AK::Milliseconds startedAt = loop.clock().now();
    bool quiet = false;
    size_t arrivedBefore = 0;
    size_t othersBefore = 0;
    const auto others = [&] {
        return site.site.upstreams[1]->requests.size() - othersBefore;
    };
    while ((!quiet || others() < GetParam().furtherRequests) && loop.clock().now() < startedAt + longestSpan) {
        const double due = load * static_cast<double>(loop.clock().now() - startedAt) / 1'000;
        while (site.calls < due) {
            site.startCall();
        }
        loop.sleep(loop.rootScope(), 2);
        if (!quiet && site.isQuiet()) {
            quiet = true;
            arrivedBefore = site.requestsOfLeaving();
            othersBefore = site.site.upstreams[1]->requests.size();
            EXPECT_GT(site.site.dispatcher.waitingCalls(), 0U) << "the queue is not empty when the upstream leaves";
        }
    }
    ASSERT_TRUE(quiet) << "requests go on to arrive at the upstream that leaves";
    EXPECT_GE(others(), GetParam().furtherRequests) << "the other upstream goes on to serve";
    site.wait([&] { return site.ended == site.calls; });
    EXPECT_EQ(site.requestsOfLeaving(), arrivedBefore);
    EXPECT_EQ(site.ended, site.calls);
}

INSTANTIATE_TEST_SUITE_P(Table, LeavingLoadTest,
                         testing::Values(LeavingLoadCase{"idempotent", RouteKind::Idempotent, {0, 0}, 60},
                                         LeavingLoadCase{"at_most_once", RouteKind::AtMostOnce, {0, 0}, 60},
                                         LeavingLoadCase{"streams", RouteKind::Stream, {0, 0}, 60},
                                         LeavingLoadCase{"with_a_limit_of_its_own", RouteKind::Idempotent, {40, 0}, 60},
                                         LeavingLoadCase{"beside_a_limit_of_the_other", RouteKind::Idempotent, {0, 20}, 12},
                                         LeavingLoadCase{"beside_limits_of_both", RouteKind::AtMostOnce, {40, 20}, 12}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
