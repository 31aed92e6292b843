#include "AnswerPaths.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;

struct StatusCase {
    const char *name;
    std::string line;
};

class InvalidStatusTest : public testing::TestWithParam<std::tuple<AnswerPathCase, StatusCase>>
{
};

// Guards against a status that is none, which has reached clients as an answer of its upstream, on every path on which an upstream answers.
TEST_P(InvalidStatusTest, ReachesNoClient)
{
    const auto &[path, status] = GetParam();
    expectNoClientGets(path, [&line = status.line](const std::string &id, const std::string &moreLines) {
        return AK::concat(line, "\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n", moreLines, "Content-Length: 3\r\n\r\n", invalidBody);
    });
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidStatusTest,
                         testing::Combine(testing::ValuesIn(answerPaths()),
                                          testing::Values(StatusCase{"zero", "HTTP/1.1 000 OK"}, StatusCase{"too_low", "HTTP/1.1 099 OK"},
                                                          StatusCase{"too_high", "HTTP/1.1 999 OK"}, StatusCase{"two_digits", "HTTP/1.1 20 OK"},
                                                          StatusCase{"zero_after_a_tab", "HTTP/1.1\t000 200 OK"},
                                                          StatusCase{"switching_protocols", "HTTP/1.1 101 Switching Protocols"})),
                         [](const auto &info) { return AK::concat(std::get<0>(info.param).name, "_", std::get<1>(info.param).name); });

struct SecondHeadCase {
    const char *name;
    /// Follows the head of a stream in its body.
    std::string second;
    bool inChunk;
};

class SecondHeadTest : public testing::TestWithParam<SecondHeadCase>
{
};

// Guards against a second head inside a stream that is passed on as an event.
TEST_P(SecondHeadTest, ReachesNoClient)
{
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    const UpstreamScript script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
        std::string answer = streamFrom(id, last == nullptr ? 1 : std::stoi(*last) + 1, lastEvent, true);
        if (requests++ == 0) {
            const std::string start = AK::concat(soundHead(id), "Content-Type: text/event-stream\r\n");
            answer = GetParam().inChunk ? start + "Transfer-Encoding: chunked\r\n\r\n" + LibHttpStream::encodeChunk(eventTexts(1, 2) + GetParam().second)
                                        : start + "\r\n" + eventTexts(1, 2) + GetParam().second;
        }
        EXPECT_TRUE(channel.write(scope, answer, loop->clock().now() + callTimeout).ok());
        return requests > 1;
    };
    GatewaySite site({script, script});
    loop = &site.loop;
    site.configure(RouteKind::Stream, true, 2, callTimeout);
    const ClientResponse response = site.call();
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, eventTexts(1, lastEvent));
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(requests, 2U);
}

INSTANTIATE_TEST_SUITE_P(Table, SecondHeadTest,
                         testing::Values(SecondHeadCase{"zero_in_a_chunk", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", true},
                                         SecondHeadCase{"zero_without_framing", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false},
                                         SecondHeadCase{"failure_without_framing", "HTTP/1.1 500 Odd\r\nX-Attempt-Id: a1\r\n\r\n", false},
                                         SecondHeadCase{"cut_without_framing", "HTTP/1.1 200 OK\r\n", false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
