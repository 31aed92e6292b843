#include <Clocks/SuspendedClock.h>
#include <Gateway/UpstreamTable.h>
#include <gtest/gtest.h>

namespace
{

constexpr AK::Milliseconds switchDelay = 6'700;
constexpr AK::Milliseconds assumedAge = 4'700;
const std::string model = "m";

struct SupersededCase {
    const char *name;
    /// What other processes tell before and after this one has read the newest version, 3, from the store.
    std::vector<LibFleet::WeightsTargetAge> toldBefore;
    std::vector<LibFleet::WeightsTargetAge> toldAfter;
    /// Time in ms from then until calls must not begin on version 1 and on version 2 any more.
    AK::Milliseconds firstEndsAfter;
    AK::Milliseconds secondEndsAfter;
};

class SupersededWeightsTest : public testing::TestWithParam<SupersededCase>
{
};

// Guards against calls that begin on weights which a version replaced that another one has replaced since: the store lists the newest alone, and an entry that
// started in between counted the time of older weights from its naming.
TEST_P(SupersededWeightsTest, AreNotUsedForLongerByARestartedEntry)
{
    SuspendedClock clock;
    LibFleet::FleetState fleet(clock);
    LibFleet::Configuration configuration;
    configuration.version = 1;
    configuration.services["s"].engine = LibFleet::EngineSpec{};
    configuration.services["s"].engine->model = model;
    fleet.setConfiguration(configuration);
    Gateway::TableSettings settings;
    settings.weightsSwitchDelay = switchDelay;
    const Gateway::UpstreamTable table(clock, fleet, settings, false);
    for (const LibFleet::WeightsTargetAge &told : GetParam().toldBefore) {
        fleet.adoptWeightsTarget(told);
    }
    fleet.setWeightsTargets({{model, 3}}, assumedAge);
    for (const LibFleet::WeightsTargetAge &told : GetParam().toldAfter) {
        fleet.adoptWeightsTarget(told);
    }
    const AK::Milliseconds startedAt = clock.running;
    std::map<int64_t, AK::Milliseconds> endsAfter;
    for (; endsAfter.size() < 2 && clock.running - startedAt < switchDelay; clock.running += 1) {
        for (const int64_t version : {1, 2}) {
            if (!table.allowsWeights("s", version)) {
                endsAfter.emplace(version, clock.running - startedAt);
            }
        }
    }
    EXPECT_EQ(endsAfter[1], GetParam().firstEndsAfter);
    EXPECT_EQ(endsAfter[2], GetParam().secondEndsAfter);
    EXPECT_TRUE(table.allowsWeights("s", 3));
}

INSTANTIATE_TEST_SUITE_P(
    Table, SupersededWeightsTest,
    testing::Values(SupersededCase{"nobody_tells", {}, {}, 2'000, 2'000},
                    SupersededCase{"newest_first", {}, {{model, 3, 2'900}, {model, 2, 5'000}}, 1'700, 3'800},
                    SupersededCase{"newest_last", {}, {{model, 2, 5'000}, {model, 3, 2'900}}, 1'700, 3'800},
                    SupersededCase{"before_the_store", {{model, 2, 5'000}, {model, 3, 2'900}}, {}, 1'700, 3'800},
                    // The other process has started between the two namings.
                    SupersededCase{"assumed_by_the_other", {}, {{model, 3, 2'900}, {model, 2, 6'200, true}}, 500, 3'800},
                    SupersededCase{"sure_after_assumed", {}, {{model, 3, 2'900}, {model, 2, 6'200, true}, {model, 2, 5'000}}, 1'700, 3'800},
                    SupersededCase{"assumed_after_sure", {}, {{model, 3, 2'900}, {model, 2, 5'000}, {model, 2, 6'200, true}}, 1'700, 3'800},
                    // Of a version that the store doesn't list yet; it takes nothing away from the older ones.
                    SupersededCase{"newer_than_the_store", {}, {{model, 4, 100}}, 2'000, 2'000},
                    SupersededCase{"superseded_alone", {}, {{model, 2, 5'000}}, 1'700, 2'000}),
    [](const auto &info) { return std::string(info.param.name); });

struct OldNamingCase {
    const char *name;
    /// Age in ms of the first of two namings when another entry starts, and the limit for calls on the weights before it, in ms after the start.
    AK::Milliseconds firstAge;
    AK::Milliseconds limit;
};

class OldNamingTest : public testing::TestWithParam<OldNamingCase>
{
};

// Guards against weights before the last naming but one that are used again by an entry which starts: it is told of the newest naming, whose age replaces its
// own cautious assumption, and not of the one that has been in force for longer than the news last.
TEST_P(OldNamingTest, StaysInForceForAnEntryThatStarts)
{
    constexpr AK::Milliseconds newsTime = 60'000;
    constexpr AK::Milliseconds secondAge = 2'000;
    SuspendedClock clock;
    LibFleet::FleetState running(clock);
    running.setWeightsTargets({{model, 1}}, assumedAge);
    running.setWeightsTargets({{model, 2}}, assumedAge);
    clock.running += GetParam().firstAge - secondAge;
    running.setWeightsTargets({{model, 3}}, assumedAge);
    clock.running += secondAge;
    LibFleet::FleetState started(clock);
    LibFleet::Configuration configuration;
    configuration.version = 1;
    configuration.services["s"].engine = LibFleet::EngineSpec{};
    configuration.services["s"].engine->model = model;
    started.setConfiguration(configuration);
    Gateway::TableSettings settings;
    settings.weightsSwitchDelay = switchDelay;
    const Gateway::UpstreamTable table(clock, started, settings, false);
    started.setWeightsTargets({{model, 3}}, assumedAge);
    for (const LibFleet::WeightsTargetAge &told : running.weightsTargetAges(newsTime)) {
        started.adoptWeightsTarget(told);
    }
    clock.running += GetParam().limit;
    EXPECT_FALSE(table.allowsWeights("s", 1));
    EXPECT_TRUE(table.allowsWeights("s", 2));
}

INSTANTIATE_TEST_SUITE_P(Table, OldNamingTest, testing::Values(OldNamingCase{"recent", 30'000, 0}, OldNamingCase{"older_than_the_news", 61'000, 2'000}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
