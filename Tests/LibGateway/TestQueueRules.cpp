#include <AK/Random.h>
#include <LibGateway/QueueRules.h>
#include <gtest/gtest.h>
#include <list>

namespace
{

using namespace LibGateway;
using LibFleet::RouteKind;

struct ReturningCase {
    const char *name;
    RouteKind kind;
    AK::Milliseconds clientTimeout;
    bool returning;
};

class ReturningTest : public testing::TestWithParam<ReturningCase>
{
};

// Guards against fresh calls with a slightly shorter client timeout that are taken for returning ones and wait until their response is late.
TEST_P(ReturningTest, IsRecognizedByTheClientTimeout)
{
    ClientTimeoutRecord record;
    recordClientTimeout(record, 5'950);
    recordClientTimeout(record, 5'200);
    EXPECT_EQ(isReturning(GetParam().kind, GetParam().clientTimeout, record, QueueSettings{}), GetParam().returning);
}

INSTANTIATE_TEST_SUITE_P(Table, ReturningTest,
                         testing::Values(ReturningCase{"longest_timeout", RouteKind::Stream, 5'900, false},
                                         ReturningCase{"slightly_shorter_timeout", RouteKind::Stream, 5'100, false},
                                         ReturningCase{"returning", RouteKind::Stream, 4'800, true},
                                         ReturningCase{"no_stream", RouteKind::AtMostOnce, 500, false}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a queue order in which returning calls delay urgent calls or calls that can still be answered in time.
TEST(IsBefore, OrdersByPriorityThenFreshBeforeReturning)
{
    EXPECT_TRUE(isBefore({0, true}, {1, false}));
    EXPECT_TRUE(isBefore({1, false}, {1, true}));
    EXPECT_FALSE(isBefore({1, true}, {1, false}));
    EXPECT_FALSE(isBefore({1, false}, {1, false})) << "equal calls stay in order of arrival";
}

/// Counts of the calls of a simulated overload.
struct OverloadResult {
    int calls = 0;
    int onTime = 0;
    /// Refusals after a wait of more than half of the target latency.
    int refusedLate = 0;
};

/// Simulates `factor` times as many calls as the engines behind a queue can start. Each refused client retries once.
OverloadResult simulateOverload(double factor, const QueueSettings &settings)
{
    constexpr AK::Milliseconds serviceInterval = 10;
    constexpr AK::Milliseconds targetLatency = 400;
    constexpr AK::Milliseconds firstEventDelay = 220;
    constexpr AK::Milliseconds duration = 20'000;
    struct Call {
        AK::Milliseconds firstArrivedAt;
        AK::Milliseconds arrivedAt;
        AK::Milliseconds startBy;
        QueueRank rank;
    };
    AK::Random random(11);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::multimap<AK::Milliseconds, Call> arrivals;
    for (double at = 0; at < duration; at += 2 * uniform(random) * serviceInterval / factor) {
        arrivals.emplace(static_cast<AK::Milliseconds>(at), Call{static_cast<AK::Milliseconds>(at), static_cast<AK::Milliseconds>(at), 0, {}});
    }
    OverloadResult result;
    result.calls = static_cast<int>(arrivals.size());
    QueueIntervals intervals;
    std::list<Call> queue;
    AK::Milliseconds freeAt = 0;
    const auto refuse = [&](const Call &call, AK::Milliseconds now) {
        result.refusedLate += now - call.arrivedAt > targetLatency / 2 ? 1 : 0;
        if (!call.rank.returning) {
            const AK::Milliseconds returnsAt = now + retryAfter(intervals, queue.size(), uniform(random), settings);
            arrivals.emplace(returnsAt, Call{call.firstArrivedAt, returnsAt, 0, {0, true}});
        }
    };
    for (AK::Milliseconds now = 0; now < duration + 5'000; ++now) {
        while (!arrivals.empty() && arrivals.begin()->first <= now) {
            Call call = arrivals.begin()->second;
            arrivals.erase(arrivals.begin());
            call.startBy = now + longestWait(RouteKind::Stream, call.rank.returning, targetLatency, settings);
            if (!call.rank.returning) {
                recordFreshCall(intervals, now);
            }
            const auto behind = std::find_if(queue.begin(), queue.end(), [&](const Call &other) { return isBefore(call.rank, other.rank); });
            if (startsTooLate(intervals, call.rank, static_cast<size_t>(std::distance(queue.begin(), behind)), now, call.startBy)) {
                refuse(call, now);
            } else {
                queue.insert(behind, call);
            }
        }
        for (auto it = queue.begin(); it != queue.end();) {
            if (it->startBy < now) {
                refuse(*it, now);
                it = queue.erase(it);
            } else {
                ++it;
            }
        }
        if (freeAt <= now && !queue.empty()) {
            result.onTime += now + firstEventDelay - queue.front().firstArrivedAt <= targetLatency ? 1 : 0;
            queue.pop_front();
            recordFreedSlot(intervals, now);
            freeAt = now + serviceInterval;
        }
    }
    return result;
}

struct OverloadCase {
    const char *name;
    double factor;
    double leastOnTimeShare;
};

class OverloadTest : public testing::TestWithParam<OverloadCase>
{
};

// Guards against an overload in which every response is late: capacity must go to calls that can still be answered in time, and few calls may wait long before
// they are refused.
TEST_P(OverloadTest, CapacityGoesToCallsThatAreOnTime)
{
    const OverloadResult result = simulateOverload(GetParam().factor, QueueSettings{});
    constexpr double capacity = 2'000;
    EXPECT_GE(result.onTime, GetParam().leastOnTimeShare * std::min<double>(result.calls, capacity));
    EXPECT_LE(result.refusedLate, result.calls / 20);
}

INSTANTIATE_TEST_SUITE_P(Table, OverloadTest,
                         testing::Values(OverloadCase{"half", 0.5, 0.95}, OverloadCase{"three_halves", 1.5, 0.9}, OverloadCase{"twice", 2, 0.9},
                                         OverloadCase{"four_times", 4, 0.9}),
                         [](const auto &info) { return std::string(info.param.name); });

// Shows that the test above can fail: with the same load and longer waits most responses are late.
TEST(Overload, IsLateWhenAllWaitLong)
{
    QueueSettings settings;
    settings.streamWaitShare = 3;
    EXPECT_LT(simulateOverload(1.5, settings).onTime, 1'000);
}

} // namespace
