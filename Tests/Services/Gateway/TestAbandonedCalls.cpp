#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>
#include <list>
#include <thread>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 1'000;
constexpr AK::Milliseconds testLimit = 5'000;

/// What the upstream sends of its response before it stands still.
enum class Sent { Nothing, Head, Event };

struct AbandonedCase {
    const char *name;
    RouteKind kind;
    Sent sent;
    /// The client closes its connection; otherwise the deadline of the call passes.
    bool clientLeaves;
};

std::string textOf(Sent sent, const std::string &id)
{
    std::string head =
        AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    switch (sent) {
    case Sent::Nothing:
        return "";
    case Sent::Head:
        return head;
    case Sent::Event:
        return head + LibHttpStream::encodeChunk("id: 1\ndata: word\n\n");
    }
    return "";
}

class AbandonedCallTest : public testing::TestWithParam<AbandonedCase>
{
};

// Guards against an upstream that runs a request after its client has left: a host that stands still holds the unread request, and only a reset drops it.
TEST_P(AbandonedCallTest, EndsWithAReset)
{
    const AbandonedCase &row = GetParam();
    LibFiber::Loop *loop = nullptr;
    bool begun = false;
    std::optional<absl::StatusCode> end;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string text = textOf(row.sent, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"));
        EXPECT_TRUE(text.empty() || channel.write(scope, text, loop->clock().now() + testLimit).ok());
        begun = true;
        end = channel.fill(scope, loop->clock().now() + testLimit).code();
        return false;
    }});
    loop = &site.loop;
    site.configure(row.kind, false, 1, callTimeout);
    kj::WaitScope &scope = site.loop.rootScope();
    const AK::Milliseconds until = site.loop.clock().now() + testLimit;
    const auto waitUntil = [&](const std::function<bool()> &reached) {
        while (!reached() && site.loop.clock().now() < until) {
            site.loop.sleep(scope, 1);
        }
    };
    {
        const kj::Promise<void> client = site.loop.fiber([&](kj::WaitScope &inner) { site.callFrom(inner); });
        waitUntil([&] { return row.clientLeaves ? begun : end.has_value(); });
    }
    waitUntil([&] { return end.has_value(); });
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(*end, absl::StatusCode::kUnavailable);
}

INSTANTIATE_TEST_SUITE_P(Table, AbandonedCallTest,
                         testing::Values(AbandonedCase{"client_leaves_before_the_head", RouteKind::Stream, Sent::Nothing, true},
                                         AbandonedCase{"client_leaves_before_the_first_event", RouteKind::Stream, Sent::Head, true},
                                         AbandonedCase{"client_leaves_inside_the_stream", RouteKind::Stream, Sent::Event, true},
                                         AbandonedCase{"client_leaves_before_the_response", RouteKind::Idempotent, Sent::Nothing, true},
                                         AbandonedCase{"deadline_before_the_head", RouteKind::Stream, Sent::Nothing, false},
                                         AbandonedCase{"deadline_inside_the_stream", RouteKind::Stream, Sent::Event, false},
                                         AbandonedCase{"deadline_before_the_response", RouteKind::AtMostOnce, Sent::Nothing, false}),
                         [](const auto &info) { return info.param.name; });

struct LateLoopCase {
    const char *name;
    RouteKind kind;
    /// All slots are taken until the client has left.
    bool waits;
};

class LateLoopTest : public testing::TestWithParam<LateLoopCase>
{
};

// Guards against a request that is sent on although its client had left before: an entry that is late finds the request, a free slot and the end of the
// connection in the same turn, and the slot may come first.
TEST_P(LateLoopTest, SendsNothingForAClientThatHasLeft)
{
    constexpr AK::Milliseconds standstill = 100;
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        const std::string event = "id: 1\ndata: word\n\n";
        writeResponse(scope, channel, *loop, "a1", 200, event, event.size(), {{"Content-Type", "text/event-stream"}});
        return true;
    }});
    loop = &site.loop;
    site.configure(GetParam().kind, false, 1, callTimeout);
    kj::WaitScope &scope = site.loop.rootScope();
    // Leaves a connection to the upstream that the next request may use at once.
    ASSERT_EQ(site.call().status, 200);
    std::list<kj::Own<Gateway::Grant>> held;
    if (GetParam().waits) {
        held = holdAllSlots(site);
    }
    auto client = LibFiber::ByteChannel::connect(site.loop, scope, site.address, site.loop.clock().now() + testLimit);
    ASSERT_TRUE(client.ok());
    // The entry waits for a request on the connection.
    site.loop.sleep(scope, 20);
    const std::string request = "POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 900\r\nX-Api-Key: k\r\nContent-Length: 0\r\n\r\n";
    ASSERT_TRUE((*client)->write(scope, request, site.loop.clock().now() + testLimit).ok());
    while (GetParam().waits && site.dispatcher.waitingCalls() == 0) {
        site.loop.sleep(scope, 1);
    }
    *client = nullptr;
    std::this_thread::sleep_for(std::chrono::milliseconds(standstill));
    held.clear();
    site.loop.sleep(scope, 200);
    EXPECT_EQ(site.upstreams[0]->requests.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Table, LateLoopTest,
                         testing::Values(LateLoopCase{"at_once", RouteKind::Idempotent, false}, LateLoopCase{"after_a_wait", RouteKind::Idempotent, true},
                                         LateLoopCase{"stream_at_once", RouteKind::Stream, false},
                                         LateLoopCase{"once_only_after_a_wait", RouteKind::AtMostOnce, true}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
