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
    return AK::concat("id: ", id, "\ndata: word ", id, "\n\n");
}

std::string eventTexts(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += eventText(id);
    }
    return text;
}

/// What an upstream writes to one request. The id of the request is added to the head.
struct Response {
    std::string head;
    std::string body;
    bool keepsConnection = false;
    /// The body is the whole rest of the stream after the event that the request names, in chunks.
    bool isSound = false;
};

const std::string sealed = "X-Server-Seal: seal\r\n";
const std::string eventStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + sealed;
const std::string chunked = "Transfer-Encoding: chunked\r\n";
const std::string failureHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 14\r\n" + sealed;
const std::string failureText = "internal error";

std::string lengthOf(const std::string &body)
{
    return AK::concat("Content-Length: ", body.size(), "\r\n");
}

/// A chunked stream with one chunk, which may end before its last chunk.
Response chunkedStream(const std::string &text, bool whole = true)
{
    return {eventStream + chunked, LibHttpStream::encodeChunk(text) + std::string(whole ? LibHttpStream::lastChunk : ""), whole};
}

Response sizedResponse(const std::string &head, const std::string &body, size_t length)
{
    return {head + AK::concat("Content-Length: ", length, "\r\n"), body, true};
}

const Response failure{failureHead, failureText, true};
const Response breaksInsideEvent4 = chunkedStream(eventTexts(1, 3) + "id: 4\nda", false);
const Response losesLastChunk = chunkedStream(eventTexts(1, events), false);
/// Stands for an upstream that never responds.
const Response silence;
const Response sound{eventStream + chunked, "", true, true};

/// Upstreams that respond to the first request with the first response, and so on; the last one stands for all further requests. They behave alike, because the
/// first upstream is chosen at random.
class ScriptedUpstreams
{
public:
    explicit ScriptedUpstreams(std::vector<Response> responses)
        : responses(std::move(responses))
    {
        const UpstreamScript script = [this](auto &scope, auto &channel, const auto &head, const auto &) {
            return this->respond(scope, channel, head);
        };
        this->site = std::make_unique<GatewaySite>(std::vector<UpstreamScript>{script, script, script});
    }

    std::unique_ptr<GatewaySite> site;
    size_t requests = 0;

private:
    bool respond(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head)
    {
        const Response &chosen = this->responses[std::min(this->requests, this->responses.size() - 1)];
        ++this->requests;
        const AK::Milliseconds deadline = this->site->loop.clock().now() + 2 * callTimeout;
        if (chosen.head.empty()) {
            this->site->loop.awaitDone(scope, channel.whenClosed(), deadline).IgnoreError();
            return false;
        }
        Response response = chosen;
        if (chosen.isSound) {
            const std::string *last = LibHttpStream::findHeader(head.headers, "Last-Event-Id");
            const std::string text = eventTexts(last == nullptr ? 1 : std::stoi(*last) + 1, events);
            response.body = (text.empty() ? "" : LibHttpStream::encodeChunk(text)) + std::string(LibHttpStream::lastChunk);
        }
        const std::string id = "X-Attempt-Id: " + *LibHttpStream::findHeader(head.headers, "X-Attempt-Id") + "\r\n";
        EXPECT_TRUE(channel.write(scope, response.head + id + "\r\n" + response.body, deadline).ok());
        return response.keepsConnection;
    }

    std::vector<Response> responses;
};

void expectStream(const ClientResponse &response, int lastEvent, bool complete)
{
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, eventTexts(1, lastEvent));
    EXPECT_EQ(response.complete, complete);
    if (!complete) {
        // The end of the connection where the next chunk is due; anything else there is text of another response.
        EXPECT_TRUE(absl::IsDataLoss(response.bodyError) || absl::IsUnavailable(response.bodyError)) << response.bodyError;
    }
}

struct ContinuationCase {
    const char *name;
    /// Response to the resumption after event 3.
    Response second;
    /// Last event that the client has after it.
    int lastEvent = 3;
};

class FaultyContinuationTest : public testing::TestWithParam<std::tuple<ContinuationCase, int>>
{
};

