#include <LibGateway/EventSplitter.h>
#include <LibGateway/Placement.h>
#include <LibGateway/RetryBudget.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

PlacementCandidate candidate(double load, double backlogMs, bool preferred)
{
    PlacementCandidate result;
    result.load = load;
    result.limit = 16;
    result.prefillBacklogMs = backlogMs;
    result.preferred = preferred;
    result.sameRegion = true;
    return result;
}

struct ChoiceCase {
    const char *name;
    std::vector<PlacementCandidate> candidates;
    double prefillMs;
    bool ignoreBacklog;
    std::optional<size_t> chosen;
};

class ChooseUpstreamTest : public testing::TestWithParam<ChoiceCase>
{
};

// Guards against prompts that an engine reads in the same pass (this caused stream gaps of 440 to 650 ms with 5 of 16 slots in use) and against engines with
// more calls than slots.
TEST_P(ChooseUpstreamTest, Chooses)
{
    for (uint64_t seed = 0; seed < 20; ++seed) {
        AK::Random random(seed);
        EXPECT_EQ(chooseUpstream(GetParam().candidates, GetParam().prefillMs, GetParam().ignoreBacklog, PlacementSettings{}, random), GetParam().chosen)
            << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, ChooseUpstreamTest,
                         testing::Values(ChoiceCase{"none", {}, 10, false, std::nullopt}, ChoiceCase{"full", {candidate(16, 0, true)}, 10, false, std::nullopt},
                                         ChoiceCase{"non_preferred_keeps_slots_free", {candidate(13, 0, false)}, 10, false, std::nullopt},
                                         ChoiceCase{"preferred_fills_all_slots", {candidate(15, 0, true)}, 10, false, 0},
                                         ChoiceCase{"less_backlog", {candidate(4, 100, true), candidate(6, 0, true)}, 20, false, 1},
                                         ChoiceCase{"backlog_with_own_prompt", {candidate(4, 100, true)}, 50, false, std::nullopt},
                                         ChoiceCase{"long_prompt_alone", {candidate(4, 0, true)}, 500, false, 0},
                                         ChoiceCase{"non_preferred_takes_no_long_prompt", {candidate(0, 0, false)}, 100, false, std::nullopt},
                                         ChoiceCase{"non_preferred_takes_short_prompt", {candidate(0, 0, false)}, 40, false, 0},
                                         ChoiceCase{"has_waited", {candidate(0, 0, false)}, 100, true, 0},
                                         ChoiceCase{"preferred_before_non_preferred", {candidate(4, 0, false), candidate(4, 0, true)}, 20, false, 1},
                                         ChoiceCase{"much_emptier_non_preferred", {candidate(0, 0, false), candidate(14, 0, true)}, 20, false, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a failing upstream that gets as many calls as a healthy one.
TEST(ChooseUpstream, AvoidsFailingUpstreams)
{
    PlacementCandidate failing = candidate(0, 0, true);
    failing.failureShare = 0.5;
    AK::Random random(1);
    EXPECT_EQ(chooseUpstream({failing, candidate(10, 0, true)}, 10, false, PlacementSettings{}, random), 1U);
}

// Guards against upstreams that no entry prefers, or that several entries prefer.
TEST(PreferredEntry, IsOneEntryOfTheSameDomain)
{
    const std::vector<LibFleet::EntryLocation> entries{{"e1", "lima"}, {"e2", "lima"}, {"e3", "cusco"}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i) {
        ++counts[preferredEntry("u" + std::to_string(i), "lima", entries)];
    }
    EXPECT_EQ(counts.size(), 2U);
    EXPECT_GT(counts["e1"], 60);
    EXPECT_GT(counts["e2"], 60);
    EXPECT_EQ(preferredEntry("u1", "cusco", entries), "e3");
    EXPECT_NE(preferredEntry("u1", "arequipa", entries), "");
    EXPECT_EQ(preferredEntry("u1", "lima", {}), "");
}

struct LoadCase {
    const char *name;
    int own;
    std::optional<uint32_t> reported;
    AK::Milliseconds reportAge;
    int ownInFlightAtReport;
    double load;
};

class EstimatedLoadTest : public testing::TestWithParam<LoadCase>
{
};

// Guards against counting the entry's own calls twice, and against using reports of an agent that has died.
TEST_P(EstimatedLoadTest, AddsTheCallsOfOthers)
{
    const LoadCase &row = GetParam();
    UpstreamLoad load;
    load.ownInFlight = row.own;
    load.ownInFlightAtReport = row.ownInFlightAtReport;
    load.reportAt = 10'000 - row.reportAge;
    load.responseAt = -10'000;
    if (row.reported) {
        load.report = LibPeers::EngineReport{};
        load.report->running = *row.reported;
    }
    EXPECT_EQ(estimatedLoad(load, 10'000, PlacementSettings{}), row.load);
}

INSTANTIATE_TEST_SUITE_P(Table, EstimatedLoadTest,
                         testing::Values(LoadCase{"own_only", 3, std::nullopt, 0, 0, 3}, LoadCase{"others", 3, 10, 100, 2, 11},
                                         LoadCase{"own_newer_than_report", 5, 2, 100, 3, 5}, LoadCase{"stale_report", 3, 10, 1'500, 2, 3}),
                         [](const auto &info) { return std::string(info.param.name); });

struct ColdRateCase {
    const char *name;
    double coldRate;
    size_t entries;
    /// Sizes of the groups of entries that reach each other; each group has its own owner for the upstream.
    std::vector<size_t> groups;
    /// Calls in ten seconds, summed over the owners.
    size_t leastCalls;
};

class ColdRateTest : public testing::TestWithParam<ColdRateCase>
{
};

// Guards against more calls per second than a cold upstream can handle, summed over the entries, also while they do not reach each other; and against an
// owner that gets only the share of one entry among many, so that most calls go to upstreams whose calls their entry does not know.
TEST_P(ColdRateTest, StaysBelowTheLimitInEverySecond)
{
    const PlacementSettings settings;
    std::vector<AK::Milliseconds> sent;
    for (const size_t group : GetParam().groups) {
        UpstreamLoad load;
        for (AK::Milliseconds now = 5'000; now < 15'000; ++now) {
            const double rate = callsPerSecond(load, GetParam().coldRate, settings);
            if (rateAllows(load, rate, ownerShare(group, GetParam().entries), now)) {
                takeRateToken(load, rate);
                sent.push_back(now);
            }
        }
    }
    std::sort(sent.begin(), sent.end());
    size_t mostInASecond = 0;
    for (size_t i = 0; i < sent.size(); ++i) {
        const auto end = std::lower_bound(sent.begin(), sent.end(), sent[i] + 1'000);
        mostInASecond = std::max(mostInASecond, static_cast<size_t>(end - sent.begin()) - i);
    }
    EXPECT_LE(static_cast<double>(mostInASecond), GetParam().coldRate * 1.5 + 5);
    EXPECT_GE(sent.size(), GetParam().leastCalls);
}

INSTANTIATE_TEST_SUITE_P(Table, ColdRateTest,
                         testing::Values(ColdRateCase{"one_owner", 36, 4, {4}, 300}, ColdRateCase{"one_owner_of_many", 14, 12, {12}, 120},
                                         ColdRateCase{"one_entry_lost", 14, 12, {11}, 110}, ColdRateCase{"one_domain_cut", 14, 12, {8, 4}, 120},
                                         ColdRateCase{"three_parts", 17, 17, {9, 4, 4}, 140},
                                         ColdRateCase{"each_alone", 14, 12, std::vector<size_t>(12, 1), 100}),
                         [](const auto &info) { return std::string(info.param.name); });

struct NamedLimitCase {
    const char *name;
    double coldRate;
    std::optional<double> limit;
    double expected;
};

class NamedLimitTest : public testing::TestWithParam<NamedLimitCase>
{
};

// Guards against a limit that an upstream names and that is not kept, and against one that raises the cold rate.
TEST_P(NamedLimitTest, BoundsTheRate)
{
    UpstreamLoad load;
    recordRateLimit(load, GetParam().limit, 900, 1'000);
    EXPECT_DOUBLE_EQ(callsPerSecond(load, GetParam().coldRate, PlacementSettings{}), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Table, NamedLimitTest,
                         testing::Values(NamedLimitCase{"none", 36, std::nullopt, 32.4}, NamedLimitCase{"no_rate_at_all", 0, std::nullopt, 0},
                                         NamedLimitCase{"lower", 36, 2.8, 2.8}, NamedLimitCase{"higher", 36, 80, 32.4},
                                         NamedLimitCase{"without_cold_rate", 0, 5, 5}, NamedLimitCase{"nothing_taken", 36, 0, 0.25}),
                         [](const auto &info) { return std::string(info.param.name); });

/// One piece of news about a limit, from a response to a call of this entry or from another entry.
struct LimitNews {
    AK::Milliseconds arrivesAt;
    std::optional<double> limit;
    /// Responses: when the call was sent. Entries: when the newest response told so.
    AK::Milliseconds at;
    bool fromEntry = false;
};

struct LimitNewsCase {
    const char *name;
    std::vector<LimitNews> news;
    std::optional<double> inForce;
};

class LimitNewsTest : public testing::TestWithParam<LimitNewsCase>
{
};

// Guards against a limit that is ended by the response to an earlier call or by old news of another entry, and against one that stays after it has ended.
TEST_P(LimitNewsTest, NewestResponseDecides)
{
    UpstreamLoad load;
    for (const LimitNews &news : GetParam().news) {
        news.fromEntry ? adoptRateLimit(load, news.limit, news.at, news.arrivesAt) : recordRateLimit(load, news.limit, news.at, news.arrivesAt);
    }
    EXPECT_EQ(isRateLimited(load), GetParam().inForce.has_value());
    if (GetParam().inForce) {
        EXPECT_EQ(load.rateLimit->callsPerSecond, GetParam().inForce);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, LimitNewsTest,
                         testing::Values(LimitNewsCase{"never", {{1'000, std::nullopt, 900}}, std::nullopt}, LimitNewsCase{"named", {{1'000, 3, 900}}, 3},
                                         LimitNewsCase{"changed", {{1'000, 3, 900}, {1'200, 2, 950}}, 2},
                                         LimitNewsCase{"response_to_an_earlier_call", {{1'000, 3, 900}, {1'200, std::nullopt, 950}}, 3},
                                         LimitNewsCase{"ended", {{1'000, 3, 900}, {1'400, std::nullopt, 1'100}}, std::nullopt},
                                         LimitNewsCase{"ended_and_named_again", {{1'000, 3, 900}, {1'400, std::nullopt, 1'100}, {1'900, 4, 1'800}}, 4},
                                         LimitNewsCase{"told_by_an_entry", {{1'000, 3, 800, true}}, 3},
                                         LimitNewsCase{"old_news_of_an_entry", {{1'000, 3, 900}, {1'100, std::nullopt, 700, true}}, 3},
                                         LimitNewsCase{"end_told_by_an_entry", {{1'000, 3, 900}, {1'600, std::nullopt, 1'500, true}}, std::nullopt}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a dead upstream that gets every third call, and against an upstream that never gets calls again.
TEST(CountOutcome, SuspendsAfterFailuresInARow)
{
    const PlacementSettings settings;
    UpstreamLoad load;
    for (int i = 0; i < settings.failuresToSuspend - 1; ++i) {
        recordOutcome(load, true, 1'000, settings);
    }
    EXPECT_EQ(load.suspendedUntil, 0);
    recordOutcome(load, true, 1'000, settings);
    EXPECT_EQ(load.suspendedUntil, 1'000 + settings.suspension);
    recordOutcome(load, true, 3'000, settings);
    EXPECT_EQ(load.suspendedUntil, 3'000 + 2 * settings.suspension);
    recordOutcome(load, false, 5'000, settings);
    EXPECT_EQ(load.failuresInRow, 0);
}

struct RequiredWeightsVersionCase {
    const char *name;
    std::vector<LibFleet::WeightsTarget> targets;
    AK::Milliseconds now;
    int64_t required;
};

class RequiredWeightsVersionTest : public testing::TestWithParam<RequiredWeightsVersionCase>
{
};

// Guards against an upstream that is suspended for 8 s because eleven calls failed in one crash.
TEST(CountOutcome, CountsACrashOnce)
{
    const PlacementSettings settings;
    UpstreamLoad load;
    for (int i = 0; i < 11; ++i) {
        recordOutcome(load, true, 1'000, settings);
    }
    EXPECT_EQ(load.suspendedUntil, 1'000 + settings.suspension);
    EXPECT_EQ(load.failuresInRow, settings.failuresToSuspend);
}

// Guards against calls that start on old weights after the switch delay, also when a newer version was announced in between.
TEST_P(RequiredWeightsVersionTest, IsTheNewestWhoseSwitchDelayIsOver)
{
    EXPECT_EQ(requiredWeightsVersion(GetParam().targets, GetParam().now, 6'500), GetParam().required);
}

INSTANTIATE_TEST_SUITE_P(Table, RequiredWeightsVersionTest,
                         testing::Values(RequiredWeightsVersionCase{"none_announced", {}, 1'000, 0},
                                         RequiredWeightsVersionCase{"within_delay", {{2, 1'000}}, 7'499, 0},
                                         RequiredWeightsVersionCase{"delay_over", {{2, 1'000}}, 7'500, 2},
                                         RequiredWeightsVersionCase{"first_of_two_over", {{2, 1'000}, {3, 3'000}}, 8'000, 2},
                                         RequiredWeightsVersionCase{"both_over", {{2, 1'000}, {3, 3'000}}, 9'500, 3}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against more retries in a window than all entries together may send.
TEST(RetryBudget, LimitsTheRetriesOfAllEntries)
{
    constexpr size_t entries = 4;
    const RetryBudgetSettings settings;
    RetryBudget budget(settings);
    int64_t retries = 0;
    for (AK::Milliseconds now = 0; now < settings.window; now += 20) {
        budget.countCall(now);
        retries += budget.trySpend(now, entries) ? 1 : 0;
    }
    const double calls = static_cast<double>(settings.window) / 20;
    EXPECT_LE(static_cast<double>(retries * entries), settings.ratio * calls * entries + settings.extra);
    EXPECT_GT(retries, 50);
}

struct BudgetChangeCase {
    const char *name;
    RetryBudgetSettings before;
    RetryBudgetSettings after;
    /// Retries allowed in total, those before the change included.
    int64_t allowed;
};

class RetryBudgetChangeTest : public testing::TestWithParam<BudgetChangeCase>
{
};

// Guards against a change of the settings that forgets the retries already spent: each change would grant a new budget.
TEST_P(RetryBudgetChangeTest, CountsRetriesAlreadySpent)
{
    RetryBudget budget(GetParam().before);
    const AK::Milliseconds now = GetParam().before.window;
    constexpr int attempts = 1'000;
    int64_t retries = 0;
    for (int i = 0; i < attempts; ++i) {
        retries += budget.trySpend(now, 1) ? 1 : 0;
    }
    budget.reconfigure(GetParam().after, now);
    for (int i = 0; i < attempts; ++i) {
        retries += budget.trySpend(now + 1, 1) ? 1 : 0;
    }
    EXPECT_EQ(retries, GetParam().allowed);
}

INSTANTIATE_TEST_SUITE_P(Table, RetryBudgetChangeTest,
                         testing::Values(BudgetChangeCase{"same", {0.2, 100, 10'000}, {0.2, 100, 10'000}, 70},
                                         BudgetChangeCase{"more", {0.2, 100, 10'000}, {0.2, 200, 10'000}, 140},
                                         BudgetChangeCase{"less", {0.2, 100, 10'000}, {0.2, 20, 10'000}, 70},
                                         BudgetChangeCase{"longer_window", {0.2, 100, 10'000}, {0.2, 100, 30'000}, 70},
                                         BudgetChangeCase{"shorter_window", {0.2, 100, 10'000}, {0.2, 200, 2'000}, 140}),
                         [](const auto &info) { return std::string(info.param.name); });

struct SplitCase {
    const char *name;
    std::vector<std::string> parts;
    std::vector<std::string> ids;
    bool partial;
};

class EventSplitterTest : public testing::TestWithParam<SplitCase>
{
};

// Guards against a partial event at the client when a stream breaks off, and against resuming after the wrong event.
TEST_P(EventSplitterTest, PassesWholeEvents)
{
    EventSplitter splitter;
    std::vector<std::string> ids;
    std::string passed;
    for (const std::string &part : GetParam().parts) {
        splitter.feed(part);
        while (const auto event = splitter.next()) {
            ids.push_back(event->id.value_or("-"));
            passed += event->text;
        }
    }
    EXPECT_EQ(ids, GetParam().ids);
    EXPECT_EQ(splitter.partialBytes() > 0, GetParam().partial);
    std::string sent;
    for (const std::string &part : GetParam().parts) {
        sent += part;
    }
    EXPECT_EQ(sent.substr(0, passed.size()), passed) << "the bytes of the events must not change";
}

INSTANTIATE_TEST_SUITE_P(Table, EventSplitterTest,
                         testing::Values(SplitCase{"whole", {"id: 1\ndata: a\n\nid:2\ndata: b\n\n"}, {"1", "2"}, false},
                                         SplitCase{"cut_anywhere", {"i", "d: 1\nda", "ta: a\n", "\nid: 2\nda"}, {"1"}, true},
                                         SplitCase{"carriage_returns", {"id: 1\r\ndata: a\r\n\r\n"}, {"1"}, false},
                                         SplitCase{"version_line_first", {"x-versions: 2\nid: 7\ndata: a\n\n"}, {"7"}, false},
                                         SplitCase{"no_id", {"data: id: 5\n\n"}, {"-"}, false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
