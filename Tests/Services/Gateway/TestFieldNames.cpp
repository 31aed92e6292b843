#include "AnswerPaths.h"
#include <AK/Text.h>
#include <Loopback/InvalidFieldLines.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;
using Loopback::InvalidFieldLine;

constexpr AK::Milliseconds callTimeout = 2'000;
const std::string badEvent = AK::concat("id: 3\ndata: ", invalidBody, "\n\n");

/// Where the line stands.
enum class Place { First, Last, InterimHead, Trailers };

constexpr std::array placeNames{
    AK::EnumName{Place::First, "first"},
    AK::EnumName{Place::Last, "last"},
    AK::EnumName{Place::InterimHead, "interim_head"},
    AK::EnumName{Place::Trailers, "trailers"},
};

std::string lineAt(Place place, Place wanted, const InvalidFieldLine &invalid)
{
    return place == wanted ? invalid.line + "\r\n" : "";
}

// An answer that is sound but for the line. A line that frames the body stands for the right one.
std::string answerWith(const InvalidFieldLine &invalid, Place place, const std::string &id, const std::string &moreLines)
{
    const bool framed = !invalid.framesBody || place == Place::InterimHead;
    const bool chunked = invalid.line.find("chunked") != std::string::npos && !framed;
    return AK::concat(place == Place::InterimHead ? AK::concat("HTTP/1.1 103 Early Hints\r\n", invalid.line, "\r\n\r\n") : "", "HTTP/1.1 200 OK\r\n",
                      lineAt(place, Place::First, invalid), "X-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n",
                      moreLines.find("Content-Type") == std::string::npos ? "Content-Type: text/event-stream\r\n" : "", moreLines,
                      framed ? AK::concat("Content-Length: ", badEvent.size(), "\r\n") : "", lineAt(place, Place::Last, invalid), "\r\n",
                      chunked ? LibHttpStream::encodeChunk(badEvent) + std::string(LibHttpStream::lastChunk) : badEvent);
}

class FieldNameTest : public testing::TestWithParam<std::tuple<AnswerPathCase, Place, InvalidFieldLine>>
{
};

// Guards against an answer with a field whose name is none, which has reached clients with that line, or with another body than the one of its upstream.
TEST_P(FieldNameTest, ReachesNoClient)
{
    const auto &[path, place, invalid] = GetParam();
    expectNoClientGets(
        path, [&place = place, &invalid = invalid](const std::string &id, const std::string &moreLines) { return answerWith(invalid, place, id, moreLines); });
}

INSTANTIATE_TEST_SUITE_P(Table, FieldNameTest,
                         testing::Combine(testing::ValuesIn(answerPaths()), testing::Values(Place::First, Place::Last, Place::InterimHead),
                                          testing::ValuesIn(Loopback::invalidFieldLines(badEvent.size()))),
                         [](const auto &info) {
                             return AK::concat(std::get<0>(info.param).name, "_", AK::nameOf(placeNames, std::get<1>(info.param)), "_",
                                               std::get<2>(info.param).name);
                         });

struct TrailerRoute {
    const char *name;
    RouteKind kind;
    bool resumable;
    int status;
    bool complete;
    size_t requests;
};

class TrailerNameTest : public testing::TestWithParam<std::tuple<TrailerRoute, InvalidFieldLine>>
{
};

// Guards against a body that counts as whole although no valid trailers end it: the first lines of the next answer on the connection would be dropped as
// trailers.
TEST_P(TrailerNameTest, EndsNoWholeBody)
{
    const auto &[route, invalid] = GetParam();
    LibFiber::Loop *loop = nullptr;
    size_t requests = 0;
    const UpstreamScript script = [&, line = invalid.line](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head,
                                                           const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
        const std::string answer = requests++ == 0 ? AK::concat(streamFrom(id, 1, 2, false), "0\r\n", line, "\r\n\r\n")
                                                   : streamFrom(id, last == nullptr ? 1 : std::stoi(*last) + 1, lastEvent, true);
        EXPECT_TRUE(channel.write(scope, answer, loop->clock().now() + callTimeout).ok());
        return true;
    };
    GatewaySite site({script, script});
    loop = &site.loop;
    site.configure(route.kind, route.resumable, 2, callTimeout);
    const ClientResponse response = site.call();
    EXPECT_EQ(response.status, route.status);
    EXPECT_EQ(response.complete, route.complete);
    EXPECT_EQ(requests, route.requests);
    if (response.status == 200) {
        EXPECT_EQ(response.body, eventTexts(1, route.complete ? lastEvent : 2));
    }
}

