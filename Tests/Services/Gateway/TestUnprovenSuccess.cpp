#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 4'000;
const std::string wrongBody = "a page of another server";
const std::string soundBody = "id: 1\ndata: sound\n\n";

UpstreamScript pageScript(const std::string &statusLine, LibFiber::Loop *const &loop)
{
    return [statusLine, &loop](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &, const std::string &) {
        const std::string text =
            AK::concat(statusLine, "\r\nContent-Type: text/event-stream\r\nContent-Length: ", wrongBody.size() + 2, "\r\n\r\n", wrongBody, "\n\n");
        return channel.write(scope, text, loop->clock().now() + callTimeout).ok();
    };
}

UpstreamScript soundScript(LibFiber::Loop *const &loop)
{
    return [&loop](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        writeResponse(scope, channel, *loop, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), 200, soundBody, soundBody.size(),
                      {{"Content-Type", "text/event-stream"}});
        return true;
    };
}

struct UnprovenCase {
    const char *name;
    RouteKind kind;
    const char *statusLine;
    /// Whether another upstream may be tried.
    bool repeatable;
};

class UnprovenSuccessTest : public testing::TestWithParam<UnprovenCase>
{
};

// Guards against a success that no upstream's application has made: its client would take a request that never ran for done. A server that answers so gets no
// further calls for a while.
TEST_P(UnprovenSuccessTest, IsNeverPassedOn)
{
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({pageScript(GetParam().statusLine, loop), soundScript(loop)});
    loop = &site.loop;
    site.configure(GetParam().kind, GetParam().repeatable, GetParam().repeatable ? 2 : 1, callTimeout);
    int failed = 0;
    for (int i = 0; i < 12; ++i) {
        const ClientResponse response = site.call({{"X-Attempt-Id", AK::concat("a", i)}});
        EXPECT_TRUE(response.complete);
        EXPECT_EQ(response.body.find(wrongBody), std::string::npos);
        EXPECT_TRUE(response.status != 200 || LibHttpStream::findHeader(response.headers, "X-Server-Seal") != nullptr);
        EXPECT_TRUE(response.status == 200 || response.status == 502) << response.status;
        failed += response.status == 502 ? 1 : 0;
    }
    EXPECT_EQ(site.upstreams[0]->requests.size(), 1U) << "suspended after the first";
    EXPECT_EQ(failed, GetParam().repeatable ? 0 : 1);
}

INSTANTIATE_TEST_SUITE_P(Table, UnprovenSuccessTest,
                         testing::Values(UnprovenCase{"unsafe", RouteKind::AtMostOnce, "HTTP/1.1 200 OK", false},
                                         UnprovenCase{"safe", RouteKind::Idempotent, "HTTP/1.1 200 OK", true},
                                         UnprovenCase{"stream", RouteKind::Stream, "HTTP/1.1 200 OK", false},
                                         UnprovenCase{"resumable_stream", RouteKind::Stream, "HTTP/1.1 200 OK", true},
                                         UnprovenCase{"another_success", RouteKind::AtMostOnce, "HTTP/1.1 206 Partial Content", false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
