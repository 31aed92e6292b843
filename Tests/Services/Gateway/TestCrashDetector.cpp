#include "GatewaySite.h"
#include <AK/Hash.h>
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 700;
constexpr AK::Milliseconds downTime = 400;

enum class Ending { ProcessEnds, ConnectionEnds, Silence, ProcessEndsLongAfterTheFirstEvent, ProcessEndsAfterTheResponse };

struct DetectionCase {
    const char *name;
    Ending ending;
    size_t crashes;
    size_t suspects;
};

class CrashDetectorTest : public testing::TestWithParam<DetectionCase>
{
};

// Guards against connections that break while their upstream lives on being taken for a crash, and against calls that can't have caused it being suspected.
TEST_P(CrashDetectorTest, TellsACrashFromABrokenConnection)
{
    constexpr AK::Milliseconds longTime = 550;
    GatewaySite *site = nullptr;
    GatewaySite built({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string text =
            AK::concat("HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: ", *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"),
                       "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", LibHttpStream::encodeChunk("id: 1\ndata: word\n\n"));
        EXPECT_TRUE(channel.write(scope, text, site->loop.clock().now() + callTimeout).ok());
        switch (GetParam().ending) {
        case Ending::Silence:
            site->loop.sleep(scope, callTimeout);
            break;
        case Ending::ConnectionEnds:
            break;
        case Ending::ProcessEndsLongAfterTheFirstEvent:
            site->loop.sleep(scope, longTime);
            site->crashUpstream(0, downTime);
            break;
        case Ending::ProcessEndsAfterTheResponse:
            EXPECT_TRUE(channel.write(scope, LibHttpStream::lastChunk, site->loop.clock().now() + callTimeout).ok());
            site->loop.sleep(scope, longTime / 2);
            site->crashUpstream(0, downTime);
            break;
        case Ending::ProcessEnds:
            site->crashUpstream(0, downTime);
            break;
        }
        return false;
    }});
    site = &built;
    site->configure(RouteKind::Stream, false, 1, callTimeout);
    std::vector<LibGateway::Crash> crashes;
    site->crashes.onCrash([&](const LibGateway::Crash &crash) { crashes.push_back(crash); });
    site->call({{"X-Prompt-Prefix", "a1:3,b2:4,f1:5"}, {"X-Deadline-Ms", std::to_string(callTimeout)}});
    // The detector has tried to connect by then.
    site->loop.sleep(site->loop.rootScope(), downTime / 2);
    ASSERT_EQ(crashes.size(), GetParam().crashes);
    if (crashes.empty()) {
        return;
    }
    EXPECT_EQ(crashes[0].upstream, "i-1");
    ASSERT_EQ(crashes[0].suspects.size(), GetParam().suspects);
    if (GetParam().suspects > 0) {
        EXPECT_EQ(crashes[0].suspects[0].parts, (std::vector<std::string>{"a1", "b2"}));
        EXPECT_EQ(crashes[0].suspects[0].prompt, AK::stableHash("f1"));
    }
    site->loop.sleep(site->loop.rootScope(), downTime);
}

INSTANTIATE_TEST_SUITE_P(Table, CrashDetectorTest,
                         testing::Values(DetectionCase{"process_ends", Ending::ProcessEnds, 1, 1},
                                         DetectionCase{"connection_ends", Ending::ConnectionEnds, 0, 0}, DetectionCase{"silence", Ending::Silence, 0, 0},
                                         DetectionCase{"process_ends_long_after_the_first_event", Ending::ProcessEndsLongAfterTheFirstEvent, 1, 1},
                                         DetectionCase{"process_ends_after_the_response", Ending::ProcessEndsAfterTheResponse, 0, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