INSTANTIATE_TEST_SUITE_P(Table, TrailerNameTest,
                         testing::Combine(testing::Values(TrailerRoute{"repeatable", RouteKind::Idempotent, false, 200, true, 2},
                                                          TrailerRoute{"once_only", RouteKind::AtMostOnce, false, 502, true, 1},
                                                          TrailerRoute{"resumable", RouteKind::Stream, true, 200, true, 2},
                                                          TrailerRoute{"stream", RouteKind::Stream, false, 200, false, 1}),
                                          testing::ValuesIn(Loopback::invalidFieldLines(1))),
                         [](const auto &info) { return AK::concat(std::get<0>(info.param).name, "_", std::get<1>(info.param).name); });

class RequestFieldNameTest : public testing::TestWithParam<std::tuple<RouteKind, Place, InvalidFieldLine>>
{
};

constexpr std::array kindNames{
    AK::EnumName{RouteKind::Idempotent, "repeatable"},
    AK::EnumName{RouteKind::AtMostOnce, "once_only"},
    AK::EnumName{RouteKind::Stream, "stream"},
};

// Guards against a request with a field whose name is none: an upstream could read other fields, or another body, than the entry.
TEST_P(RequestFieldNameTest, ReachesNoUpstream)
{
    const auto &[kind, place, invalid] = GetParam();
    size_t requests = 0;
    GatewaySite site({[&](kj::WaitScope &, LibFiber::ByteChannel &, const LibHttpStream::RequestHead &, const std::string &) {
        ++requests;
        return false;
    }});
    site.configure(kind, false, 2, callTimeout);
    const bool chunked = place == Place::Trailers;
    const std::string text = "ask";
    const std::string framing = chunked ? "Transfer-Encoding: chunked\r\n" : AK::concat("Content-Length: ", text.size(), "\r\n");
    const std::string body = chunked ? AK::concat(LibHttpStream::encodeChunk(text), "0\r\n", invalid.line, "\r\n\r\n") : text;
    const std::string head =
        AK::concat("POST /r/1 HTTP/1.1\r\n", lineAt(place, Place::First, invalid), "Host: h\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: 2000\r\nX-Api-Key: k\r\n",
                   invalid.framesBody && !chunked ? "" : framing, lineAt(place, Place::Last, invalid));
    kj::WaitScope &scope = site.loop.rootScope();
    const AK::Milliseconds deadline = site.loop.clock().now() + callTimeout;
    auto channel = LibFiber::ByteChannel::connect(site.loop, scope, site.address, deadline);
    ASSERT_TRUE(channel.ok());
    ASSERT_TRUE((*channel)->write(scope, AK::concat(head, "\r\n", body), deadline).ok());
    const auto answer = LibHttpStream::readHeadText(**channel, scope, 65'536, deadline);
    ASSERT_TRUE(answer.ok()) << answer.status();
    const auto response = LibHttpStream::parseResponseHead(*answer);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 400);
    EXPECT_EQ(requests, 0U);
}

INSTANTIATE_TEST_SUITE_P(Table, RequestFieldNameTest,
                         testing::Combine(testing::Values(RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream),
                                          testing::Values(Place::First, Place::Last, Place::Trailers), testing::ValuesIn(Loopback::invalidFieldLines(3))),
                         [](const auto &info) {
                             return AK::concat(AK::nameOf(kindNames, std::get<0>(info.param)), "_", AK::nameOf(placeNames, std::get<1>(info.param)), "_",
                                               std::get<2>(info.param).name);
                         });

} // namespace
