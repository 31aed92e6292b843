#include <LibFleet/FleetState.h>
#include <LibFleet/ObjectFeed.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibFleet;

class SetClock final : public AK::Clock
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

// Guards against a call that runs at the service of a shorter or foreign prefix.
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

// Guards against a configuration that is replaced by an older one that arrives late.
TEST(FleetState, ConfigurationNeverGoesBack)
{
    const SetClock clock;
    FleetState state(clock);
    for (const int64_t version : {3, 7, 5}) {
        Configuration configuration;
        configuration.version = version;
        state.setConfiguration(configuration);
    }
    EXPECT_EQ(state.configuration()->version, 7);
}

// Guards against a newer version that restarts the time of the one before (VERSION broken on scale-1: version 1 used 8.06 s after version 2 was named).
TEST(FleetState, EachNamedVersionKeepsItsTime)
{
    const SetClock clock;
    FleetState state(clock);
    state.setWeightsTargets({{"m", 1}}, 5'000);
    clock.time += 2'000;
    state.setWeightsTargets({{"m", 2}}, 5'000);
    clock.time += 1'000;
    state.setWeightsTargets({{"m", 2}, {"n", 1}}, 5'000);
    const auto &targets = state.weightsTargets("m");
    ASSERT_EQ(targets.size(), 2U);
    EXPECT_EQ(clock.time - targets[0].learnedAt, 8'000) << "found at start: taken as 5 s old";
    EXPECT_EQ(clock.time - targets[1].learnedAt, 1'000);
    EXPECT_EQ(state.weightsTarget("m").version, 2);
}

// Guards against revisions that go back, and changes applied to objects that have moved on.
TEST(ObjectSnapshot, OnlyMovesForward)
{
    ObjectSnapshot snapshot;
    EXPECT_TRUE(snapshot.replace({10, {{"a", "1", false}, {"b", "1", false}}}));
    EXPECT_FALSE(snapshot.replace({9, {{"a", "0", false}}}));
    EXPECT_FALSE(snapshot.apply({12, {{"a", "2", false}}}, 9)) << "another process delivered newer objects meanwhile";
    EXPECT_TRUE(snapshot.apply({11, {{"a", "2", false}, {"b", "", true}}}, 10));
    EXPECT_EQ(snapshot.specs, (std::map<std::string, std::string>{{"a", "2"}}));
    EXPECT_TRUE(snapshot.apply({15, {}}, 11));
    EXPECT_EQ(snapshot.revision, 15);
    EXPECT_EQ(snapshot.changedAt, 11) << "a watch without events changes nothing";
    EXPECT_TRUE(snapshot.replace({16, {{"a", "2", false}}}));
    EXPECT_EQ(snapshot.changedAt, 11) << "the same objects listed anew change nothing";
}

struct LapseCase {
    const char *name;
    bool outage;
    AK::Milliseconds afterReturn;
    bool kept;
};

class LapsedEntriesTest : public testing::TestWithParam<LapseCase>
{
};

// Guards against giving up every upstream because leases ran out while the store was away, and against keeping one that really left.
TEST_P(LapsedEntriesTest, KeepsVanishedUpstreamsOnlyAroundAnOutage)
{
    LapsedEntries lapsed;
    if (GetParam().outage) {
        lapsed.storeLost(1'000);
        lapsed.storeReturned(5'000);
    }
    AK::Milliseconds expiresAt = 0;
    const auto merged = lapsed.merge({{"a", "1"}, {"b", "1"}}, {{"b", "2"}}, 5'000 + GetParam().afterReturn, expiresAt);
    EXPECT_EQ(merged.contains("a"), GetParam().kept);
    EXPECT_EQ(merged.at("b"), "2");
    EXPECT_EQ(expiresAt, GetParam().kept ? 5'000 + lapsedEntryGrace : 0);
}

INSTANTIATE_TEST_SUITE_P(Table, LapsedEntriesTest,
                         testing::Values(LapseCase{"no_outage", false, 100, false}, LapseCase{"just_back", true, 100, true},
                                         LapseCase{"grace_over", true, lapsedEntryGrace, false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
