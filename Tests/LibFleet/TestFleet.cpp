#include <LibFleet/FleetState.h>
#include <LibFleet/ObjectFeed.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace
{

using namespace LibFleet;

class ManualClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->time;
    }
    AK::Milliseconds wallTime() const override
    {
        return this->time;
    }
    void sleep(AK::Milliseconds duration) const override
    {
        this->time += duration;
    }
    mutable AK::Milliseconds time = 100'000;
};

struct RouteCase {
    const char *name;
    std::string host;
    std::string path;
    std::string route;
};

class RouteTableTest : public testing::TestWithParam<RouteCase>
{
};

// Guards against a call that is routed by a shorter prefix or by a prefix of another host.
TEST_P(RouteTableTest, TakesTheLongestPrefixOfTheHost)
{
    Configuration configuration;
    for (const auto &[name, host, prefix] : {std::tuple("short", "a", "/x/"), std::tuple("long", "a", "/x/y/"), std::tuple("other", "b", "/x/y/z/")}) {
        Route route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        configuration.routes.push_back(route);
    }
    const RouteTable table(configuration);
    const Route *found = table.find(GetParam().host, GetParam().path);
    EXPECT_EQ(found == nullptr ? "" : found->name, GetParam().route);
}

INSTANTIATE_TEST_SUITE_P(Table, RouteTableTest,
                         testing::Values(RouteCase{"longest", "a", "/x/y/z/1", "long"}, RouteCase{"shorter", "a", "/x/1", "short"},
                                         RouteCase{"no_slash", "a", "/x", ""}, RouteCase{"half_name", "a", "/xy/1", ""},
                                         RouteCase{"unknown_host", "c", "/x/1", ""}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an older configuration that arrives late and replaces a newer one.
struct AddressCase {
    const char *name;
    /// Start times of two incarnations at one address, 0 for unknown.
    int64_t first;
    int64_t second;
    bool firstReplaced;
    bool secondReplaced;
};

class SharedAddressTest : public testing::TestWithParam<AddressCase>
{
};

// Guards against calls to an incarnation whose registration lasts although its host has been started again.
TEST_P(SharedAddressTest, LeavesTheLatestIncarnation)
{
    const AddressCase &row = GetParam();
    ManualClock clock;
    FleetState state(clock);
    std::map<std::string, UpstreamRecord> records;
    for (const auto &[id, start] : {std::pair("a", row.first), std::pair("b", row.second)}) {
        records[id].id = id;
        records[id].address = {"10.0.0.1", 80};
        records[id].startTime = start;
    }
    records["c"].address = {"10.0.0.2", 80};
    records["c"].startTime = 1;
    state.setUpstreams(records);
    EXPECT_EQ(state.upstreams().at("a").replaced, row.firstReplaced);
    EXPECT_EQ(state.upstreams().at("b").replaced, row.secondReplaced);
    EXPECT_FALSE(state.upstreams().at("c").replaced);
}

INSTANTIATE_TEST_SUITE_P(Table, SharedAddressTest,
                         testing::Values(AddressCase{"second_is_later", 5, 7, true, false}, AddressCase{"first_is_later", 7, 5, false, true},
                                         AddressCase{"started_together", 5, 5, false, false}, AddressCase{"one_unknown", 0, 7, false, false},
                                         AddressCase{"both_unknown", 0, 0, false, false}),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(FleetState, ConfigurationNeverGoesBack)
{
    const ManualClock clock;
    FleetState state(clock);
    for (const int64_t version : {3, 7, 5}) {
        Configuration configuration;
        configuration.version = version;
        state.setConfiguration(configuration);
    }
    EXPECT_EQ(state.configuration()->version, 7);
}

// Guards against a newer target that restarts the time limit of the previous one: version 1 was used 8.06 s after version 2 had been named.
TEST(FleetState, EachTargetKeepsItsLearnedTime)
{
    const ManualClock clock;
    FleetState state(clock);
    state.setWeightsTargets({{"m", 1}}, 5'000);
    clock.time += 2'000;
    state.setWeightsTargets({{"m", 2}}, 5'000);
    clock.time += 1'000;
    state.setWeightsTargets({{"m", 2}, {"n", 1}}, 5'000);
    const auto &targets = state.weightsTargets("m");
    ASSERT_EQ(targets.size(), 2U);
    EXPECT_EQ(clock.time - targets[0].learnedAt, 8'000) << "named before the start: assumed to be 5 s old";
    EXPECT_EQ(clock.time - targets[1].learnedAt, 1'000);
    EXPECT_EQ(state.weightsTarget("m").version, 2);
}

// Guards against older weights that a process which has been starting for a second uses for that second longer.
TEST(FleetState, AssumedAgeCountsFromTheStart)
{
    ManualClock clock;
    FleetState state(clock);
    clock.time += 1'200;
    state.setWeightsTargets({{"m", 2}}, 5'000);
    EXPECT_EQ(clock.time - state.weightsTargets("m").back().learnedAt, 6'200);
    clock.time += 100;
    state.setWeightsTargets({{"m", 3}}, 5'000);
    EXPECT_EQ(state.weightsTargets("m").back().learnedAt, clock.time) << "named while it runs";
}

// Guards against news without end: of what was named long ago, only the newest version matters.
TEST(FleetState, TellsOneOldTargetOfEachModel)
{
    constexpr AK::Milliseconds newsTime = 60'000;
    ManualClock clock;
    FleetState state(clock);
    state.setWeightsTargets({}, 0);
    std::vector<int64_t> told;
    for (const int64_t version : {1, 2, 3, 4}) {
        state.setWeightsTargets({{"m", version}}, 0);
        clock.time += version < 3 ? newsTime : 1'000;
    }
    for (const WeightsTargetAge &target : state.weightsTargetAges(newsTime)) {
        told.push_back(target.version);
    }
    EXPECT_EQ(told, (std::vector<int64_t>{4, 3, 2}));
}

struct TargetAgeCase {
    const char *name;
    /// Time in ms for which this process has known the target by its own clock; nothing when it was named before this process started.
    std::optional<AK::Milliseconds> known;
    WeightsTargetAge told;
    AK::Milliseconds age;
    /// What the process tells others of the target.
    bool tellsOthers;
    bool tellsAsAssumed = false;
};

class TargetAgeTest : public testing::TestWithParam<TargetAgeCase>
{
};

// Guards against calls that begin on older weights too late: an entry that stood still when new ones were named counted their age from the moment at which it
// learned of them.
TEST_P(TargetAgeTest, CountsFromTheProcessThatLearnedFirst)
{
    constexpr AK::Milliseconds assumedAge = 5'000;
    constexpr AK::Milliseconds newsTime = 60'000;
    const ManualClock clock;
    FleetState state(clock);
    if (GetParam().known) {
        state.setWeightsTargets({}, assumedAge);
    }
    state.setWeightsTargets({{"m", 2}}, assumedAge);
    clock.time += GetParam().known.value_or(0);
    state.adoptWeightsTarget(GetParam().told);
    EXPECT_EQ(clock.time - state.weightsTargets("m").back().learnedAt, GetParam().age);
    const std::vector<WeightsTargetAge> told = state.weightsTargetAges(newsTime);
    const auto target = std::find_if(told.begin(), told.end(), [](const WeightsTargetAge &other) { return other.model == "m" && other.version == 2; });
    ASSERT_EQ(target != told.end(), GetParam().tellsOthers);
    if (target != told.end()) {
        EXPECT_EQ(target->age, GetParam().age);
        EXPECT_EQ(target->assumed, GetParam().tellsAsAssumed);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, TargetAgeTest,
                         testing::Values(TargetAgeCase{"learned_late", 1'000, {"m", 2, 4'000}, 4'000, true},
                                         TargetAgeCase{"learned_first", 4'000, {"m", 2, 1'000}, 4'000, true},
                                         TargetAgeCase{"started_late", std::nullopt, {"m", 2, 1'000}, 1'000, true},
                                         TargetAgeCase{"nobody_knows", std::nullopt, {"m", 1, 9'000}, 5'000, true, true},
                                         TargetAgeCase{"assumed_by_both", std::nullopt, {"m", 2, 6'000, true}, 6'000, true, true},
                                         TargetAgeCase{"assumed_by_both_later", std::nullopt, {"m", 2, 1'000, true}, 5'000, true, true},
                                         TargetAgeCase{"assumed_by_the_other", 1'000, {"m", 2, 6'000, true}, 1'000, true},
                                         TargetAgeCase{"another_version", 1'000, {"m", 1, 4'000}, 1'000, true},
                                         TargetAgeCase{"another_model", 1'000, {"n", 2, 4'000}, 1'000, true},
                                         TargetAgeCase{"named_long_ago", 61'000, {"m", 2, 1'000}, 61'000, true}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against revisions that decrease, and against changes applied to objects of another revision.
TEST(ObjectSnapshot, OnlyMovesForward)
{
    ObjectSnapshot snapshot;
    EXPECT_TRUE(snapshot.replace({10, {{"a", "1", false}, {"b", "1", false}}}));
    EXPECT_FALSE(snapshot.replace({9, {{"a", "0", false}}}));
    EXPECT_FALSE(snapshot.apply({12, {{"a", "2", false}}}, 9)) << "another process delivered newer objects meanwhile";
    EXPECT_TRUE(snapshot.apply({11, {{"a", "2", false}, {"b", "", true}}}, 10));
    EXPECT_EQ(snapshot.specs, (std::map<std::string, std::string>{{"a", "2"}}));
    EXPECT_TRUE(snapshot.apply({15, {}}, 11));
    EXPECT_EQ(snapshot.position, 15);
    EXPECT_EQ(snapshot.changedAt, 11) << "a watch without events changes nothing";
    EXPECT_TRUE(snapshot.replace({16, {{"a", "2", false}}}));
    EXPECT_EQ(snapshot.changedAt, 11) << "listing the same objects again changes nothing";
}

struct LeaseCase {
    const char *name;
    /// Whether a call failed between two answers, and the time between these, in ms.
    bool failed;
    AK::Milliseconds silence;
    /// Time from the second answer.
    AK::Milliseconds afterAnswer;
    bool kept;
};

class ExpiredLeasesTest : public testing::TestWithParam<LeaseCase>
{
};

// Guards against removing every upstream because leases expired during a store outage, and against keeping one that has left: a watch that is cut is no outage,
// and a cut after an outage does not begin the grace anew.
TEST_P(ExpiredLeasesTest, KeepsMissingUpstreamsOnlyAfterAnOutage)
{
    constexpr AK::Milliseconds leaseRenewal = 1'200;
    ExpiredLeases expiredLeases(leaseRenewal);
    expiredLeases.callFailed();
    EXPECT_TRUE(expiredLeases.storeAnswered(1'000)) << "nothing is known of the time before";
    const AK::Milliseconds back = 10'000;
    EXPECT_FALSE(expiredLeases.storeAnswered(back - GetParam().silence));
    if (GetParam().failed) {
        expiredLeases.callFailed();
        EXPECT_TRUE(expiredLeases.awaitsAnswer());
    }
    EXPECT_EQ(expiredLeases.storeAnswered(back), GetParam().failed && GetParam().silence >= 2 * leaseRenewal);
    expiredLeases.callFailed();
    EXPECT_FALSE(expiredLeases.storeAnswered(back + 50));
    AK::Milliseconds expiresAt = 0;
    const auto merged = expiredLeases.merge({{"a", "1"}, {"b", "1"}}, {{"b", "2"}}, back + GetParam().afterAnswer, expiresAt);
    EXPECT_EQ(merged.contains("a"), GetParam().kept);
    EXPECT_EQ(merged.at("b"), "2");
    EXPECT_EQ(expiresAt, GetParam().kept ? back + expiredLeaseGrace : 0);
}

INSTANTIATE_TEST_SUITE_P(Table, ExpiredLeasesTest,
                         testing::Values(LeaseCase{"no_failure", false, 4'000, 100, false}, LeaseCase{"just_recovered", true, 4'000, 100, true},
                                         LeaseCase{"grace_over", true, 4'000, expiredLeaseGrace, false}, LeaseCase{"cut_watch", true, 2'399, 100, false},
                                         LeaseCase{"shortest_outage", true, 2'400, 100, true}),
                         [](const auto &info) { return std::string(info.param.name); });

struct AbsencesCase {
    const char *name;
    AK::Milliseconds firstAbsence;
    AK::Milliseconds between;
    AK::Milliseconds secondAbsence;
    bool outage;
};

class AbsencesTest : public testing::TestWithParam<AbsencesCase>
{
};

// Guards against removing every upstream after two short outages between which an upstream could not renew its lease.
TEST_P(AbsencesTest, CloseOnesCountAsOneOutage)
{
    ExpiredLeases expiredLeases(1'200);
    AK::Milliseconds now = 10'000;
    expiredLeases.storeAnswered(now);
    expiredLeases.callFailed();
    now += GetParam().firstAbsence;
    EXPECT_FALSE(expiredLeases.storeAnswered(now));
    now += GetParam().between;
    EXPECT_FALSE(expiredLeases.storeAnswered(now));
    expiredLeases.callFailed();
    now += GetParam().secondAbsence;
    EXPECT_EQ(expiredLeases.storeAnswered(now), GetParam().outage);
}

INSTANTIATE_TEST_SUITE_P(Table, AbsencesTest,
                         testing::Values(AbsencesCase{"close", 2'300, 300, 2'300, true}, AbsencesCase{"apart", 2'300, 1'200, 2'300, false},
                                         AbsencesCase{"cut_watches", 50, 300, 50, false}, AbsencesCase{"one_of_them_a_cut", 2'300, 300, 50, false}),
                         [](const auto &info) { return info.param.name; });

// Guards against a request whose sends go to different services, and against shares that differ from the weights.
TEST(ServiceFor, FollowsTheWeights)
{
    constexpr int requests = 4'000;
    LibFleet::Route route;
    route.services = {{"a", 3}, {"b", 0}, {"c", 1}};
    std::map<std::string, int> counts;
    for (int i = 0; i < requests; ++i) {
        const std::string id = "r" + std::to_string(i);
        const std::string &service = LibFleet::serviceFor(route, id);
        EXPECT_EQ(LibFleet::serviceFor(route, id), service);
        ++counts[service];
    }
    EXPECT_EQ(counts.count("b"), 0U);
    EXPECT_NEAR(counts["a"], requests * 0.75, requests * 0.03);
}

} // namespace