// Guards against the response of the next upstream in the middle of a stream that has broken off: its text, its head, events twice or out of order, or an end
// of the stream as if it were complete. With another attempt left, the stream goes on at a sound upstream.
TEST_P(FaultyContinuationTest, NeverReachesTheClient)
{
    const auto &[testCase, maxAttempts] = GetParam();
    ScriptedUpstreams upstreams({breaksInsideEvent4, testCase.second, sound});
    upstreams.site->configure(RouteKind::Stream, true, maxAttempts, callTimeout);
    const ClientResponse response = upstreams.site->call();
    const bool resumed = maxAttempts > 2;
    expectStream(response, resumed ? events : testCase.lastEvent, resumed);
    EXPECT_EQ(upstreams.requests, static_cast<size_t>(maxAttempts));
}

const std::string restOfStream = eventTexts(4, events);
const std::string unsealedStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

INSTANTIATE_TEST_SUITE_P(
    Table, FaultyContinuationTest,
    testing::Combine(
        testing::Values(
            ContinuationCase{"failure", failure}, ContinuationCase{"not_found", sizedResponse("HTTP/1.1 404 Not Found\r\n" + sealed, "not found", 9)},
            ContinuationCase{"unavailable", sizedResponse("HTTP/1.1 503 Service Unavailable\r\n" + sealed, "", 0)},
            ContinuationCase{"refused", sizedResponse("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + sealed, "", 0)},
            ContinuationCase{"no_content", {"HTTP/1.1 204 No Content\r\n" + sealed, "", true}},
            ContinuationCase{"partial_content",
                             sizedResponse("HTTP/1.1 206 OK\r\nContent-Type: text/event-stream\r\n" + sealed, restOfStream, restOfStream.size())},
            ContinuationCase{"other_content_type", sizedResponse("HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n" + sealed, restOfStream, restOfStream.size())},
            ContinuationCase{"no_content_type", sizedResponse("HTTP/1.1 200 OK\r\n" + sealed, restOfStream, restOfStream.size())},
            ContinuationCase{"encoded", sizedResponse(eventStream + "Content-Encoding: gzip\r\n", restOfStream, restOfStream.size())},
            ContinuationCase{"no_receipt", sizedResponse(unsealedStream, restOfStream, restOfStream.size())},
            ContinuationCase{"no_receipt_and_empty", sizedResponse(unsealedStream, "", 0)}, ContinuationCase{"empty_until_closed", {eventStream, "", false}},
            ContinuationCase{"text_until_closed", {eventStream, failureText, false}}, ContinuationCase{"text_as_event", chunkedStream(failureText + "\n\n")},
            ContinuationCase{"error_event", chunkedStream("event: error\ndata: failed\n\n")},
            ContinuationCase{"from_the_beginning", chunkedStream(eventTexts(1, events))},
            ContinuationCase{"last_event_again", chunkedStream(eventTexts(3, events))}, ContinuationCase{"event_missing", chunkedStream(eventTexts(5, events))},
            ContinuationCase{"event_twice", chunkedStream(eventText(4) + eventTexts(4, events)), 4},
            ContinuationCase{"events_out_of_order", chunkedStream(eventText(4) + eventText(6) + eventText(5)), 4},
            ContinuationCase{"id_is_no_number", chunkedStream(eventText(4) + "id: five\ndata: word\n\n"), 4},
            ContinuationCase{"length_ends_inside_an_event", sizedResponse(eventStream, eventText(4) + "id: 5\nda", eventText(4).size() + 8), 4},
            ContinuationCase{"length_not_reached", {eventStream + lengthOf(restOfStream), eventTexts(4, 5), false}, 5},
            ContinuationCase{"last_chunk_lost", chunkedStream(restOfStream, false), events}),
        testing::Values(2, 3)),
    [](const auto &info) { return AK::concat(std::get<0>(info.param).name, "_", std::get<1>(info.param), "_attempts"); });

struct EndingCase {
    const char *name;
    std::vector<Response> responses;
    int maxAttempts;
    /// Last event that the client has.
    int lastEvent;
    bool complete;
    size_t requests;
};

class StreamEndingTest : public testing::TestWithParam<EndingCase>
{
};

// Guards against a stream that ends as complete although nothing proves it, and against a failure that was kept from an earlier attempt and is sent after the
// stream has begun.
TEST_P(StreamEndingTest, IsCompleteOnlyIfProven)
{
    const EndingCase &row = GetParam();
    ScriptedUpstreams upstreams(row.responses);
    upstreams.site->configure(RouteKind::Stream, true, row.maxAttempts, callTimeout);
    expectStream(upstreams.site->call(), row.lastEvent, row.complete);
    EXPECT_EQ(upstreams.requests, row.requests);
}

INSTANTIATE_TEST_SUITE_P(Table, StreamEndingTest,
                         testing::Values(EndingCase{"no_attempt_left", {breaksInsideEvent4}, 1, 3, false, 1},
                                         EndingCase{"failure_before_the_stream", {failure, breaksInsideEvent4, failure}, 3, 3, false, 3},
                                         EndingCase{"deadline_inside_a_resumption", {breaksInsideEvent4, silence}, 2, 3, false, 2},
                                         EndingCase{"nothing_left_chunked", {losesLastChunk, sound}, 2, events, true, 2},
                                         EndingCase{"nothing_left_length_0", {losesLastChunk, sizedResponse(eventStream, "", 0)}, 2, events, true, 2},
                                         EndingCase{"nothing_left_until_closed", {losesLastChunk, {eventStream, "", false}}, 2, events, false, 2},
                                         EndingCase{"rest_until_closed", {breaksInsideEvent4, {eventStream, restOfStream, false}}, 2, events, true, 2}),
                         [](const auto &info) { return std::string(info.param.name); });

struct HinderedResumptionCase {
    const char *name;
    LibGateway::ResponseInfo notice;
    /// Upstreams of the three that have given the notice; the stream breaks off at one of the others.
    size_t hindered;
    int lastEvent;
};

class HinderedResumptionTest : public testing::TestWithParam<HinderedResumptionCase>
{
};

LibGateway::ResponseInfo leavingNotice()
{
    LibGateway::ResponseInfo notice;
    notice.leaving = true;
    return notice;
}

LibGateway::ResponseInfo pauseNotice()
{
    LibGateway::ResponseInfo notice;
    notice.pause = 2 * callTimeout;
    return notice;
}

// Guards against a stream that is resumed at an upstream that is leaving or has asked for a pause.
TEST_P(HinderedResumptionTest, GoesOnlyToAnotherUpstream)
{
    const HinderedResumptionCase &row = GetParam();
    ScriptedUpstreams upstreams({breaksInsideEvent4, sound});
    GatewaySite &site = *upstreams.site;
    site.configure(RouteKind::Stream, true, 3, callTimeout);
    for (size_t i = 0; i < row.hindered; ++i) {
        site.dispatcher.recordResponse(site.fleet.upstreams().at(AK::concat("i-", i + 1)), row.notice, 0);
    }
    expectStream(site.call(), row.lastEvent, row.lastEvent == events);
    for (size_t i = 0; i < row.hindered; ++i) {
        EXPECT_TRUE(site.upstreams[i]->requests.empty());
    }
    EXPECT_EQ(upstreams.requests, row.lastEvent == events ? 2U : 1U);
}

INSTANTIATE_TEST_SUITE_P(Table, HinderedResumptionTest,
                         testing::Values(HinderedResumptionCase{"one_leaving", leavingNotice(), 1, events},
                                         HinderedResumptionCase{"all_others_leaving", leavingNotice(), 2, 3},
                                         HinderedResumptionCase{"one_paused", pauseNotice(), 1, events},
                                         HinderedResumptionCase{"all_others_paused", pauseNotice(), 2, 3}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a failure of the next upstream that is withheld although the client has nothing of the stream yet.
TEST(ResumedStreams, PassesOnAFailureBeforeTheFirstEvent)
{
    ScriptedUpstreams upstreams({chunkedStream("id: 1\nda", false), failure});
    upstreams.site->configure(RouteKind::Stream, true, 2, callTimeout);
    const ClientResponse response = upstreams.site->call();
    EXPECT_EQ(response.status, 500);
    EXPECT_TRUE(response.complete);
    EXPECT_EQ(response.body, failureText);
}

} // namespace
