#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;
const std::string wholeText = "whole answer";
const std::string wholeEvents = "id: 1\ndata: word\n\nid: 2\ndata: word\n\n";

/// How the body would be framed if the head arrived whole.
enum class Framing { Length, Chunks, ConnectionEnd };

enum class Ending { Close, Reset };

struct TornHeadCase {
    const char *name;
    RouteKind kind;
    Framing framing;
    Ending ending;
    /// The connection has carried a whole response before.
    bool reused;
    int maxAttempts;
    /// What the client gets of each call whose first response is torn.
    int status;
};

std::string headText(const std::string &id, RouteKind kind, Framing framing, const std::string &body)
{
    // The headers that make a response look whole stand first.
    std::string text = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n");
    if (kind == RouteKind::Stream) {
        text += "Content-Type: text/event-stream\r\n";
    }
    switch (framing) {
    case Framing::Length:
        return text + AK::concat("Content-Length: ", body.size(), "\r\n\r\n");
    case Framing::Chunks:
        return text + "Transfer-Encoding: chunked\r\n\r\n";
    case Framing::ConnectionEnd:
        break;
    }
    return text + "\r\n";
}

std::string framedBody(Framing framing, const std::string &body)
{
    return framing == Framing::Chunks ? LibHttpStream::encodeChunk(body) + std::string(LibHttpStream::lastChunk) : body;
}

class TornHeadTest : public testing::TestWithParam<TornHeadCase>
{
};

// Guards against an upstream that stops inside the head of its response and closes: clients got a 200 with an empty or short body that was framed as whole.
TEST_P(TornHeadTest, IsNoResponse)
{
    const TornHeadCase &row = GetParam();
    const std::string body = row.kind == RouteKind::Stream ? wholeEvents : wholeText;
    LibFiber::Loop *loop = nullptr;
    size_t sentOfHead = 0;
    bool tear = false;
    const UpstreamScript script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string text = headText(*LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), row.kind, row.framing, body);
        const AK::Milliseconds deadline = loop->clock().now() + callTimeout;
        if (!tear) {
            EXPECT_TRUE(channel.write(scope, text + framedBody(row.framing, body), deadline).ok());
            return row.framing != Framing::ConnectionEnd;
        }
        tear = false;
        EXPECT_TRUE(sentOfHead == 0 || channel.write(scope, text.substr(0, sentOfHead), deadline).ok());
        if (row.ending == Ending::Reset) {
            // The bytes are read before the reset arrives.
            loop->sleep(scope, 2);
            channel.resetOnClose();
        }
        return false;
    };
    GatewaySite site({script, script});
    loop = &site.loop;
    site.configure(row.kind, row.kind == RouteKind::Stream, row.maxAttempts, callTimeout);
    site.dispatcher.setBounds({1, 1'000, 10'000}, 0, 0);
    const size_t headSize = headText("a1", row.kind, row.framing, body).size();
    for (sentOfHead = 0; sentOfHead < headSize; ++sentOfHead) {
        if (row.reused) {
            site.call();
        }
        tear = true;
        const ClientResponse response = site.call();
        EXPECT_FALSE(tear) << "no upstream got the request, cut at " << sentOfHead;
        EXPECT_EQ(response.status, row.status) << "cut at " << sentOfHead;
        EXPECT_TRUE(response.complete) << "cut at " << sentOfHead;
        EXPECT_TRUE(response.status != 200 || response.body == body) << "cut at " << sentOfHead << ": " << response.body;
        // Torn responses suspend an upstream after some in a row.
        site.call();
    }
}

INSTANTIATE_TEST_SUITE_P(Table, TornHeadTest,
                         testing::Values(TornHeadCase{"repeatable", RouteKind::Idempotent, Framing::Length, Ending::Close, false, 2, 200},
                                         TornHeadCase{"repeatable_reset", RouteKind::Idempotent, Framing::Length, Ending::Reset, true, 2, 200},
                                         TornHeadCase{"repeatable_unframed", RouteKind::Idempotent, Framing::ConnectionEnd, Ending::Close, false, 2, 200},
                                         TornHeadCase{"last_attempt", RouteKind::Idempotent, Framing::Chunks, Ending::Close, true, 1, 502},
                                         TornHeadCase{"may_not_be_repeated", RouteKind::AtMostOnce, Framing::Length, Ending::Close, false, 2, 502},
                                         TornHeadCase{"may_not_be_repeated_unframed", RouteKind::AtMostOnce, Framing::ConnectionEnd, Ending::Close, false, 2,
                                                      502},
                                         TornHeadCase{"may_not_be_repeated_reset", RouteKind::AtMostOnce, Framing::Chunks, Ending::Reset, false, 2, 502},
                                         TornHeadCase{"stream", RouteKind::Stream, Framing::Chunks, Ending::Close, false, 2, 200},
                                         TornHeadCase{"stream_reset", RouteKind::Stream, Framing::Chunks, Ending::Reset, true, 2, 200},
                                         TornHeadCase{"stream_unframed", RouteKind::Stream, Framing::ConnectionEnd, Ending::Close, false, 2, 200},
                                         TornHeadCase{"stream_last_attempt", RouteKind::Stream, Framing::ConnectionEnd, Ending::Close, false, 1, 502}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
