#include "OriginReplay.h"

#include <WeightAgent/VersionChoice.h>
#include <gtest/gtest.h>
#include <set>

namespace
{

using namespace WeightAgent;
using namespace OriginReplayTest;

struct ScheduledScopeCase {
    const char *name;
    ScheduledPosition position;
    FetchScope scope;
};

class ScheduledScopeTest : public testing::TestWithParam<ScheduledScopeCase>
{
};

// Guards against chunks that are read from the origin more than once, and against a chunk that waits for its failed reader while others arrive.
TEST_P(ScheduledScopeTest, DependsOnTheChunk)
{
    EXPECT_EQ(scheduledScope(GetParam().position), GetParam().scope);
}

INSTANTIATE_TEST_SUITE_P(Table, ScheduledScopeTest,
                         testing::Values(ScheduledScopeCase{"own", {true, 0, -400, false, false}, FetchScope::Origin},
                                         ScheduledScopeCase{"own_but_offered", {true, 0, -400, true, false}, FetchScope::AnyRegion},
                                         ScheduledScopeCase{"second_in_time", {true, 1, -1, false, false}, FetchScope::SameRegion},
                                         ScheduledScopeCase{"second_overdue", {true, 1, 0, false, false}, FetchScope::Origin},
                                         ScheduledScopeCase{"second_overdue_but_offered", {true, 1, 0, true, false}, FetchScope::AnyRegion},
                                         ScheduledScopeCase{"offered_in_vain", {true, 1, 2'000, true, false}, FetchScope::Origin},
                                         ScheduledScopeCase{"third_overdue", {true, 2, 199, false, false}, FetchScope::AnyRegion},
                                         ScheduledScopeCase{"lane_taken_over", {true, 5, -1, false, true}, FetchScope::Origin},
                                         ScheduledScopeCase{"first_elsewhere", {false, 0, -1, false, false}, FetchScope::AnyRegion},
                                         ScheduledScopeCase{"second_elsewhere", {false, 1, 199, false, false}, FetchScope::SameRegion},
                                         ScheduledScopeCase{"elsewhere_overdue", {false, 1, 200, false, false}, FetchScope::AnyRegion},
                                         ScheduledScopeCase{"elsewhere_long_overdue", {false, 0, 1'800, false, false}, FetchScope::Origin}),
                         [](const auto &info) { return info.param.name; });

struct ScheduledConcurrencyCase {
    const char *name;
    size_t agents;
    int limit;
    OriginLink link;
    size_t readers;
    size_t readsPerReader;
};

class ScheduledConcurrencyTest : public testing::TestWithParam<ScheduledConcurrencyCase>
{
};

// Guards against reads of all agents at once, of which none ends early, and against too few of them for the origin's link.
TEST_P(ScheduledConcurrencyTest, FillsTheOriginsLink)
{
    const OriginConcurrency concurrency = scheduledConcurrency(GetParam().agents, GetParam().limit, GetParam().link);
    EXPECT_EQ(concurrency.readers, GetParam().readers);
    EXPECT_EQ(concurrency.readsPerReader, GetParam().readsPerReader);
}

INSTANTIATE_TEST_SUITE_P(Table, ScheduledConcurrencyTest,
                         testing::Values(ScheduledConcurrencyCase{"large_site", 80, 0, replayLink, 4, 1},
                                         ScheduledConcurrencyCase{"one", 1, 0, replayLink, 1, 2},
                                         ScheduledConcurrencyCase{"connection_limit", 40, 6, replayLink, 2, 1},
                                         ScheduledConcurrencyCase{"fast_agents", 40, 0, {9.9, 1'000, 32'768}, 2, 1},
                                         ScheduledConcurrencyCase{"fast_origin", 12, 0, {100, 7.6, 32'768}, 12, 2}),
                         [](const auto &info) { return info.param.name; });

// Guards against a chunk without a reader, and against one agent that takes over the chunks of all readers of a failure domain.
TEST(LaneRank, GivesEachRankToOneAgent)
{
    for (size_t chunk = 0; chunk < replayChunks; ++chunk) {
        std::set<size_t> ranks;
        for (size_t position = 0; position < 10; ++position) {
            ranks.insert(laneRank(position, 10, chunk, 4));
        }
        EXPECT_EQ(ranks.size(), 10U);
        EXPECT_EQ(*ranks.rbegin(), 9U);
        EXPECT_EQ(laneRank(chunk % 4, 10, chunk, 4), 0U);
        EXPECT_EQ(laneRank(4 + chunk % 4, 10, chunk, 4), 4U);
    }
}

// Guards against the second read of chunks that are late because the origin is slow, and of all chunks of a reader while its successor delivers them.
TEST(ReadPlan, IsMovedByTheFrontAndByProgressInTheLane)
{
    ReadPlan plan = startPlan({true, false, false, false, false, false}, 100, 2, 1'000);
    EXPECT_EQ(overdueTime(plan, 1, 1'500), 0);
    EXPECT_EQ(overdueTime(plan, 3, 1'500), -200);
    noteSeen(plan, {true, false, false, true, false, false}, 2'000);
    EXPECT_EQ(plan.startAt, 1'700);
    EXPECT_EQ(overdueTime(plan, 2, 2'300), 0);
    EXPECT_EQ(overdueTime(plan, 1, 2'400), 0) << "the lane of chunk 3 has made progress";
    noteTakenOver(plan, 1, 2'450);
    EXPECT_TRUE(isTakenOver(plan, 5));
    EXPECT_EQ(plan.startAt, 1'700);
    AK::Random random(1);
    EXPECT_EQ(chooseRead(plan, {false, false, true, false, true, false}, true, 2'450, random), 2U);
    noteSeen(plan, {true, true, false, true, false, true}, 2'500);
    EXPECT_FALSE(isTakenOver(plan, 5)) << "another agent delivers";
}

struct VersionCase {
    const char *name;
    std::vector<VersionOutlook> targets;
    bool originReachable;
    int64_t version;
};

class VersionByRatesTest : public testing::TestWithParam<VersionCase>
{
};

// Guards against agents that go on with a version whose missing chunks nobody has, and against giving up one that the fleet holds for one that it cannot get.
TEST_P(VersionByRatesTest, ChoosesWhatCanBeCompleteInTime)
{
    EXPECT_EQ(chooseVersionByRates(GetParam().targets, replayLink, GetParam().originReachable), GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(Table, VersionByRatesTest,
                         testing::Values(VersionCase{"none", {}, true, 0}, VersionCase{"one", {{2, 7'000, 64, 0, 0}}, true, 2},
                                         VersionCase{"complete", {{2, 7'000, 64, 64, 0}}, true, 0},
                                         VersionCase{"older_begun_lately", {{2, 6'500, 64, 5, 5}, {3, 7'000, 64, 0, 0}}, true, 3},
                                         VersionCase{"older_mostly_here", {{2, 6'000, 64, 40, 24}, {3, 8'000, 64, 0, 0}}, true, 2},
                                         VersionCase{"older_offered_while_away", {{2, 3'000, 64, 40, 24}, {3, 5'000, 64, 10, 0}}, false, 2},
                                         VersionCase{"older_not_offered_while_away", {{2, 3'000, 64, 40, 17}, {3, 5'000, 64, 10, 0}}, false, 3},
                                         VersionCase{"older_too_late", {{2, 500, 64, 40, 24}, {3, 5'000, 64, 0, 0}}, true, 3},
                                         VersionCase{"third_named", {{2, 600, 64, 40, 24}, {3, 3'500, 64, 40, 24}, {4, 5'500, 64, 0, 0}}, true, 3}),
                         [](const auto &info) { return info.param.name; });

// Guards against an agent that never asks again for the chunks of a version while the origin is away.
TEST(AssumedOffers, AreCompleteWhenUnknownAndTheOriginIsAway)
{
    EXPECT_EQ(assumedOffers({}, 20, true, 5'000), 0U);
    EXPECT_EQ(assumedOffers({}, 20, false, 5'000), 20U);
    EXPECT_EQ(assumedOffers({7, 4'000}, 20, false, 5'000), 7U);
    EXPECT_EQ(assumedOffers({7, 3'000}, 20, false, 5'000), 20U);
}

class ReplayTest : public testing::TestWithParam<Replay>
{
};

// Guards against versions that are not complete anywhere before the origin is away, and against agents that all read everything once it is back: with the rule
// for origins without a known rate both happens.
TEST_P(ReplayTest, SendsEachChunkOnceAndInTime)
{
    const Replay &plan = GetParam();
    const auto linkTime = static_cast<AK::Milliseconds>(chunkLinkTime(replayLink) * replayChunks);
    const bool interrupted = plan.awayFrom < linkTime;
    const AK::Milliseconds latest =
        (interrupted ? plan.awayUntil - plan.awayFrom : 0) + linkTime * 115 / 100 + (interrupted || plan.hungReaders > 1 ? 1'000 : 0);
    const double mostCopies = interrupted && plan.hungReaders > 0 ? 1.3 : interrupted || plan.hungReaders > 0 ? 1.15 : 1.1;
    const Outcome scheduled = replay(plan, Rule::Scheduled);
    EXPECT_LE(scheduled.wholeCopyAt, latest);
    EXPECT_LE(scheduled.copiesSent, mostCopies);
    EXPECT_LT(scheduled.lastAgentAt, latest + 5'000);
    const Outcome before = replay(plan, Rule::Unscheduled);
    EXPECT_TRUE(before.wholeCopyAt > latest || before.copiesSent > mostCopies) << before.wholeCopyAt << " ms, " << before.copiesSent << " copies";
    RecordProperty("copies", std::to_string(scheduled.copiesSent) + ", before " + std::to_string(before.copiesSent));
    RecordProperty("whole_ms", std::to_string(scheduled.wholeCopyAt) + ", before " + std::to_string(before.wholeCopyAt));
}

INSTANTIATE_TEST_SUITE_P(Away, ReplayTest,
                         testing::Values(Replay{45, 2'500, 8'500}, Replay{68, 2'500, 8'500}, Replay{98, 2'500, 8'500}, Replay{240, 2'500, 8'500},
                                         Replay{12, 500, 6'500}, Replay{45, 500, 6'500}, Replay{68, 500, 6'500}, Replay{98, 500, 6'500},
                                         Replay{240, 500, 6'500}),
                         [](const auto &info) { return "Hosts" + std::to_string(info.param.hosts) + "After" + std::to_string(info.param.awayFrom); });

INSTANTIATE_TEST_SUITE_P(Hung, ReplayTest, testing::Values(Replay{45, 20'000, 20'000, 1}, Replay{45, 20'000, 20'000, 4}, Replay{45, 500, 6'500, 2}),
                         [](const auto &info) { return "Readers" + std::to_string(info.param.hungReaders); });

// Guards against all agents of a site that connect to an origin at the moment of its return.
TEST(ProbeInterval, GrowsWithTheRank)
{
    EXPECT_EQ(probeInterval(0, 4), 150);
    EXPECT_EQ(probeInterval(1, 0), 150);
    EXPECT_EQ(probeInterval(2, 0), 450);
    EXPECT_EQ(probeInterval(3, 4), 300);
    EXPECT_EQ(probeInterval(4, 4), 750);
    EXPECT_EQ(probeInterval(200, 4), 3'000);
}

} // namespace
