#include "AnswerPaths.h"

#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 2'000;
constexpr size_t uploadBytes = 512UL << 10;
const std::string soundBody = "hello";

std::string soundAnswer(const std::string &id)
{
    return AK::concat(soundHead(id), "Content-Length: ", soundBody.size(), "\r\n\r\n", soundBody);
}

// What the upstreams write to a request, by the number of requests before it.
std::string answerTo(AnswerPath path, const InvalidAnswer &invalidAnswer, size_t number, const std::string &id, bool resumes)
{
    switch (path) {
    case AnswerPath::Repeatable:
    case AnswerPath::Early:
        return number == 0 ? invalidAnswer(id, "") : soundAnswer(id);
    case AnswerPath::OnceOnly:
    case AnswerPath::EarlyOnceOnly:
        return invalidAnswer(id, "");
    case AnswerPath::Stream:
    case AnswerPath::EarlyStream:
        return number == 0 ? invalidAnswer(id, "") : streamFrom(id, 1, lastEvent, true);
    case AnswerPath::Resumed:
        return resumes ? invalidAnswer(id, "Content-Type: text/event-stream\r\n") : streamFrom(id, 1, 2, false);
    case AnswerPath::Retried:
        return number == 0 ? AK::concat("HTTP/1.1 500 Odd\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\nContent-Length: 4\r\n\r\nfail")
                           : invalidAnswer(id, "");
    case AnswerPath::LaterAnswer:
        return soundAnswer(id) + (number == 0 ? invalidAnswer(id, "") : "");
    case AnswerPath::Refusal:
        return number == 0 ? invalidAnswer(id, "X-Not-Executed: 1\r\n") : soundAnswer(id);
    }
    return "";
}

bool isEarly(AnswerPath path)
{
    return path == AnswerPath::Early || path == AnswerPath::EarlyOnceOnly || path == AnswerPath::EarlyStream;
}

void expectBody(AnswerPath path, const ClientResponse &response)
{
    EXPECT_EQ(response.body.find(invalidBody), std::string::npos);
    switch (path) {
    case AnswerPath::Repeatable:
    case AnswerPath::Early:
    case AnswerPath::LaterAnswer:
    case AnswerPath::Refusal:
        EXPECT_EQ(response.body, soundBody);
        break;
    case AnswerPath::Stream:
    case AnswerPath::EarlyStream:
        EXPECT_EQ(response.body, eventTexts(1, lastEvent));
        EXPECT_TRUE(response.complete);
        break;
    case AnswerPath::Resumed:
        EXPECT_EQ(response.body, eventTexts(1, 2));
        EXPECT_FALSE(response.complete);
        break;
    case AnswerPath::Retried:
        EXPECT_EQ(response.body, "fail");
        break;
    case AnswerPath::OnceOnly:
    case AnswerPath::EarlyOnceOnly:
        break;
    }
}

} // namespace

const std::vector<AnswerPathCase> &answerPaths()
{
    static const std::vector<AnswerPathCase> paths{
        {"repeatable", AnswerPath::Repeatable, RouteKind::Idempotent, 200, 2},
        {"once_only", AnswerPath::OnceOnly, RouteKind::AtMostOnce, 502, 1},
        {"stream", AnswerPath::Stream, RouteKind::Stream, 200, 2},
        {"resumed", AnswerPath::Resumed, RouteKind::Stream, 200, 2},
        {"retried", AnswerPath::Retried, RouteKind::Idempotent, 500, 2},
        {"later_answer", AnswerPath::LaterAnswer, RouteKind::Idempotent, 200, 1},
        {"refusal", AnswerPath::Refusal, RouteKind::Idempotent, 200, 2},
        {"early", AnswerPath::Early, RouteKind::Idempotent, 200, 2},
        {"early_once_only", AnswerPath::EarlyOnceOnly, RouteKind::AtMostOnce, 502, 1},
        {"early_stream", AnswerPath::EarlyStream, RouteKind::Stream, 200, 2},
    };
    return paths;
}

std::string soundHead(const std::string &id)
{
    return AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n");
}

std::string eventTexts(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += AK::concat("id: ", id, "\ndata: word ", id, "\n\n");
    }
    return text;
}

std::string streamFrom(const std::string &id, int first, int last, bool whole)
{
    return AK::concat(soundHead(id), "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                      LibHttpStream::encodeChunk(eventTexts(first, last)), whole ? LibHttpStream::lastChunk : "");
}

void expectNoClientGets(const AnswerPathCase &path, const InvalidAnswer &invalidAnswer)
{
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    const UpstreamScript script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const bool resumes = LibHttpStream::findHeader(head.headers, "Last-Event-Id") != nullptr;
        const std::string answer = answerTo(path.path, invalidAnswer, requests++, id, resumes);
        EXPECT_TRUE(channel.write(scope, answer, loop->clock().now() + callTimeout).ok());
        return answer.find("chunked") == std::string::npos || answer.find("\r\n0\r\n") != std::string::npos;
    };
    GatewaySite site({script, script, script});
    loop = &site.loop;
    for (auto &upstream : site.upstreams) {
        upstream->respondsEarly = isEarly(path.path);
    }
    site.configure(path.kind, path.kind == RouteKind::Stream, 2, callTimeout);
    const ClientResponse response = site.call({{"X-Attempt-Id", "a1"}}, "/r/1", isEarly(path.path) ? std::string(uploadBytes, 'u') : "ask");
    EXPECT_EQ(response.status, path.status);
    EXPECT_EQ(requests, path.requests);
    expectBody(path.path, response);
    if (path.path == AnswerPath::LaterAnswer) {
        // The next caller gets an answer of its own.
        for (const char *id : {"a2", "a3", "a4"}) {
            const ClientResponse next = site.call({{"X-Attempt-Id", id}});
            EXPECT_EQ(next.status, 200);
            EXPECT_EQ(next.body, soundBody);
        }
    }
}
