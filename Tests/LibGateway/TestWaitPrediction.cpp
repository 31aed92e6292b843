#include <LibGateway/WaitPrediction.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

constexpr EngineFigures engine{6.73, 0, 30'600, 7, 12};

struct FirstEventCase {
    const char *name;
    EngineFigures engine;
    int64_t promptTokens;
    AK::Milliseconds least;
    AK::Milliseconds most;
};

class FirstEventTest : public testing::TestWithParam<FirstEventCase>
{
};

// Guards against a wait that leaves the engine too little time for the prompt, so that the response is late.
TEST_P(FirstEventTest, FollowsFromTheFiguresOfTheEngine)
{
    const AK::Milliseconds predicted = timeToFirstEvent(GetParam().engine, GetParam().promptTokens, {});
    EXPECT_GE(predicted, GetParam().least);
    EXPECT_LE(predicted, GetParam().most);
}

INSTANTIATE_TEST_SUITE_P(Table, FirstEventTest,
                         testing::Values(FirstEventCase{"short_prompt", engine, 647, 170, 200}, FirstEventCase{"long_prompt", engine, 1'330, 180, 210},
                                         FirstEventCase{"longest_prompt", engine, 9'180, 380, 420},
                                         FirstEventCase{"slow_with_many_sequences", {6.73, 1, 30'600, 7, 12}, 1'330, 300, 340},
                                         FirstEventCase{"unknown_figures", {}, 1'330, 0, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an urgent call with a short target that is refused although its first event could be in time.
TEST(WaitLimits, AreTheTargetLessTheTimeToTheFirstEvent)
{
    const WaitLimits urgent = waitLimits(1'000, 400, 200, 2'000, false, {});
    EXPECT_EQ(urgent.inTimeUntil, 1'200);
    EXPECT_EQ(urgent.startBy, 2'800);
    EXPECT_EQ(waitLimits(1'000, 150, 200, 2'000, false, {}).inTimeUntil, 1'000) << "late in any case";
    EXPECT_EQ(waitLimits(1'000, 400, 200, 150, false, {}).startBy, 1'000) << "the client is gone in any case";
    EXPECT_EQ(waitLimits(1'000, 400, 200, 5'000, true, {}).startBy, 1'000 + WaitSettings{}.returningWaitLimit);
}

/// Rates after five seconds of events at equal intervals.
QueueRates steadyRates(int freedPerSecond, int urgentPerSecond, int otherPerSecond, int refusedPerSecond = 0)
{
    QueueRates rates;
    for (AK::Milliseconds now = 1; now <= 5'000; ++now) {
        const auto due = [&](int perSecond) {
            return perSecond > 0 && now % (1'000 / perSecond) == 0;
        };
        if (due(freedPerSecond)) {
            recordEvent(rates.freedSlots, now);
        }
        if (due(urgentPerSecond)) {
            recordFreshCall(rates, 0, now);
        }
        if (due(otherPerSecond)) {
            recordFreshCall(rates, 2, now);
        }
        if (due(refusedPerSecond)) {
            recordEvent(rates.refusals, now);
        }
    }
    return rates;
}

// Guards against rates that are wrong after the start or that stay when nothing happens any more.
TEST(DecayingRate, FollowsTheEvents)
{
    const QueueRates rates = steadyRates(50, 20, 0);
    EXPECT_NEAR(eventsPerSecond(rates.freedSlots, 5'000), 50, 5);
    EXPECT_NEAR(eventsPerSecond(rates.freshCalls.at(0), 5'000), 20, 3);
    EXPECT_LT(eventsPerSecond(rates.freedSlots, 10'000), 1);
    EXPECT_EQ(eventsPerSecond({}, 5'000), 0);
}

struct DecisionCase {
    const char *name;
    int freedPerSecond;
    int urgentPerSecond;
    int otherPerSecond;
    int priority;
    size_t ahead;
    AK::Milliseconds inTimeFor;
    AK::Milliseconds startsWithin;
    WaitDecision expected;
};

class DecisionTest : public testing::TestWithParam<DecisionCase>
{
};

// Guards against calls that wait in vain, against refusals of calls that can still be in time, and against late calls that take slots from others.
TEST_P(DecisionTest, FollowsFromTheRates)
{
    const DecisionCase &row = GetParam();
    constexpr AK::Milliseconds now = 5'000;
    const QueueRates rates = steadyRates(row.freedPerSecond, row.urgentPerSecond, row.otherPerSecond);
    const WaitOutlook inTime = outlookOf(rates, row.priority, true, row.ahead, now);
    const WaitOutlook late = outlookOf(rates, row.priority, false, row.ahead, now);
    EXPECT_EQ(decideWait(inTime, late, {now + row.inTimeFor, now + row.startsWithin}, now, {}), row.expected);
}

INSTANTIATE_TEST_SUITE_P(Table, DecisionTest,
                         testing::Values(DecisionCase{"short_queue", 50, 20, 25, 0, 4, 200, 1'800, WaitDecision::InTime},
                                         DecisionCase{"less_urgent_behind_what_arrives", 50, 40, 25, 2, 4, 200, 1'800, WaitDecision::Refuse},
                                         DecisionCase{"less_urgent_with_time", 50, 40, 25, 2, 4, 600, 1'800, WaitDecision::InTime},
                                         DecisionCase{"late_with_spare_capacity", 50, 20, 10, 0, 12, 200, 1'800, WaitDecision::Late},
                                         DecisionCase{"late_in_a_lasting_overload", 50, 50, 25, 0, 12, 200, 1'800, WaitDecision::Refuse},
                                         DecisionCase{"late_and_the_client_leaves", 50, 20, 10, 0, 12, 200, 250, WaitDecision::Refuse},
                                         DecisionCase{"past_its_target", 50, 20, 10, 0, 2, 0, 1'800, WaitDecision::Late},
                                         DecisionCase{"nothing_has_become_free_yet", 0, 20, 10, 0, 2, 200, 1'800, WaitDecision::InTime}),
                         [](const auto &info) { return std::string(info.param.name); });

struct RetryCase {
    const char *name;
    int freedPerSecond;
    int callsPerSecond;
    int refusedPerSecond;
    size_t waiting;
    AK::Milliseconds timeLeft;
    AK::Milliseconds least;
    AK::Milliseconds most;
};

class RetryTest : public testing::TestWithParam<RetryCase>
{
};

// Guards against clients that return before there is room and are refused again, that return all at once, or that are told a time that they don't honour.
TEST_P(RetryTest, ComesWhenRoomIsExpected)
{
    const RetryCase &row = GetParam();
    const QueueRates rates = steadyRates(row.freedPerSecond, row.callsPerSecond, 0, row.refusedPerSecond);
    const AK::Milliseconds first = retryAfter(rates, row.waiting, row.timeLeft, 0, 5'000, {});
    const AK::Milliseconds last = retryAfter(rates, row.waiting, row.timeLeft, 0.999, 5'000, {});
    EXPECT_GE(std::min(first, last), row.least);
    EXPECT_LE(std::max(first, last), row.most);
    EXPECT_NE(first, last) << "returns are spread";
}

INSTANTIATE_TEST_SUITE_P(Table, RetryTest,
                         testing::Values(RetryCase{"after_a_burst", 100, 50, 10, 9, 6'000, 150, 500},
                                         RetryCase{"after_a_burst_with_many_refusals", 100, 50, 50, 9, 6'000, 150, 1'400},
                                         RetryCase{"lasting_overload", 50, 100, 50, 9, 6'000, 1'000, 2'000},
                                         RetryCase{"lasting_overload_and_little_time", 50, 100, 50, 9, 1'200, 200, 400},
                                         RetryCase{"nothing_becomes_free", 0, 100, 50, 9, 6'000, 1'000, 2'000}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a time of a second or two while every engine waits for weights: the client comes back to the same refusal.
TEST(RetryAfterWithoutUpstream, IsAsLateAsTheClientHonours)
{
    EXPECT_EQ(retryAfterWithoutUpstream(6'000, 0, {}), 2'000);
    EXPECT_GE(retryAfterWithoutUpstream(6'000, 0.999, {}), 1'600);
    EXPECT_EQ(retryAfterWithoutUpstream(120, 0, {}), WaitSettings{}.shortestRetryAfter);
}

} // namespace
