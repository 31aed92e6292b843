#include "LeavingSite.h"
#include "SlotSite.h"
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

struct LeavingCase {
    const char *name;
    RouteKind kind;
    LeavingSite::Response response;
};

class LeavingTest : public testing::TestWithParam<LeavingCase>
{
};

// Guards against an upstream that says that it is leaving and gets further calls while its registration still says that it is ready.
TEST_P(LeavingTest, GetsNothingNewAndFinishes)
{
    constexpr int further = 12;
    LeavingSite site(GetParam().response, GetParam().kind);
    site.callUntilLeaving();
    const size_t before = site.requestsOfLeaving();
    for (int i = 0; i < further; ++i) {
        site.startCall();
    }
    site.wait([&] { return site.ended == site.calls; });
    EXPECT_EQ(site.requestsOfLeaving(), before);
    EXPECT_EQ(site.served, site.calls) << "a call at work ends untouched, all others are served by the second upstream";
}

INSTANTIATE_TEST_SUITE_P(Table, LeavingTest,
                         testing::Values(LeavingCase{"answer", RouteKind::Idempotent, {200, {}}}, LeavingCase{"at_most_once", RouteKind::AtMostOnce, {200, {}}},
                                         LeavingCase{"stream_at_its_head", RouteKind::Stream, {200, {}, true}},
                                         LeavingCase{"failure", RouteKind::Idempotent, {500, {}}},
                                         LeavingCase{"refusal", RouteKind::AtMostOnce, {503, {{"X-Not-Executed", "1"}}}},
                                         LeavingCase{"misdirected", RouteKind::AtMostOnce, {421, {}}},
                                         LeavingCase{"beside_a_rate_limit", RouteKind::Idempotent, {200, {{"Server-Limit", "50"}}}}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against calls that wait in a full queue and are given a slot of an upstream that has said that it is leaving.
TEST(Leaving, HoldsForCallsInTheQueue)
{
    constexpr int load = 48;
    constexpr AK::Milliseconds duration = 60;
    LeavingSite site({200, {}, false, duration}, RouteKind::Idempotent, 3);
    for (int i = 0; i < load; ++i) {
        site.startCall();
    }
    site.wait([&] { return site.isQuiet(); });
    ASSERT_TRUE(site.isQuiet());
    EXPECT_GT(site.site.dispatcher.waitingCalls(), 0U) << "the queue is not empty when the upstream leaves";
    const size_t before = site.requestsOfLeaving();
    site.wait([&] { return site.ended == site.calls; });
    EXPECT_EQ(site.requestsOfLeaving(), before);
    EXPECT_EQ(site.ended, site.calls);
}

struct LeavingNewsCase {
    const char *name;
    /// Time from the response until the other entry starts.
    AK::Milliseconds startsAfter;
    LibFleet::UpstreamState registered;
    bool told;
};

class LeavingNewsTest : public testing::TestWithParam<LeavingNewsCase>
{
};

// Guards against an entry that starts, or whose list is out of date, and must be told by the upstream again; and against news that are sent without end.
TEST_P(LeavingNewsTest, ReachesOtherEntries)
{
    SlotSite site;
    LibFleet::UpstreamRecord record = engineRecord("i-2", "cusco-1", 2);
    record.startTime = LeavingSite::firstStart;
    site.fleet.setUpstreams({{"i-2", record}});
    LibGateway::ResponseInfo response;
    response.leaving = true;
    site.first.recordResponse(record, response, 0);
    site.loop.sleep(site.loop.rootScope(), GetParam().startsAfter);
    record.state = GetParam().registered;
    site.fleet.setUpstreams({{"i-2", record}});
    LibPeers::NodeState state;
    site.first.addUpstreamNews(state);
    EXPECT_EQ(!state.leavingUpstreams.empty(), GetParam().told);
    site.second.adoptUpstreamNews(state);
    EXPECT_EQ(upstreamOf(site.acquire(site.second, site.requirements())), "");
    LibPeers::NodeState passedOn;
    site.second.addUpstreamNews(passedOn);
    EXPECT_EQ(passedOn.leavingUpstreams.size(), state.leavingUpstreams.size());
    // The successor is free at the entry that was told, too.
    record.startTime = LeavingSite::firstStart + 1;
    record.state = LibFleet::UpstreamState::Ready;
    site.fleet.setUpstreams({{"i-2", record}});
    EXPECT_EQ(upstreamOf(site.acquire(site.second, site.requirements())), "i-2");
}

INSTANTIATE_TEST_SUITE_P(Table, LeavingNewsTest,
                         testing::Values(LeavingNewsCase{"at_once", 0, LibFleet::UpstreamState::Ready, true},
                                         LeavingNewsCase{"at_once_with_a_newer_list", 0, LibFleet::UpstreamState::Draining, true},
                                         LeavingNewsCase{"late_while_called_ready", 2'100, LibFleet::UpstreamState::Ready, true},
                                         LeavingNewsCase{"late_with_a_newer_list", 2'100, LibFleet::UpstreamState::Draining, false}),
                         [](const auto &info) { return std::string(info.param.name); });

struct RegistrationCase {
    const char *name;
    std::function<void(LibFleet::UpstreamRecord &)> change;
    bool getsCalls;
};

class LeavingRegistrationTest : public testing::TestWithParam<RegistrationCase>
{
};

// Guards against a registration that brings back an upstream which has said that it is leaving, and against one that keeps its successor without calls.
TEST_P(LeavingRegistrationTest, DecidesWhichIncarnationIsFree)
{
    constexpr int further = 12;
    LeavingSite site({200, {}}, RouteKind::Idempotent);
    site.callUntilLeaving();
    site.changeUpstream(GetParam().change);
    const size_t before = site.requestsOfLeaving();
    for (int i = 0; i < further; ++i) {
        site.startCall();
    }
    site.wait([&] { return site.ended == site.calls; });
    EXPECT_EQ(site.requestsOfLeaving() > before, GetParam().getsCalls);
    EXPECT_EQ(site.served, site.calls);
}

INSTANTIATE_TEST_SUITE_P(Table, LeavingRegistrationTest,
                         testing::Values(RegistrationCase{"written_again", [](auto &record) { record.weightsVersion = 9; }, false},
                                         RegistrationCase{"of_an_earlier_start", [](auto &record) { record.startTime = LeavingSite::firstStart - 1; }, false},
                                         RegistrationCase{"restarted_under_its_id", [](auto &record) { record.startTime = LeavingSite::firstStart + 1; }, true},
                                         RegistrationCase{"address_used_again",
                                                          [](auto &record) {
                                                              record.id = "i-9";
                                                              record.startTime = LeavingSite::firstStart + 1;
                                                          },
                                                          true}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
