#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds testTimeout = 8'000;
constexpr AK::Milliseconds callTimeout = 6'000;
constexpr int events = 6;
const std::string comment = ": busy\n\n";

enum class Fault {
    /// Three events, then single bytes of the next one.
    TricklesAfterEvents,
    /// Three events, then comments without an id.
    CommentsAfterEvents,
    /// The same, while the other upstream is slow to go on.
    CommentsBesideASlowOne,
    EndlessEvent,
    EndlessHead,
    EndlessEmptyLines,
    EndlessInformationalResponses,
    EndlessChunkSize,
    EndlessTrailers,
    EndlessBody,
    /// No fault: events that come slowly.
    SlowEvents,
};

std::string eventText(int id)
{
    return AK::concat("id: ", id, "\ndata: word ", id, "\n\n");
}

/// What a faulty upstream has sent, and whether the gateway has closed the connection.
struct FaultRecord {
    size_t bytesSent = 0;
    int faults = 0;
    bool closed = false;
};

class FaultyUpstreamScript
{
public:
    FaultyUpstreamScript(Fault fault, LibFiber::Loop *const &loop, FaultRecord &record)
        : fault(fault)
        , loop(loop)
        , record(record)
    {
    }

    bool operator()(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string & /*body*/)
    {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
        const int first = last == nullptr ? 1 : std::stoi(*last) + 1;
        const bool isFaulty = this->record.faults == 0;
        const std::string startLine = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\n");
        const std::string streamHead = startLine + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (isFaulty) {
            ++this->record.faults;
        }
        if (!isFaulty || this->fault == Fault::SlowEvents) {
            const bool isSlow = isFaulty || this->fault == Fault::CommentsBesideASlowOne;
            return this->sendEvents(scope, channel, streamHead, first, isSlow ? 700 : 0);
        }
        std::string threeEvents = streamHead;
        for (int event = 1; event <= 3; ++event) {
            threeEvents += LibHttpStream::encodeChunk(eventText(event));
        }
        const std::string block(16'384, 'x');
        switch (this->fault) {
        case Fault::TricklesAfterEvents:
            return this->sendForever(scope, channel, threeEvents, LibHttpStream::encodeChunk("x"), 100);
        case Fault::CommentsAfterEvents:
        case Fault::CommentsBesideASlowOne:
            return this->sendForever(scope, channel, threeEvents, LibHttpStream::encodeChunk(comment), 100);
        case Fault::EndlessEvent:
            return this->sendForever(scope, channel, threeEvents, LibHttpStream::encodeChunk(block), 0);
        case Fault::EndlessHead:
            return this->sendForever(scope, channel, startLine, "X-More: " + block + "\r\n", 0);
        case Fault::EndlessEmptyLines: {
            std::string emptyLines;
            for (size_t i = 0; i < block.size(); i += 2) {
                emptyLines += "\r\n";
            }
            return this->sendForever(scope, channel, "", emptyLines, 0);
        }
        case Fault::EndlessInformationalResponses:
            return this->sendForever(scope, channel, "", "HTTP/1.1 100 Continue\r\n\r\n", 0);
        case Fault::EndlessChunkSize:
            return this->sendForever(scope, channel, streamHead, std::string(block.size(), '0'), 0);
        case Fault::EndlessTrailers:
            return this->sendForever(scope, channel, streamHead + "0\r\n", "X-More: y\r\n", 0);
        case Fault::EndlessBody:
            return this->sendForever(scope, channel, startLine + "Transfer-Encoding: chunked\r\n\r\n", LibHttpStream::encodeChunk(block), 0);
        case Fault::SlowEvents:
            break;
        }
        return false;
    }

private:
    bool sendEvents(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &streamHead, int first, AK::Milliseconds pause)
    {
        const AK::Milliseconds deadline = this->loop->clock().now() + testTimeout;
        bool ok = channel.write(scope, streamHead, deadline).ok();
        for (int event = first; event <= events && ok; ++event) {
            this->loop->sleep(scope, pause);
            ok = channel.write(scope, LibHttpStream::encodeChunk(eventText(event)), deadline).ok();
        }
        return ok && channel.write(scope, LibHttpStream::lastChunk, deadline).ok();
    }

    bool sendForever(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &start, const std::string &again, AK::Milliseconds pause)
    {
        const AK::Milliseconds deadline = this->loop->clock().now() + testTimeout;
        bool ok = channel.write(scope, start, deadline).ok();
        while (ok && this->loop->clock().now() < deadline) {
            this->loop->sleep(scope, pause);
            ok = channel.write(scope, again, deadline).ok();
            this->record.bytesSent += again.size();
        }
        this->record.closed = !ok;
        return false;
    }

    Fault fault;
    LibFiber::Loop *const &loop;
    FaultRecord &record;
};

struct FaultCase {
    const char *name;
    Fault fault;
    RouteKind kind;
    int expectedRequests;
};

class FaultyUpstreamTest : public testing::TestWithParam<FaultCase>
{
};

// Guards against an upstream in trouble that sends bytes without end which are no response, or a byte now and then: it held the call until the deadline of its
// client, and what it sent filled the memory of the entry. A slow stream whose events keep coming must not be taken for one of these.
TEST_P(FaultyUpstreamTest, LosesItsCallToAnotherUpstream)
{
    // Far more than the limits on heads, events and bodies, and what the sockets of a connection hold.
    constexpr size_t maxBytes = 24UL << 20;
    LibFiber::Loop *loop = nullptr;
    FaultRecord record;
    // The first upstream is chosen at random, so both fail the first request.
    const FaultyUpstreamScript script(GetParam().fault, loop, record);
    GatewaySite site({script, script});
    loop = &site.loop;
    site.configure(GetParam().kind, true, 2, callTimeout);
    const AK::Milliseconds startedAt = site.loop.clock().now();
    const ClientResponse response = site.call({{"X-Deadline-Ms", std::to_string(callTimeout)}});
    EXPECT_EQ(response.status, 200);
    EXPECT_TRUE(response.complete);
    std::string expected;
    for (int id = 1; id <= events; ++id) {
        expected += eventText(id);
    }
    // Comments are passed on as they come.
    std::string body = response.body;
    for (size_t at = body.find(comment); at != std::string::npos; at = body.find(comment)) {
        body.erase(at, comment.size());
    }
    EXPECT_EQ(body, expected);
    EXPECT_LT(site.loop.clock().now() - startedAt, callTimeout);
    EXPECT_EQ(site.upstreams[0]->requests.size() + site.upstreams[1]->requests.size(), static_cast<size_t>(GetParam().expectedRequests));
    EXPECT_LT(record.bytesSent, maxBytes);
    const AK::Milliseconds until = site.loop.clock().now() + 1'000;
    while (GetParam().expectedRequests > 1 && !record.closed && site.loop.clock().now() < until) {
        site.loop.sleep(site.loop.rootScope(), 1);
    }
    EXPECT_EQ(record.closed, GetParam().expectedRequests > 1) << "the connection to the faulty upstream";
}

INSTANTIATE_TEST_SUITE_P(Table, FaultyUpstreamTest,
                         testing::Values(FaultCase{"trickles_after_events", Fault::TricklesAfterEvents, RouteKind::Stream, 2},
                                         FaultCase{"comments_after_events", Fault::CommentsAfterEvents, RouteKind::Stream, 2},
                                         FaultCase{"comments_beside_a_slow_one", Fault::CommentsBesideASlowOne, RouteKind::Stream, 2},
                                         FaultCase{"endless_event", Fault::EndlessEvent, RouteKind::Stream, 2},
                                         FaultCase{"endless_head", Fault::EndlessHead, RouteKind::Stream, 2},
                                         FaultCase{"endless_empty_lines", Fault::EndlessEmptyLines, RouteKind::Stream, 2},
                                         FaultCase{"endless_informational_responses", Fault::EndlessInformationalResponses, RouteKind::Stream, 2},
                                         FaultCase{"endless_chunk_size", Fault::EndlessChunkSize, RouteKind::Stream, 2},
                                         FaultCase{"endless_trailers", Fault::EndlessTrailers, RouteKind::Stream, 2},
                                         FaultCase{"endless_body", Fault::EndlessBody, RouteKind::Idempotent, 2},
                                         FaultCase{"slow_events", Fault::SlowEvents, RouteKind::Stream, 1}),
                         [](const auto &info) { return std::string(info.param.name); });

struct LateCopyCase {
    const char *name;
    /// Id in the late second copy; empty for none.
    std::string copyId;
};

class LateCopyTest : public testing::TestWithParam<LateCopyCase>
{
};

// Guards against a second copy of a response that arrives when the next request is already on the connection, and that the next caller gets as its own.
TEST_P(LateCopyTest, NeverReachesTheNextCaller)
{
    LibFiber::Loop *loop = nullptr;
    int requests = 0;
    std::string firstId;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        ++requests;
        if (requests == 1) {
            firstId = id;
            writeResponse(scope, channel, *loop, id, 200, "hello", 5);
            return true;
        }
        if (requests == 2) {
            writeResponse(scope, channel, *loop, GetParam().copyId == "first" ? firstId : GetParam().copyId, 200, "hello", 5);
        }
        writeResponse(scope, channel, *loop, id, 200, "own answer", 10);
        return true;
    }});
    loop = &site.loop;
    site.configure(RouteKind::Idempotent, false, 1, callTimeout);
    EXPECT_EQ(site.call({{"X-Attempt-Id", "a1"}}).body, "hello");
    const ClientResponse second = site.call({{"X-Attempt-Id", "a2"}});
    EXPECT_TRUE(second.status == 502 || second.body == "own answer") << second.status << " " << second.body;
    EXPECT_EQ(site.call({{"X-Attempt-Id", "a3"}}).body, "own answer") << "the connection is in step again or closed";
}

INSTANTIATE_TEST_SUITE_P(Table, LateCopyTest, testing::Values(LateCopyCase{"with_its_id", "first"}, LateCopyCase{"without_an_id", ""}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
