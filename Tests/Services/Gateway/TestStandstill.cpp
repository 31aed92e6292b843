#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>
#include <kj/debug.h>
#include <list>
#include <thread>

namespace
{

using LibFleet::RouteKind;

struct StandstillCase {
    const char *name;
    RouteKind kind;
    /// How long the client waits, in ms.
    AK::Milliseconds clientTimeout;
    /// How long the process stands still after the grant of a slot, in ms.
    AK::Milliseconds standstill;
    int status;
    /// Requests that were held back with this reason; empty for none.
    std::string withheldBy;
    /// See LibFleet::Route::clientGapLimit.
    AK::Milliseconds clientGapLimit = 0;
};

class StandstillTest : public testing::TestWithParam<StandstillCase>
{
};

// Guards against a request that rests on what was known before its process stood still: with more time than its client has left, after its deadline, or in a
// slot that its owner may have given to another call meanwhile.
TEST_P(StandstillTest, RenewsWhatWasDecidedBefore)
{
    // A tick for each side, and the time from the write to the read.
    constexpr AK::Milliseconds tolerance = 60;
    LibFiber::Loop *loop = nullptr;
    AK::Milliseconds arrivedAt = 0;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        arrivedAt = loop->clock().now();
        writeResponse(scope, channel, *loop, "a1", 200, "hello", 5);
        return true;
    }});
    loop = &site.loop;
    site.configure(GetParam().kind, false, 2, GetParam().clientTimeout);
    site.setClientGapLimit(GetParam().clientGapLimit);
    const AK::Milliseconds startedAt = loop->clock().now();
    std::list<kj::Own<Gateway::Grant>> held = holdAllSlots(site);
    ClientResponse response;
    bool ended = false;
    loop->spawn([&](kj::WaitScope &scope) {
        response = site.callFrom(scope, {{"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", std::to_string(GetParam().clientTimeout)}});
        ended = true;
    });
    while (site.dispatcher.waitingCalls() == 0) {
        loop->sleep(loop->rootScope(), 1);
    }
    // The call that waits gets its slot here, and its fiber runs only after the standstill.
    held.clear();
    std::this_thread::sleep_for(std::chrono::milliseconds(GetParam().standstill));
    while (!ended) {
        loop->sleep(loop->rootScope(), 1);
    }
    EXPECT_EQ(response.status, GetParam().status);
    const auto &requests = site.upstreams[0]->requests;
    ASSERT_EQ(requests.size(), GetParam().status == 200 ? 1U : 0U);
    if (!requests.empty()) {
        const std::string *left = LibHttpStream::findHeader(requests[0].headers, "X-Deadline-Ms");
        ASSERT_NE(left, nullptr);
        EXPECT_LE(arrivedAt + std::stoll(*left), startedAt + GetParam().clientTimeout + tolerance);
    }
    const std::string withheld = AK::concat("catkinlink_sends_withheld_total{reason=\"", GetParam().withheldBy, "\"} 1");
    EXPECT_EQ(site.metrics.text().find(withheld) != std::string::npos, !GetParam().withheldBy.empty()) << site.metrics.text();
}

INSTANTIATE_TEST_SUITE_P(Table, StandstillTest,
                         testing::Values(StandstillCase{"none", RouteKind::Idempotent, 2'000, 0, 200, ""},
                                         StandstillCase{"short", RouteKind::Idempotent, 2'000, 700, 200, ""},
                                         StandstillCase{"short_may_not_be_repeated", RouteKind::AtMostOnce, 2'000, 700, 200, ""},
                                         StandstillCase{"beyond_the_deadline", RouteKind::Idempotent, 1'000, 1'200, 503, "deadline_passed"},
                                         StandstillCase{"beyond_the_deadline_may_not_be_repeated", RouteKind::AtMostOnce, 1'000, 1'200, 503, "deadline_passed"},
                                         StandstillCase{"beyond_the_age_of_a_slot", RouteKind::Idempotent, 5'000, 1'800, 200, "slot_expired"},
                                         StandstillCase{"beyond_the_wait_for_a_stream", RouteKind::Stream, 5'000, 1'200, 503, "deadline_passed", 1'000}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a request that states the time that its client had left before the connection opened.
TEST(Standstill, CountsAgainstTheTimeThatTheRequestStates)
{
    constexpr AK::Milliseconds timeout = 2'000;
    constexpr AK::Milliseconds standstill = 500;
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        writeResponse(scope, channel, *loop, "a1", 200, "", 0);
        return true;
    }});
    loop = &site.loop;
    Gateway::UpstreamCall call(site.loop, site.connections, site.codec);
    const AK::Milliseconds deadline = loop->clock().now() + timeout;
    const auto makeHead = [&] {
        return LibHttpStream::RequestHead{"POST", "/r/1", {{"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", std::to_string(deadline - loop->clock().now())}}};
    };
    // Asked when the connection is open; stands for one that opens slowly.
    const auto check = [&]() -> std::optional<LibGateway::Hindrance> {
        std::this_thread::sleep_for(std::chrono::milliseconds(standstill));
        return std::nullopt;
    };
    call.send(loop->rootScope(), site.fleet.upstreams().at("i-1"), makeHead, "", "a1", true, deadline, deadline, check);
    ASSERT_EQ(site.upstreams[0]->requests.size(), 1U);
    EXPECT_LE(std::stoll(*LibHttpStream::findHeader(site.upstreams[0]->requests[0].headers, "X-Deadline-Ms")), timeout - standstill);
}

} // namespace
