#include <AK/Random.h>
#include <LibGateway/ServiceOrder.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <list>

namespace
{

using namespace LibGateway;
using LibFleet::RouteKind;

constexpr AK::Milliseconds noon = 100'000;

struct OrderCase {
    const char *name;
    WaitingCall first;
    WaitingCall second;
};

class ServiceOrderTest : public testing::TestWithParam<OrderCase>
{
};

// Guards against late, less urgent or returning calls that start before others, and against one account that gets all slots.
TEST_P(ServiceOrderTest, Decides)
{
    EXPECT_TRUE(isServedBefore(GetParam().first, GetParam().second, noon));
    EXPECT_FALSE(isServedBefore(GetParam().second, GetParam().first, noon));
}

INSTANTIATE_TEST_SUITE_P(Table, ServiceOrderTest,
                         testing::Values(OrderCase{"in_time_before_late", {{2, false}, noon + 1, 9}, {{0, false}, noon, 0}},
                                         OrderCase{"by_priority", {{0, true}, noon + 9, 9}, {{1, false}, noon + 1, 0}},
                                         OrderCase{"new_before_returning", {{1, false}, noon + 9, 9}, {{1, true}, noon + 1, 0}},
                                         OrderCase{"account_with_fewer_starts", {{1, false}, noon + 9, 1}, {{1, false}, noon + 1, 2}}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against less urgent calls that get no slot at all, and against a share for calls that are as urgent as the first or late.
TEST(MinimumShare, GoesToTheCallThatIsRefusedNext)
{
    const WaitingCall urgent{{0, false}, noon + 50, 0};
    EXPECT_EQ(chooseForShare({urgent, {{0, false}, noon + 10, 0}, {{2, false}, noon + 400, 0}, {{2, false}, noon + 100, 0}}, noon), 3U);
    EXPECT_EQ(chooseForShare({urgent, {{0, false}, noon + 10, 0}}, noon), 0U);
    EXPECT_EQ(chooseForShare({urgent, {{2, false}, noon, 0}, {{2, true}, noon, 0}}, noon), 2U) << "a returning call, which is refused for good otherwise";
    EXPECT_FALSE(isShareDue({8}));
    EXPECT_TRUE(isShareDue({9}));
}

// Guards against accounts whose old calls count for ever, and against memory that grows with the number of accounts.
TEST(AccountStarts, FadeAndAreLimited)
{
    AccountStarts starts;
    starts.record("busy", noon);
    starts.record("busy", noon);
    EXPECT_NEAR(starts.of("busy", noon + 3'000), 1, 0.01);
    for (int i = 0; i < 5'000; ++i) {
        starts.record(std::to_string(i), noon + i);
        starts.record("busy", noon + i);
    }
    EXPECT_LE(starts.size(), 1'000U);
    EXPECT_GT(starts.of("busy", noon + 5'000), 500) << "the busiest are kept";
}

// Guards against a late call of another entry that takes a slot from one in time.
TEST(RequestedPriority, KeepsThePriorityOfLateCalls)
{
    EXPECT_EQ(requestedPriority(1, true), 1);
    EXPECT_GT(requestedPriority(0, false), requestedPriority(1'000, true));
    EXPECT_EQ(rankOfRequest(requestedPriority(3, false)).priority, 3);
    EXPECT_FALSE(rankOfRequest(requestedPriority(3, false)).inTime);
}

/// Outcome of the calls of one priority.
struct Served {
    int calls = 0;
    int inTime = 0;
    int late = 0;
    int refusedTwice = 0;
};

struct Load {
    const char *name;
    /// Calls of each entry over the capacity of an owner.
    std::array<double, 4> factors;
    /// The least urgent calls arrive this many times as often for 400 ms of every 4 s.
    double burst;
    /// No slot becomes free from 8 s on for this long.
    AK::Milliseconds outage;
    /// What callers need: urgent calls in time also while others are refused, slots not spent on late responses, and few clients that are refused twice.
    double leastUrgentInTime;
    double mostLate;
    double mostRefusedTwice;
};

/// Four entries that own the slots of one engine each, in simulated time. Clients retry once.
class Replay
{
public:
    Replay(const Load &load, bool competition, unsigned seed)
        : load(load)
        , competition(competition)
        , arrivals(seed)
    {
    }

    std::array<Served, 3> run()
    {
        for (this->now = 1; this->now < duration; ++this->now) {
            for (size_t entry = 0; entry < entries; ++entry) {
                this->arrive(entry);
                this->expire(entry);
            }
            for (size_t i = 0; i < entries; ++i) {
                this->serve((i + static_cast<size_t>(this->now)) % entries);
            }
        }
        return this->served;
    }

private:
    static constexpr size_t entries = 4;
    static constexpr size_t slots = 12;
    static constexpr AK::Milliseconds duration = 24'000;
    static constexpr AK::Milliseconds holdTime = 300;
    static constexpr AK::Milliseconds firstEventAfter = 190;
    static constexpr AK::Milliseconds clientTimeout = 6'000;
    static constexpr AK::Milliseconds clientWaits = 2'000;
    static constexpr std::array<AK::Milliseconds, 3> targets{400, 400, 800};
    static constexpr std::array<double, 3> parts{0.33, 0.39, 0.28};

    struct Call {
        size_t entry = 0;
        WaitingCall order;
        AK::Milliseconds firstArrivedAt = 0;
        AK::Milliseconds arrivedAt = 0;
        AK::Milliseconds startBy = 0;
        /// Owners at which it waits.
        std::array<bool, entries> owners{};
    };

    struct Entry {
        std::list<Call> queue;
        QueueIntervals intervals;
        QueueRates rates;
        MinimumShare share;
        std::array<AK::Milliseconds, slots> freeAt{};
        std::vector<Call> returning;
        AK::Milliseconds asksAt = 0;
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    bool before(const Call &left, const Call &right) const
    {
        return this->competition ? isServedBefore(left.order, right.order, this->now) : isBefore(left.order.rank, right.order.rank);
    }

    void arrive(size_t at)
    {
        for (int priority = 0; priority < 3; ++priority) {
            const double burst = priority == 2 && this->now % 4'000 < 400 ? this->load.burst : 1;
            if (std::uniform_real_distribution<double>(0, 1)(this->arrivals)
                < this->load.factors[at] * burst * parts[static_cast<size_t>(priority)] * slots / holdTime) {
                this->enqueue({at, {{priority, false}}, this->now});
                ++this->served[static_cast<size_t>(priority)].calls;
            }
        }
        std::vector<Call> due;
        std::erase_if(this->entry[at].returning, [&](const Call &call) {
            if (call.arrivedAt > this->now) {
                return false;
            }
            due.push_back(call);
            return true;
        });
        for (const Call &call : due) {
            this->enqueue(call);
        }
    }

    void enqueue(Call call)
    {
        Entry &home = this->entry[call.entry];
        const AK::Milliseconds target = targets[static_cast<size_t>(call.order.rank.priority)];
        call.arrivedAt = this->now;
        const WaitLimits limits = waitLimits(this->now, target, firstEventAfter, clientWaits, call.order.rank.returning, {});
        call.startBy = this->competition ? limits.startBy : this->now + longestWait(RouteKind::Stream, call.order.rank.returning, target, {});
        call.order.inTimeUntil = limits.inTimeUntil;
        if (!call.order.rank.returning) {
            recordFreshCall(home.intervals, this->now);
            recordFreshCall(home.rates, call.order.rank.priority, this->now);
        }
        for (int i = 0; i < 2; ++i) {
            call.owners[static_cast<size_t>(this->uniform() * entries)] = this->competition;
        }
        call.owners[call.entry] = true;
        const auto ahead = std::count_if(home.queue.begin(), home.queue.end(), [&](const Call &other) { return !isBefore(call.order.rank, other.order.rank); });
        const bool startsNow = !this->isAway() && home.queue.empty()
            && std::any_of(home.freeAt.begin(), home.freeAt.end(), [&](AK::Milliseconds freeAt) { return freeAt <= this->now; });
        const bool tooLate = this->competition ? !this->mayWait(call, static_cast<size_t>(ahead), home.queue.size())
                                               : startsTooLate(home.intervals, call.order.rank, static_cast<size_t>(ahead), this->now, call.startBy);
        if (!startsNow && tooLate) {
            this->refuse(call);
        } else {
            home.queue.push_back(call);
        }
    }

    bool mayWait(const Call &call, size_t ahead, size_t waiting)
    {
        const QueueRates &rates = this->entry[call.entry].rates;
        const int priority = call.order.rank.priority;
        return decideWait(outlookOf(rates, priority, true, ahead, this->now), outlookOf(rates, priority, false, waiting, this->now),
                          {call.order.inTimeUntil, call.startBy}, this->now, {})
            != WaitDecision::Refuse;
    }

    void refuse(Call call)
    {
        Entry &home = this->entry[call.entry];
        if (call.order.rank.returning) {
            ++this->served[static_cast<size_t>(call.order.rank.priority)].refusedTwice;
            return;
        }
        const AK::Milliseconds timeLeft = call.firstArrivedAt + clientTimeout - this->now;
        recordEvent(home.rates.refusals, this->now);
        const AK::Milliseconds told = this->competition ? retryAfter(home.rates, home.queue.size(), timeLeft, this->uniform(), this->now, {})
                                                        : retryAfter(home.intervals, home.queue.size(), this->uniform(), {});
        call.arrivedAt = this->now + std::min(told, timeLeft / 3);
        call.order.rank.returning = true;
        home.returning.push_back(call);
    }

    void expire(size_t at)
    {
        std::list<Call> &queue = this->entry[at].queue;
        for (auto it = queue.begin(); it != queue.end();) {
            const bool late = this->competition && this->now >= it->order.inTimeUntil && this->now % 40 == 0;
            if (this->now < it->startBy && (!late || this->mayWait(*it, 0, queue.size() - 1))) {
                ++it;
                continue;
            }
            const Call call = *it;
            it = queue.erase(it);
            this->refuse(call);
        }
    }

    /// Gives the free slots of an owner to calls, its own ones first without competition.
    void serve(size_t owner)
    {
        Entry &own = this->entry[owner];
        const bool away = this->isAway();
        for (AK::Milliseconds &freeAt : own.freeAt) {
            if (away || freeAt > this->now) {
                continue;
            }
            std::vector<std::pair<Call, size_t>> waiting;
            for (size_t i = 0; i < entries; ++i) {
                Entry &other = this->entry[i];
                if (this->competition) {
                    for (const Call &call : other.queue) {
                        if (call.owners[owner]) {
                            waiting.emplace_back(call, i);
                        }
                    }
                } else if (const Call *first = this->firstOf(i); first != nullptr && (i == owner || (own.queue.empty() && this->now >= other.asksAt))) {
                    waiting.emplace_back(*first, i);
                }
            }
            std::stable_sort(waiting.begin(), waiting.end(), [&](const auto &left, const auto &right) {
                return this->before(left.first, right.first) || (!this->before(right.first, left.first) && left.first.arrivedAt < right.first.arrivedAt);
            });
            if (waiting.empty()) {
                continue;
            }
            this->start(waiting[this->shareOf(own, waiting)], freeAt);
        }
    }

    bool isAway() const
    {
        return this->now >= 8'000 && this->now < 8'000 + this->load.outage;
    }

    const Call *firstOf(size_t at) const
    {
        const std::list<Call> &queue = this->entry[at].queue;
        const auto first = std::min_element(queue.begin(), queue.end(), [&](const Call &left, const Call &right) { return this->before(left, right); });
        return first == queue.end() ? nullptr : &*first;
    }

    size_t shareOf(Entry &own, const std::vector<std::pair<Call, size_t>> &waiting)
    {
        std::vector<WaitingCall> order;
        order.reserve(waiting.size());
        for (const auto &[call, from] : waiting) {
            order.push_back(call.order);
        }
        const size_t chosen = this->competition && isShareDue(own.share) ? chooseForShare(order, this->now) : 0;
        own.share.slotsSince = chosen != 0 ? 0 : own.share.slotsSince + 1;
        return chosen;
    }

    void start(const std::pair<Call, size_t> &chosen, AK::Milliseconds &freeAt)
    {
        const Call &call = chosen.first;
        Entry &home = this->entry[chosen.second];
        home.queue.remove_if(
            [&](const Call &other) { return other.firstArrivedAt == call.firstArrivedAt && other.order.rank.priority == call.order.rank.priority; });
        home.asksAt = this->now + 40;
        recordFreedSlot(home.intervals, this->now);
        recordEvent(home.rates.freedSlots, this->now);
        freeAt = this->now + static_cast<AK::Milliseconds>((0.5 + this->uniform()) * holdTime);
        Served &row = this->served[static_cast<size_t>(call.order.rank.priority)];
        const bool inTime = this->now + firstEventAfter - call.firstArrivedAt <= targets[static_cast<size_t>(call.order.rank.priority)];
        ++(inTime ? row.inTime : row.late);
    }

    Load load;
    bool competition;
    AK::Milliseconds now = 0;
    /// Of its own, so that both rules get the same calls.
    AK::Random arrivals;
    AK::Random random{7};
    std::array<Entry, entries> entry;
    std::array<Served, 3> served;
};

/// Shares over several replays.
struct Shares {
    /// Of the calls with priority 0 or 1, that are in time.
    double urgentInTime = 0;
    /// Of all calls, that are served late and that are refused twice.
    double late = 0;
    double refusedTwice = 0;
};

Shares replay(const Load &load, bool competition)
{
    constexpr unsigned runs = 6;
    double calls = 0;
    double urgent = 0;
    Shares shares;
    for (unsigned seed = 1; seed <= runs; ++seed) {
        const std::array<Served, 3> served = Replay(load, competition, seed).run();
        for (size_t priority = 0; priority < served.size(); ++priority) {
            calls += served[priority].calls;
            urgent += priority < 2 ? served[priority].calls : 0;
            shares.urgentInTime += priority < 2 ? served[priority].inTime : 0;
            shares.late += served[priority].late;
            shares.refusedTwice += served[priority].refusedTwice;
        }
    }
    return {shares.urgentInTime / urgent, shares.late / calls, shares.refusedTwice / calls};
}

class ReplayTest : public testing::TestWithParam<Load>
{
};

// Guards against urgent calls that are refused or late while others start, and against clients that are told to come back and are refused again.
TEST_P(ReplayTest, ServesWhatCallersNeed)
{
    const Shares before = replay(GetParam(), false);
    const Shares after = replay(GetParam(), true);
    EXPECT_GE(after.urgentInTime, GetParam().leastUrgentInTime);
    EXPECT_LE(after.late, GetParam().mostLate);
    EXPECT_LE(after.refusedTwice, GetParam().mostRefusedTwice);
    EXPECT_LT(before.urgentInTime, GetParam().leastUrgentInTime) << "the rules without competition fail";
    EXPECT_GT(before.late, GetParam().mostLate) << "the rules without competition fail";
}

INSTANTIATE_TEST_SUITE_P(Table, ReplayTest,
                         testing::Values(Load{"burst_of_the_least_urgent", {0.7, 0.7, 0.7, 0.7}, 8, 0, 0.995, 0.06, 0.006},
                                         Load{"demand_of_domains_differs", {1.22, 1, 1, 0.78}, 1, 0, 0.99, 0.02, 0.025},
                                         Load{"retries_after_a_standstill", {0.9, 0.9, 0.9, 0.9}, 1, 1'000, 0.95, 0.025, 0.035},
                                         Load{"lasting_overload", {1.4, 1.4, 1.4, 1.4}, 1, 0, 0.88, 0.005, 0.28}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
