#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;
constexpr int events = 6;

std::string eventText(int id)
{
    return AK::concat("id: ", id, "\ndata: word\n\n");
}

/// How the first stream, which has neither a length nor chunks, ends with its connection.
enum class Ending { AfterTheLastEvent, InsideAnEvent, BeforeTheFirstEvent, ResetBetweenEvents, InsideTheFirstEvent };

struct UnframedCase {
    const char *name;
    Ending ending;
    bool resumable;
    int status;
    bool complete;
    int events;
    size_t requests;
};

class UnframedStreamTest : public testing::TestWithParam<UnframedCase>
{
};

// Guards against a stream without a length and without chunks that has broken off and is passed on as complete.
TEST_P(UnframedStreamTest, IsCompleteOnlyAfterAWholeEvent)
{
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    // The first upstream is chosen at random, so both end the first stream alike.
    const UpstreamScript script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
        const Ending ending = requests++ == 0 ? GetParam().ending : Ending::AfterTheLastEvent;
        std::string text = AK::concat("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Server-Seal: seal\r\nX-Attempt-Id: ",
                                      *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), "\r\n\r\n");
        for (int id = last == nullptr ? 1 : std::stoi(*last) + 1; id <= events; ++id) {
            if (ending == Ending::BeforeTheFirstEvent) {
                break;
            }
            const bool breaksOff = ending == Ending::InsideTheFirstEvent || id == 4;
            if (ending != Ending::AfterTheLastEvent && breaksOff) {
                text += ending == Ending::ResetBetweenEvents ? "" : eventText(id).substr(0, 9);
                break;
            }
            text += eventText(id);
        }
        EXPECT_TRUE(channel.write(scope, text, loop->clock().now() + callTimeout).ok());
        if (ending == Ending::ResetBetweenEvents) {
            // The events are read before the reset arrives.
            loop->sleep(scope, 50);
            channel.resetOnClose();
        }
        return false;
    };
    GatewaySite site({script, script});
    loop = &site.loop;
    site.configure(RouteKind::Stream, GetParam().resumable, 2, callTimeout);
    const ClientResponse response = site.call();
    EXPECT_EQ(response.status, GetParam().status);
    EXPECT_EQ(response.complete, GetParam().complete);
    std::string expected;
    for (int id = 1; id <= GetParam().events; ++id) {
        expected += eventText(id);
    }
    if (GetParam().status == 200) {
        EXPECT_EQ(response.body, expected);
    }
    EXPECT_EQ(requests, GetParam().requests);
}

INSTANTIATE_TEST_SUITE_P(Table, UnframedStreamTest,
                         testing::Values(UnframedCase{"whole", Ending::AfterTheLastEvent, true, 200, true, 6, 1},
                                         UnframedCase{"inside_an_event", Ending::InsideAnEvent, true, 200, true, 6, 2},
                                         UnframedCase{"inside_an_event_not_resumable", Ending::InsideAnEvent, false, 200, false, 3, 1},
                                         UnframedCase{"inside_the_first_event", Ending::InsideTheFirstEvent, true, 200, true, 6, 2},
                                         UnframedCase{"reset_between_events", Ending::ResetBetweenEvents, true, 200, true, 6, 2},
                                         UnframedCase{"before_the_first_event", Ending::BeforeTheFirstEvent, true, 200, true, 6, 2},
                                         UnframedCase{"before_the_first_event_not_resumable", Ending::BeforeTheFirstEvent, false, 502, true, 0, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
