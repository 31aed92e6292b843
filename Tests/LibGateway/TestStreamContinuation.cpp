#include <LibGateway/StreamContinuation.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

struct HeadCase {
    const char *name;
    int status;
    LibHttpStream::Headers headers;
    bool authentic;
    ContinuationFault fault;
};

class ContinuationHeadTest : public testing::TestWithParam<HeadCase>
{
};

// Guards against a response that is no part of a stream and is passed on inside one.
TEST_P(ContinuationHeadTest, IsAPlainEventStreamWithAReceipt)
{
    ResponseInfo info;
    info.authentic = GetParam().authentic;
    EXPECT_EQ(checkContinuationHead({GetParam().status, "", GetParam().headers}, info), GetParam().fault);
}

INSTANTIATE_TEST_SUITE_P(
    Table, ContinuationHeadTest,
    testing::Values(HeadCase{"stream", 200, {{"Content-Type", "text/event-stream"}}, true, ContinuationFault::None},
                    HeadCase{"stream_with_parameters", 200, {{"content-type", "Text/Event-Stream ; charset=utf-8"}}, true, ContinuationFault::None},
                    HeadCase{"failure", 500, {{"Content-Type", "text/event-stream"}}, true, ContinuationFault::Status},
                    HeadCase{"no_content", 204, {{"Content-Type", "text/event-stream"}}, true, ContinuationFault::Status},
                    HeadCase{"partial_content", 206, {{"Content-Type", "text/event-stream"}}, true, ContinuationFault::Status},
                    HeadCase{"text", 200, {{"Content-Type", "text/plain"}}, true, ContinuationFault::ContentType},
                    HeadCase{"longer_type", 200, {{"Content-Type", "text/event-streams"}}, true, ContinuationFault::ContentType},
                    HeadCase{"no_type", 200, {}, true, ContinuationFault::ContentType},
                    HeadCase{"encoded", 200, {{"Content-Type", "text/event-stream"}, {"Content-Encoding", "gzip"}}, true, ContinuationFault::ContentType},
                    HeadCase{"no_receipt", 200, {{"Content-Type", "text/event-stream"}}, false, ContinuationFault::NoReceipt}),
    [](const auto &info) { return std::string(info.param.name); });

struct EventCase {
    const char *name;
    std::optional<std::string> lastEventId;
    std::string events;
    /// Bytes of the events that are taken from a continuation.
    size_t taken;
    std::optional<std::string> lastId;
    ContinuationFault fault;
};

class ContinuationEventTest : public testing::TestWithParam<EventCase>
{
};

// Guards against events that a client gets twice, out of order or with one missing between them, and against text that is no event.
TEST_P(ContinuationEventTest, FollowsTheLastOneSent)
{
    EventSplitter splitter;
    splitter.feed(GetParam().events);
    const EventBatch batch = takeEvents(splitter, GetParam().lastEventId, true);
    EXPECT_EQ(batch.text, GetParam().events.substr(0, GetParam().taken));
    EXPECT_EQ(batch.lastId, GetParam().lastId);
    EXPECT_EQ(batch.fault, GetParam().fault);

    EventSplitter first;
    first.feed(GetParam().events);
    EXPECT_EQ(takeEvents(first, GetParam().lastEventId, false).fault, ContinuationFault::None) << "the first upstream's events are passed on as they are";
}

INSTANTIATE_TEST_SUITE_P(Table, ContinuationEventTest,
                         testing::Values(EventCase{"next", "3", "id: 4\ndata: a\n\n", 15, "4", ContinuationFault::None},
                                         EventCase{"next_two", "9", "id: 10\n\nid: 11\n\n", 16, "11", ContinuationFault::None},
                                         EventCase{"with_a_field_before_the_id", "3", "x: 2\nid:4\r\ndata: a\r\n\r\n", 23, "4", ContinuationFault::None},
                                         EventCase{"comment", "3", ": busy\n\n", 8, std::nullopt, ContinuationFault::None},
                                         EventCase{"nothing", "3", "", 0, std::nullopt, ContinuationFault::None},
                                         EventCase{"part_of_an_event", "3", "id: 4\nda", 0, std::nullopt, ContinuationFault::None},
                                         EventCase{"after_comments_alone", std::nullopt, "id: 7\n\n", 7, "7", ContinuationFault::None},
                                         EventCase{"same", "3", "id: 3\n\n", 0, std::nullopt, ContinuationFault::EventOrder},
                                         EventCase{"earlier", "3", "id: 1\n\n", 0, std::nullopt, ContinuationFault::EventOrder},
                                         EventCase{"missing", "3", "id: 5\n\n", 0, std::nullopt, ContinuationFault::EventOrder},
                                         EventCase{"missing_later", "3", "id: 4\n\nid: 6\n\n", 7, "4", ContinuationFault::EventOrder},
                                         EventCase{"twice", "3", "id: 4\n\nid: 4\n\n", 7, "4", ContinuationFault::EventOrder},
                                         EventCase{"no_number", "3", "id: four\n\n", 0, std::nullopt, ContinuationFault::EventOrder},
                                         EventCase{"negative", "-9223372036854775808", "id: 9223372036854775807\n\n", 0, std::nullopt,
                                                   ContinuationFault::EventOrder},
                                         EventCase{"last_is_no_number", "a", "id: 4\n\n", 0, std::nullopt, ContinuationFault::EventOrder},
                                         EventCase{"no_id", "3", "data: a\n\n", 0, std::nullopt, ContinuationFault::NoEventId},
                                         EventCase{"error_event", "3", "event: error\ndata: a\n\n", 0, std::nullopt, ContinuationFault::NoEventId},
                                         EventCase{"text", "3", "internal error\n\n", 0, std::nullopt, ContinuationFault::NoEventId},
                                         EventCase{"text_after_a_comment", "3", ": busy\ninternal error\n\n", 0, std::nullopt, ContinuationFault::NoEventId}),
                         [](const auto &info) { return std::string(info.param.name); });

struct EndCase {
    const char *name;
    StreamEnd end;
    std::string_view reason;
};

class StreamEndTest : public testing::TestWithParam<EndCase>
{
};

// Guards against a stream that has broken off and is taken for complete.
TEST_P(StreamEndTest, IsProvenByItsFraming)
{
    EXPECT_EQ(unfinishedReason(GetParam().end), GetParam().reason);
}

INSTANTIATE_TEST_SUITE_P(Table, StreamEndTest,
                         testing::Values(EndCase{"framed", {false, true, 0}, ""}, EndCase{"framed_without_events", {false, false, 0}, ""},
                                         EndCase{"framed_inside_an_event", {false, true, 3}, "stream ended inside an event"},
                                         EndCase{"closed_after_an_event", {true, true, 0}, ""},
                                         EndCase{"closed_inside_an_event", {true, true, 1}, "stream ended inside an event"},
                                         EndCase{"closed_inside_the_first_event", {true, false, 1}, "stream ended inside an event"},
                                         EndCase{"closed_without_events", {true, false, 0}, "stream ended before its first event"}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
