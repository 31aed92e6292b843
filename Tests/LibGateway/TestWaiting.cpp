#include <AK/Random.h>
#include <LibGateway/Waiting.h>
#include <gtest/gtest.h>
#include <list>

namespace
{

using namespace LibGateway;
using LibFleet::RouteKind;

struct ReturningCase {
    const char *name;
    RouteKind kind;
    AK::Milliseconds patience;
    bool returning;
};

class ReturningTest : public testing::TestWithParam<ReturningCase>
{
};

// Guards against clients with a little less patience that are taken for returning ones and wait until their answer is late (trouble-3 of regenton-mechelen).
TEST_P(ReturningTest, IsToldFromPatience)
{
    PatienceRecord record;
    observePatience(record, 5'950);
    observePatience(record, 5'200);
    EXPECT_EQ(isReturning(GetParam().kind, GetParam().patience, record, WaitingSettings{}), GetParam().returning);
}

INSTANTIATE_TEST_SUITE_P(Table, ReturningTest,
                         testing::Values(ReturningCase{"patient", RouteKind::Stream, 5'900, false},
                                         ReturningCase{"least_patient", RouteKind::Stream, 5'100, false},
                                         ReturningCase{"came_back", RouteKind::Stream, 4'800, true},
                                         ReturningCase{"no_stream", RouteKind::AtMostOnce, 500, false}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an order in which clients that come back hold up those that can still be answered in time, or urgent calls.
TEST(IsBefore, OrdersByUrgencyThenByWhatIsStillInTime)
{
    EXPECT_TRUE(isBefore({0, true}, {1, false}));
    EXPECT_TRUE(isBefore({1, false}, {1, true}));
    EXPECT_FALSE(isBefore({1, true}, {1, false}));
    EXPECT_FALSE(isBefore({1, false}, {1, false})) << "by arrival";
}

/// What became of the calls of an overload.
struct Outcome {
    int asked = 0;
    int onTime = 0;
    int held = 0;
};

/// Replays `factor` times as many calls as a line of engines can start, with one return of each refused client.
Outcome replay(double factor, const WaitingSettings &settings)
{
    constexpr AK::Milliseconds serviceInterval = 10;
    constexpr AK::Milliseconds target = 400;
    constexpr AK::Milliseconds firstEvent = 220;
    constexpr AK::Milliseconds length = 20'000;
    struct Call {
        AK::Milliseconds firstAskedAt;
        AK::Milliseconds arrivedAt;
        AK::Milliseconds startBy;
        WaitingPlace place;
    };
    AK::Random random(11);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::multimap<AK::Milliseconds, Call> arrivals;
    for (double at = 0; at < length; at += 2 * uniform(random) * serviceInterval / factor) {
        arrivals.emplace(static_cast<AK::Milliseconds>(at), Call{static_cast<AK::Milliseconds>(at), static_cast<AK::Milliseconds>(at), 0, {}});
    }
    Outcome outcome;
    outcome.asked = static_cast<int>(arrivals.size());
    LinePace pace;
    std::list<Call> line;
    AK::Milliseconds freeAt = 0;
    const auto refuse = [&](const Call &call, AK::Milliseconds now) {
        outcome.held += now - call.arrivedAt > target / 2 ? 1 : 0;
        if (!call.place.returning) {
            const AK::Milliseconds back = now + retryAfter(pace, line.size(), uniform(random), settings);
            arrivals.emplace(back, Call{call.firstAskedAt, back, 0, {0, true}});
        }
    };
    for (AK::Milliseconds now = 0; now < length + 5'000; ++now) {
        while (!arrivals.empty() && arrivals.begin()->first <= now) {
            Call call = arrivals.begin()->second;
            arrivals.erase(arrivals.begin());
            call.startBy = now + longestWait(RouteKind::Stream, call.place.returning, target, settings);
            if (!call.place.returning) {
                countFresh(pace, now);
            }
            const auto behind = std::find_if(line.begin(), line.end(), [&](const Call &other) { return isBefore(call.place, other.place); });
            if (startsTooLate(pace, call.place, static_cast<size_t>(std::distance(line.begin(), behind)), now, call.startBy)) {
                refuse(call, now);
            } else {
                line.insert(behind, call);
            }
        }
        for (auto it = line.begin(); it != line.end();) {
            if (it->startBy < now) {
                refuse(*it, now);
                it = line.erase(it);
            } else {
                ++it;
            }
        }
        if (freeAt <= now && !line.empty()) {
            outcome.onTime += now + firstEvent - line.front().firstAskedAt <= target ? 1 : 0;
            line.pop_front();
            countFreed(pace, now);
            freeAt = now + serviceInterval;
        }
    }
    return outcome;
}

struct OverloadCase {
    const char *name;
    double factor;
    double onTimeOfCapacity;
};

class OverloadTest : public testing::TestWithParam<OverloadCase>
{
};

// Guards against an overload in which every answer is late: what can be started goes to calls that can still be on time, and few are held before a refusal.
TEST_P(OverloadTest, CapacityGoesToCallsThatAreOnTime)
{
    const Outcome outcome = replay(GetParam().factor, WaitingSettings{});
    constexpr double capacity = 2'000;
    EXPECT_GE(outcome.onTime, GetParam().onTimeOfCapacity * std::min<double>(outcome.asked, capacity));
    EXPECT_LE(outcome.held, outcome.asked / 20);
}

INSTANTIATE_TEST_SUITE_P(Table, OverloadTest,
                         testing::Values(OverloadCase{"half", 0.5, 0.95}, OverloadCase{"three_halves", 1.5, 0.9}, OverloadCase{"twice", 2, 0.9},
                                         OverloadCase{"four_times", 4, 0.9}),
                         [](const auto &info) { return std::string(info.param.name); });

// The load of the test above with every client taken for a returning one, as before: the test can fail.
TEST(Overload, IsLateWhenAllWaitLong)
{
    WaitingSettings settings;
    settings.streamWait = 3;
    EXPECT_LT(replay(1.5, settings).onTime, 1'000);
}

} // namespace
