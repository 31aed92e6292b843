#include <AK/Random.h>
#include <LibRouting/Admission.h>
#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <set>

namespace
{

using namespace LibRouting;

struct RampCase {
    const char *name;
    int coldSlots;
    int capacity;
    /// Per step: whether a call completed.
    std::vector<bool> completed;
    std::vector<int> slots;
};

class RampTest : public testing::TestWithParam<RampCase>
{
};

// Guards against a cold upstream getting full load at once, and against a ramp that rises although no call completes.
TEST_P(RampTest, DoublesOnlyAfterStepsWithACompletedCall)
{
    Ramp ramp = startRamp(GetParam().coldSlots, 1, 0);
    std::vector<int> seen;
    for (size_t step = 0; step < GetParam().completed.size(); ++step) {
        ramp.completedInStep = GetParam().completed[step];
        advanceRamp(ramp, GetParam().capacity, 1000, static_cast<AK::Milliseconds>(step) * 1000 + 999);
        advanceRamp(ramp, GetParam().capacity, 1000, static_cast<AK::Milliseconds>(step + 1) * 1000);
        seen.push_back(ramp.slots);
    }
    EXPECT_EQ(seen, GetParam().slots);
}

INSTANTIATE_TEST_SUITE_P(Table, RampTest,
                         testing::Values(RampCase{"steady", 1, 16, {true, true, true, true, true}, {2, 4, 8, 16, 16}},
                                         RampCase{"idle_steps", 1, 16, {false, true, false, true}, {1, 2, 2, 4}},
                                         RampCase{"odd_capacity", 2, 5, {true, true, true}, {4, 5, 5}}, RampCase{"capacity_below_cold", 4, 2, {true}, {2}},
                                         RampCase{"zero_cold_slots", 0, 4, {true}, {2}}),
                         [](const auto &info) { return info.param.name; });

AdmissionRequest admissionRequest(uint64_t id, std::string account, AK::Milliseconds deadline, uint32_t weight = 1, uint32_t priority = 0)
{
    return {id, std::move(account), weight, priority, deadline, true};
}

AdmissionState warm(int slots)
{
    AdmissionState admission;
    admission.ramp = startRamp(slots, 1, 0);
    return admission;
}

struct ShareCase {
    const char *name;
    uint32_t floodWeight;
    uint32_t smallWeight;
    /// Minimum share of the granted slots that the small account must get.
    double smallShare;
};

class ShareTest : public testing::TestWithParam<ShareCase>
{
};

// Guards against a large account whose calls always fill the queue taking all slots of the upstream from a small one.
TEST_P(ShareTest, SmallAccountGetsItsShareUnderAFlood)
{
    AdmissionState admission = warm(4);
    const AdmissionLimits limits{4, 4, 1'000'000, 16};
    std::map<uint64_t, std::string> accountOf;
    std::map<std::string, int> granted;
    std::vector<uint64_t> running;
    uint64_t id = 0;
    const auto offer = [&](const std::string &account, uint32_t weight) {
        accountOf[++id] = account;
        if (offerCall(admission, limits, admissionRequest(id, account, 1'000'000, weight), 0).result == AdmissionResult::Admitted) {
            running.push_back(id);
        }
    };
    for (int round = 0; round < 400; ++round) {
        for (int i = 0; i < 40; ++i) {
            offer("flood", GetParam().floodWeight);
        }
        offer("small", GetParam().smallWeight);
        offer("small", GetParam().smallWeight);
        offer("small", GetParam().smallWeight);
        for (const uint64_t done : running) {
            finishCall(admission, accountOf[done], 10);
        }
        running = grantQueued(admission, limits, 0).admitted;
        for (const uint64_t call : running) {
            ++granted[accountOf[call]];
        }
    }
    const double total = granted["flood"] + granted["small"];
    EXPECT_GE(granted["small"] / total, GetParam().smallShare) << granted["small"] << " of " << total;
    EXPECT_GT(granted["flood"], 0);
}

INSTANTIATE_TEST_SUITE_P(Table, ShareTest,
                         testing::Values(ShareCase{"equal_weights", 1, 1, 0.45}, ShareCase{"flood_has_three_times_the_weight", 3, 1, 0.22},
                                         ShareCase{"small_has_three_times_the_weight", 1, 3, 0.60}),
                         [](const auto &info) { return info.param.name; });

// Guards against a lower priority that never gets a slot, and against priorities without effect.
TEST(Admission, PriorityGoesFirstButDoesNotStarve)
{
    AdmissionState admission = warm(1);
    const AdmissionLimits limits{1, 1, 1'000'000, 64};
    ASSERT_EQ(offerCall(admission, limits, admissionRequest(1, "running", 1'000'000), 0).result, AdmissionResult::Admitted);
    for (uint64_t id = 2; id < 32; ++id) {
        offerCall(admission, limits, id == 2 ? admissionRequest(id, "low", 1'000'000, 1, 0) : admissionRequest(id, "high", 1'000'000, 1, 5), 0);
    }
    std::string holder = "running";
    int position = 0;
    for (int turn = 1; turn <= 16 && position == 0; ++turn) {
        finishCall(admission, holder, 10);
        const uint64_t next = grantQueued(admission, limits, 0).admitted.at(0);
        holder = next == 2 ? "low" : "high";
        position = next == 2 ? turn : 0;
    }
    EXPECT_GT(position, 1);
    EXPECT_LE(position, 8);
}

// Guards against work on calls whose callers have given up.
TEST(Admission, DropsCallsThatCannotMeetTheirDeadline)
{
    AdmissionState admission = warm(1);
    const AdmissionLimits limits{1, 1, 1'000'000, 8};
    admission.serviceTimeMs = 100;
    EXPECT_EQ(offerCall(admission, limits, admissionRequest(1, "a", 0), 0).reason, Refusal::Deadline);
    EXPECT_EQ(offerCall(admission, limits, admissionRequest(2, "a", 50), 0).result, AdmissionResult::Admitted) << "an idle upstream is tried";
    EXPECT_EQ(offerCall(admission, limits, admissionRequest(3, "a", 150), 0).reason, Refusal::Deadline) << "needs 200 ms";
    EXPECT_EQ(offerCall(admission, limits, admissionRequest(4, "a", 250), 0).result, AdmissionResult::Queued);
    const QueueGrants grants = grantQueued(admission, limits, 180);
    ASSERT_EQ(grants.dropped.size(), 1U);
    EXPECT_EQ(grants.dropped[0].id, 4U);
    EXPECT_EQ(grants.dropped[0].reason, Refusal::Deadline);
}

// Guards against an unbounded queue, and against queuing a call that the entry wants to send to another upstream instead.
TEST(Admission, BoundsTheQueueAndObeysQueueAllowed)
{
    AdmissionState admission = warm(1);
    const AdmissionLimits limits{1, 1, 1'000'000, 2};
    offerCall(admission, limits, admissionRequest(1, "a", 10'000), 0);
    AdmissionRequest notQueueable = admissionRequest(2, "a", 10'000);
    notQueueable.queueAllowed = false;
    const AdmissionDecision refused = offerCall(admission, limits, notQueueable, 0);
    EXPECT_EQ(refused.reason, Refusal::Overloaded);
    EXPECT_GT(refused.retryAfterMs, 0);
    offerCall(admission, limits, admissionRequest(3, "a", 10'000), 0);
    offerCall(admission, limits, admissionRequest(4, "a", 10'000), 0);
    EXPECT_EQ(offerCall(admission, limits, admissionRequest(5, "a", 10'000), 0).reason, Refusal::ShareExceeded);
    const AdmissionDecision other = offerCall(admission, limits, admissionRequest(6, "b", 10'000), 0);
    EXPECT_EQ(other.result, AdmissionResult::Queued) << "below its share";
    ASSERT_EQ(other.displaced.size(), 1U);
    EXPECT_EQ(other.displaced[0].id, 4U);
    EXPECT_EQ(admission.queue.size(), 2U);
}

struct Running {
    AK::Milliseconds end;
    uint64_t id;
};

// Number of calls that complete within their deadline in 60 s of simulated time. 8 slots and a service time of 100 ms give a capacity of 80 calls/s; the
// deadline is 500 ms.
int goodput(double overload, uint64_t seed)
{
    AK::Random random(seed);
    std::exponential_distribution<double> gap(0.08 * overload);
    AdmissionState admission = warm(8);
    // The queue is longer than can be served within the deadline, so that the deadline check decides and not the queue limit.
    const AdmissionLimits limits{8, 8, 1'000'000, 200};
    std::map<uint64_t, AdmissionRequest> calls;
    std::vector<Running> running;
    uint64_t id = 0;
    int good = 0;
    double nextArrival = gap(random);
    for (AK::Milliseconds now = 0; now < 60'000; ++now) {
        std::erase_if(running, [&](const Running &call) {
            if (call.end > now) {
                return false;
            }
            good += now <= calls[call.id].deadline ? 1 : 0;
            finishCall(admission, calls[call.id].account, 100);
            return true;
        });
        for (const uint64_t granted : grantQueued(admission, limits, now).admitted) {
            running.push_back({now + 100, granted});
        }
        for (; nextArrival <= static_cast<double>(now); nextArrival += gap(random)) {
            ++id;
            const AdmissionRequest call = admissionRequest(id, id % 3 == 0 ? "small" : "large", now + 500);
            calls[id] = call;
            if (offerCall(admission, limits, call, now).result == AdmissionResult::Admitted) {
                running.push_back({now + 100, id});
            }
        }
    }
    return good;
}

// Guards against congestion collapse: under overload the calls completed in time must stay near capacity (4,800 calls in 60 s).
TEST(Admission, GoodputHoldsUnderOverload)
{
    const char *given = std::getenv("CATKINLINK_SEED");
    const uint64_t seed = given != nullptr ? std::stoull(given) : 1;
    for (const double overload : {1.0, 2.0, 4.0}) {
        const int good = goodput(overload, seed);
        std::cout << "seed " << seed << ", load " << overload << "x: " << good << " of 4800 calls in time\n";
        EXPECT_GE(good, overload > 1 ? 4'560 : 4'080) << "seed " << seed << ", load " << overload;
        EXPECT_LE(good, 4'800);
    }
}

} // namespace
