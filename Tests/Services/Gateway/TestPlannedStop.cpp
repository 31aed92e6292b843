#include "GatewaySite.h"
#include <AK/Text.h>
#include <LibGateway/DrainPlan.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;
using LibGateway::DrainPlan;

class DrainPlanTest : public testing::TestWithParam<AK::Milliseconds>
{
};

// Guards against a planned stop that takes calls for which its grace period leaves no time.
TEST_P(DrainPlanTest, LeavesTimeForWhatItAccepts)
{
    const AK::Milliseconds grace = GetParam();
    const DrainPlan plan = LibGateway::planDrain(grace);
    EXPECT_LT(plan.endAt, grace);
    EXPECT_LT(plan.answerAt, plan.endAt) << "clients must have time to read the last answers";
    EXPECT_LT(plan.acceptUntil, plan.answerAt / 2);
    EXPECT_GT(plan.acceptUntil, 0);
    EXPECT_LE(plan.acceptUntil, plan.closeIdleAt);
    EXPECT_LT(plan.closeIdleAt, plan.answerAt);
}

INSTANTIATE_TEST_SUITE_P(Table, DrainPlanTest, testing::Values(500, 1'000, 2'000, 3'000, 5'000, 8'000, 30'000, 120'000),
                         [](const auto &info) { return AK::concat("grace_", info.param); });

/// What the upstream does with a request.
enum class Work { EndsSoon, EndsAfterTheStop, StreamsBeyondTheStop, NoSlotIsFree };

struct StopCase {
    const char *name;
    RouteKind kind;
    Work work;
    /// Statuses that the client may get of a call that was accepted, and whether its response is complete.
    std::set<int> statuses;
    bool complete = true;
};

class PlannedStopTest : public testing::TestWithParam<StopCase>
{
};

// Guards against requests that are accepted during a planned stop and end without an answer at the end of its grace period, wherever in it they came.
TEST_P(PlannedStopTest, AnswersEachRequest)
{
    constexpr AK::Milliseconds grace = 1'600;
    constexpr AK::Milliseconds requestInterval = 40;
    constexpr AK::Milliseconds callTimeout = 4'000;
    constexpr AK::Milliseconds responseTime = 60;
    const StopCase &row = GetParam();
    const DrainPlan plan = LibGateway::planDrain(grace);
    LibFiber::Loop *loop = nullptr;
    std::set<std::string> ran;
    const UpstreamScript script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        ran.insert(id);
        if (row.work == Work::StreamsBeyondTheStop) {
            std::string text = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id,
                                          "\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 1;
                 channel.write(scope, text + LibHttpStream::encodeChunk(AK::concat("id: ", event, "\ndata: word\n\n")), loop->clock().now() + callTimeout).ok();
                 ++event) {
                text.clear();
                loop->sleep(scope, responseTime);
            }
            return false;
        }
        loop->sleep(scope, row.work == Work::EndsSoon ? responseTime : grace);
        if (!channel.ended()) {
            writeResponse(scope, channel, *loop, id, 200, "hello", 5);
        }
        return true;
    };
    // Enough slots for a call in each interval.
    constexpr size_t upstreams = 12;
    GatewaySite site(std::vector<UpstreamScript>(upstreams, script));
    loop = &site.loop;
    kj::WaitScope &scope = site.loop.rootScope();
    site.configure(row.kind, row.kind == RouteKind::Stream, 2, callTimeout);
    const std::list<kj::Own<Gateway::Grant>> held = row.work == Work::NoSlotIsFree ? holdAllSlots(site) : std::list<kj::Own<Gateway::Grant>>();
    struct Call {
        AK::Milliseconds sentAt = 0;
        ClientResponse response;
        bool ended = false;
    };
    std::map<std::string, Call> calls;
    const AK::Milliseconds signalledAt = site.loop.clock().now();
    const auto elapsed = [&] {
        return site.loop.clock().now() - signalledAt;
    };
    site.gateway.beginDrain(plan.acceptUntil);
    AK::Milliseconds nextCallAt = 0;
    bool answered = false;
    while (elapsed() < plan.endAt) {
        if (elapsed() >= nextCallAt && elapsed() < plan.answerAt) {
            nextCallAt += requestInterval;
            const std::string id = AK::concat("a", calls.size());
            calls[id].sentAt = elapsed();
            site.loop.spawn([&, id](kj::WaitScope &inner) {
                ClientResponse response = site.callFrom(inner, {{"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(callTimeout)}});
                calls[id].response = std::move(response);
                calls[id].ended = true;
            });
        }
        if (!answered && elapsed() >= plan.answerAt) {
            answered = true;
            site.gateway.answerCalls();
        }
        site.loop.sleep(scope, 2);
    }
    ASSERT_GT(calls.size(), 20U);
    for (const auto &[id, call] : calls) {
        const std::string described = AK::concat("sent ", call.sentAt, " ms after the signal, status ", call.response.status);
        // What is still on its way to the gateway when it stops to accept may be rejected.
        const bool accepted = call.sentAt < plan.acceptUntil - 20 || ran.contains(id);
        if (!accepted) {
            EXPECT_EQ(call.response.status, 503) << described;
            continue;
        }
        if (!row.complete && ran.contains(id)) {
            EXPECT_FALSE(call.response.complete) << described;
            continue;
        }
        EXPECT_TRUE(call.ended) << described;
        EXPECT_TRUE(row.statuses.contains(call.response.status)) << described;
        EXPECT_TRUE(call.response.complete) << described;
        EXPECT_FALSE(call.response.status == 503 && ran.contains(id)) << described << ": a rejected request has run";
    }
    site.loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, PlannedStopTest,
                         testing::Values(StopCase{"repeatable", RouteKind::Idempotent, Work::EndsSoon, {200}},
                                         StopCase{"may_not_be_repeated", RouteKind::AtMostOnce, Work::EndsSoon, {200}},
                                         StopCase{"too_long_repeatable", RouteKind::Idempotent, Work::EndsAfterTheStop, {502, 503}},
                                         StopCase{"too_long_may_not_be_repeated", RouteKind::AtMostOnce, Work::EndsAfterTheStop, {502, 503}},
                                         StopCase{"too_long_stream", RouteKind::Stream, Work::StreamsBeyondTheStop, {200, 503}, false},
                                         StopCase{"waits_for_a_slot", RouteKind::AtMostOnce, Work::NoSlotIsFree, {503}}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
