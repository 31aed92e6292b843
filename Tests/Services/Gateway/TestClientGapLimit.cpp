#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds gapLimit = 1'200;
constexpr AK::Milliseconds clientTimeout = 4'000;

/// What the upstream sends of its response before it stands still.
enum class Sent { Nothing, Head };

struct GapLimitCase {
    const char *name;
    Sent sent;
    bool resumable;
    int maxAttempts;
    int upstreams;
};

class ClientGapLimitTest : public testing::TestWithParam<GapLimitCase>
{
};

// Guards against a client that leaves a stream without its first event before the entry has given it an answer, while the request still waits at an upstream.
TEST_P(ClientGapLimitTest, AnswersBeforeTheClientLeaves)
{
    const GapLimitCase &row = GetParam();
    LibFiber::Loop *loop = nullptr;
    const UpstreamScript standing = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        if (row.sent == Sent::Head) {
            const std::string text = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"),
                                                "\r\nX-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            channel.write(scope, text, loop->clock().now() + clientTimeout).IgnoreError();
        }
        channel.whenClosed().wait(scope);
        return false;
    };
    GatewaySite site(std::vector<UpstreamScript>(static_cast<size_t>(row.upstreams), standing));
    loop = &site.loop;
    site.configure(RouteKind::Stream, row.resumable, row.maxAttempts, clientTimeout);
    site.setClientGapLimit(gapLimit);

    std::optional<ClientResponse> response;
    const kj::Promise<void> client = site.loop.fiber([&](kj::WaitScope &inner) {
        response = site.callFrom(inner, {{"X-Deadline-Ms", std::to_string(clientTimeout)}});
    });
    // The client leaves at its limit.
    site.loop.sleep(site.loop.rootScope(), gapLimit);
    ASSERT_TRUE(response.has_value());
    EXPECT_EQ(response->status, 504);
    EXPECT_TRUE(response->complete);
    EXPECT_EQ(site.dispatcher.callsInFlight(), 0);
}

INSTANTIATE_TEST_SUITE_P(Table, ClientGapLimitTest,
                         testing::Values(GapLimitCase{"before_the_head", Sent::Nothing, false, 1, 1},
                                         GapLimitCase{"before_the_first_event", Sent::Head, false, 1, 1},
                                         GapLimitCase{"at_its_last_attempt", Sent::Nothing, true, 2, 2},
                                         GapLimitCase{"without_another_upstream", Sent::Head, true, 2, 1}),
                         [](const auto &info) { return info.param.name; });

} // namespace
