#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;
constexpr int events = 4;
const std::string soundBody = "hello";

enum class Path {
    /// A call that may be repeated, and one that may run once.
    Repeatable,
    OnceOnly,
    Stream,
    /// The rest of a stream that another upstream has broken off.
    Resumed,
    /// The second attempt, after a failure of the first upstream.
    Retried,
    /// A later answer on the connection of a sound one.
    LaterAnswer,
    /// Beside a refusal that says that the request has not run.
    Refusal,
};

struct PathCase {
    const char *name;
    Path path;
    RouteKind kind;
    /// What the client gets.
    int status;
    /// Requests at upstreams, all of them together.
    size_t requests;
};

struct StatusCase {
    const char *name;
    std::string line;
};

std::string eventTexts(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += AK::concat("id: ", id, "\ndata: word ", id, "\n\n");
    }
    return text;
}

std::string soundHead(const std::string &id)
{
    return AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n");
}

std::string soundAnswer(const std::string &id)
{
    return AK::concat(soundHead(id), "Content-Length: ", soundBody.size(), "\r\n\r\n", soundBody);
}

std::string streamFrom(const std::string &id, int first, int last, bool whole)
{
    return AK::concat(soundHead(id), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                      LibHttpStream::encodeChunk(eventTexts(first, last)), whole ? LibHttpStream::lastChunk : "");
}

class InvalidStatusTest : public testing::TestWithParam<std::tuple<PathCase, StatusCase>>
{
protected:
    /// An answer that is right but for its status.
    static std::string invalidAnswer(const std::string &id, const std::string &more = "")
    {
        return AK::concat(std::get<1>(GetParam()).line, "\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n", more, "Content-Length: 3\r\n\r\nbad");
    }

    /// What the upstreams write to a request, by the number of requests before it.
    static std::string answerTo(size_t number, const std::string &id, bool resumes)
    {
        switch (std::get<0>(GetParam()).path) {
        case Path::Repeatable:
            return number == 0 ? invalidAnswer(id) : soundAnswer(id);
        case Path::OnceOnly:
            return invalidAnswer(id);
        case Path::Stream:
            return number == 0 ? invalidAnswer(id) : streamFrom(id, 1, events, true);
        case Path::Resumed:
            return resumes ? invalidAnswer(id) : streamFrom(id, 1, 2, false);
        case Path::Retried:
            return number == 0 ? AK::concat("HTTP/1.1 500 Odd\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\nContent-Length: 4\r\n\r\nfail")
                               : invalidAnswer(id);
        case Path::LaterAnswer:
            return soundAnswer(id) + (number == 0 ? invalidAnswer(id) : "");
        case Path::Refusal:
            return number == 0 ? invalidAnswer(id, "X-Not-Executed: 1\r\n") : soundAnswer(id);
        }
        return "";
    }
};

// Guards against a status that is none, which has reached clients as an answer of its upstream, on every path on which an upstream answers.
TEST_P(InvalidStatusTest, ReachesNoClient)
{
    const PathCase &row = std::get<0>(GetParam());
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    const UpstreamScript script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const bool resumes = LibHttpStream::findHeader(head.headers, "Last-Event-Id") != nullptr;
        const std::string answer = answerTo(requests++, id, resumes);
        EXPECT_TRUE(channel.write(scope, answer, loop->clock().now() + callTimeout).ok());
        return answer.find("chunked") == std::string::npos || answer.find("\r\n0\r\n") != std::string::npos;
    };
    GatewaySite site({script, script, script});
    loop = &site.loop;
    site.configure(row.kind, row.kind == RouteKind::Stream, 2, callTimeout);
    const ClientResponse response = site.call({{"X-Attempt-Id", "a1"}});
    EXPECT_EQ(response.status, row.status);
    EXPECT_EQ(requests, row.requests);
    EXPECT_EQ(response.body.find("bad"), std::string::npos);
    switch (row.path) {
    case Path::Repeatable:
    case Path::LaterAnswer:
    case Path::Refusal:
        EXPECT_EQ(response.body, soundBody);
        break;
    case Path::Stream:
        EXPECT_EQ(response.body, eventTexts(1, events));
        EXPECT_TRUE(response.complete);
        break;
    case Path::Resumed:
        EXPECT_EQ(response.body, eventTexts(1, 2));
        EXPECT_FALSE(response.complete);
        break;
    case Path::Retried:
        EXPECT_EQ(response.body, "fail");
        break;
    case Path::OnceOnly:
        break;
    }
    if (row.path == Path::LaterAnswer) {
        // The next caller gets an answer of its own.
        for (const char *id : {"a2", "a3", "a4"}) {
            const ClientResponse next = site.call({{"X-Attempt-Id", id}});
            EXPECT_EQ(next.status, 200);
            EXPECT_EQ(next.body, soundBody);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table, InvalidStatusTest,
    testing::Combine(testing::Values(PathCase{"repeatable", Path::Repeatable, RouteKind::Idempotent, 200, 2},
                                     PathCase{"once_only", Path::OnceOnly, RouteKind::AtMostOnce, 502, 1},
                                     PathCase{"stream", Path::Stream, RouteKind::Stream, 200, 2}, PathCase{"resumed", Path::Resumed, RouteKind::Stream, 200, 2},
                                     PathCase{"retried", Path::Retried, RouteKind::Idempotent, 500, 2},
                                     PathCase{"later_answer", Path::LaterAnswer, RouteKind::Idempotent, 200, 1},
                                     PathCase{"refusal", Path::Refusal, RouteKind::Idempotent, 200, 2}),
                     testing::Values(StatusCase{"zero", "HTTP/1.1 000 OK"}, StatusCase{"too_low", "HTTP/1.1 099 OK"}, StatusCase{"too_high", "HTTP/1.1 999 OK"},
                                     StatusCase{"two_digits", "HTTP/1.1 20 OK"}, StatusCase{"zero_after_a_tab", "HTTP/1.1\t000 200 OK"},
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
        std::string answer = streamFrom(id, last == nullptr ? 1 : std::stoi(*last) + 1, events, true);
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
    EXPECT_EQ(response.body, eventTexts(1, events));
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
