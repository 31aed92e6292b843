#include <AK/EnumNames.h>
#include <AK/Text.h>
#include <LibHttpStream/MessageReader.h>
#include <Loopback/InvalidFieldLines.h>
#include <array>
#include <gtest/gtest.h>
#include <tuple>

namespace
{

using namespace LibHttpStream;

struct FramingCase {
    const char *name;
    Headers headers;
    bool valid;
    FramingKind kind;
    uint64_t length;
};

class RequestFramingTest : public testing::TestWithParam<FramingCase>
{
};

// Guards against request smuggling: a request that two parsers frame differently could hide another request in its body.
TEST_P(RequestFramingTest, AcceptsOnlyUnambiguousFraming)
{
    const FramingCase &row = GetParam();
    const absl::StatusOr<BodyFraming> framing = requestBodyFraming(row.headers);
    ASSERT_EQ(framing.ok(), row.valid) << framing.status();
    if (row.valid) {
        EXPECT_EQ(framing->kind, row.kind);
        EXPECT_EQ(framing->length, row.length);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, RequestFramingTest,
                         testing::Values(FramingCase{"none", {}, true, FramingKind::None, 0},
                                         FramingCase{"length", {{"content-length", "12"}}, true, FramingKind::Length, 12},
                                         FramingCase{"chunked", {{"Transfer-Encoding", "Chunked"}}, true, FramingKind::Chunked, 0},
                                         FramingCase{"both", {{"Transfer-Encoding", "chunked"}, {"Content-Length", "3"}}, false, FramingKind::None, 0},
                                         FramingCase{"twice", {{"Content-Length", "3"}, {"Content-Length", "3"}}, false, FramingKind::None, 0},
                                         FramingCase{"list", {{"Content-Length", "3, 3"}}, false, FramingKind::None, 0},
                                         FramingCase{"negative", {{"Content-Length", "-3"}}, false, FramingKind::None, 0},
                                         FramingCase{"plus", {{"Content-Length", "+3"}}, false, FramingKind::None, 0},
                                         FramingCase{"gzip", {{"Transfer-Encoding", "gzip, chunked"}}, false, FramingKind::None, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

// Both ends of an in-memory connection on a loop.
struct Connection {
    Connection()
        : pipe(kj::newTwoWayPipe())
        , channel(loop, kj::mv(pipe.ends[0]))
    {
    }

    void send(std::string_view data, bool end)
    {
        this->loop.spawn([this, text = std::string(data), end](kj::WaitScope &scope) {
            this->pipe.ends[1]->write(text.data(), text.size()).wait(scope);
            if (end) {
                this->pipe.ends[1]->shutdownWrite();
            }
        });
    }

    AK::Milliseconds deadline() const
    {
        return this->loop.clock().now() + 2'000;
    }

    LibFiber::Loop loop;
    kj::TwoWayPipe pipe;
    LibFiber::ByteChannel channel;
};

struct BodyCase {
    const char *name;
    BodyFraming framing;
    std::string bytes;
    absl::StatusCode code;
    std::string body;
    bool reusable;
};

class BodyTest : public testing::TestWithParam<BodyCase>
{
};

// Guards against passing on a truncated body as if it were complete.
TEST_P(BodyTest, DetectsTruncationAndInvalidFraming)
{
    const BodyCase &row = GetParam();
    Connection connection;
    connection.send(row.bytes, true);
    BodyReader reader(connection.channel, row.framing);
    const absl::StatusOr<std::string> body = readBody(reader, connection.loop.rootScope(), 1000, connection.deadline());
    EXPECT_EQ(body.status().code(), row.code) << body.status();
    if (body.ok()) {
        EXPECT_EQ(*body, row.body);
        EXPECT_EQ(reader.reusable(), row.reusable);
    }
}

// Guards against losing bytes when the deadline of a read passes inside a chunk: a caller that reads on would get a body with a gap.
TEST_P(BodyTest, GoesOnAfterADeadline)
{
    const BodyCase &row = GetParam();
    Connection connection;
    BodyReader reader(connection.channel, row.framing);
    std::string body;
    absl::Status status;
    bool ended = false;
    const auto readAll = [&] {
        while (status.ok() && !ended) {
            const auto data = reader.next(connection.loop.rootScope(), connection.loop.clock().now() + 1);
            status = data.status();
            ended = data.ok() && !*data;
            body += data.ok() && *data ? **data : "";
        }
    };
    for (size_t i = 0; i < row.bytes.size() && !ended && (status.ok() || absl::IsDeadlineExceeded(status)); ++i) {
        connection.send(row.bytes.substr(i, 1), i + 1 == row.bytes.size());
        status = absl::OkStatus();
        readAll();
    }
    const bool tooLong = row.code == absl::StatusCode::kResourceExhausted;
    if (absl::IsDeadlineExceeded(status)) {
        status = absl::OkStatus();
        readAll();
    }
    EXPECT_EQ(status.code(), tooLong ? absl::StatusCode::kOk : row.code) << status;
    EXPECT_EQ(ended, status.ok());
    if (row.code == absl::StatusCode::kOk) {
        EXPECT_EQ(body, row.body);
    }
}

INSTANTIATE_TEST_SUITE_P(
    Table, BodyTest,
    testing::Values(BodyCase{"counted", {FramingKind::Length, 5}, "hello", absl::StatusCode::kOk, "hello", true},
                    BodyCase{"counted_cut", {FramingKind::Length, 6}, "hello", absl::StatusCode::kDataLoss, "", false},
                    BodyCase{"chunked", {FramingKind::Chunked, 0}, "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: v\r\n\r\n", absl::StatusCode::kOk, "hello", true},
                    BodyCase{"chunked_without_end", {FramingKind::Chunked, 0}, "3\r\nhel\r\n", absl::StatusCode::kDataLoss, "", false},
                    BodyCase{"chunk_cut", {FramingKind::Chunked, 0}, "5\r\nhel", absl::StatusCode::kDataLoss, "", false},
                    BodyCase{"chunk_too_long", {FramingKind::Chunked, 0}, "3\r\nhello\r\n0\r\n\r\n", absl::StatusCode::kInvalidArgument, "", false},
                    BodyCase{"chunk_size_invalid", {FramingKind::Chunked, 0}, "3x\r\nhel\r\n0\r\n\r\n", absl::StatusCode::kInvalidArgument, "", false},
                    BodyCase{"until_close", {FramingKind::UntilClose, 0}, "hello", absl::StatusCode::kOk, "hello", false},
                    BodyCase{"too_long", {FramingKind::UntilClose, 0}, std::string(1001, 'x'), absl::StatusCode::kResourceExhausted, "", false}),
    [](const auto &info) { return std::string(info.param.name); });

struct HeadCase {
    const char *name;
    std::string bytes;
    bool end;
    absl::StatusCode code;
};

class HeadTest : public testing::TestWithParam<HeadCase>
{
};

// Guards against heads of unbounded size and against taking a truncated head for a request.
TEST_P(HeadTest, IsCompleteAndBounded)
{
    const HeadCase &row = GetParam();
    Connection connection;
    connection.send(row.bytes, row.end);
    const absl::StatusOr<std::string> text = readHeadText(connection.channel, connection.loop.rootScope(), 64, connection.deadline());
    EXPECT_EQ(text.status().code(), row.code) << text.status();
}

INSTANTIATE_TEST_SUITE_P(Table, HeadTest,
                         testing::Values(HeadCase{"whole", "GET / HTTP/1.1\r\nHost: a\r\n\r\nrest", false, absl::StatusCode::kOk},
                                         HeadCase{"empty_lines_first", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", false, absl::StatusCode::kOk},
                                         HeadCase{"ended_before", "", true, absl::StatusCode::kOutOfRange},
                                         HeadCase{"ended_inside", "GET / HT", true, absl::StatusCode::kInvalidArgument},
                                         HeadCase{"too_long", "GET / HTTP/1.1\r\nX: " + std::string(80, 'x'), false, absl::StatusCode::kResourceExhausted}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against losing bytes when a read is abandoned because another event came first.
TEST(ByteChannel, KeepsBytesOfAbandonedReads)
{
    Connection connection;
    kj::WaitScope &scope = connection.loop.rootScope();
    {
        kj::Promise<void> abandoned = connection.channel.whenClosed();
        connection.loop.after(1).exclusiveJoin(kj::mv(abandoned)).wait(scope);
    }
    connection.send("hello", false);
    ASSERT_TRUE(connection.channel.fill(scope, connection.deadline()).ok());
    EXPECT_EQ(connection.channel.buffered(), "hello");
}

struct StatusCase {
    const char *name;
    const char *line;
    int status;
};

class StatusLineTest : public testing::TestWithParam<StatusCase>
{
};

// Guards against a status that is narrowed to another number and passed on: "99999999999" has reached a client as 1215752191.
TEST_P(StatusLineTest, HasThreeDigits)
{
    const auto head = parseResponseHead(std::string(GetParam().line) + "\r\nContent-Length: 0\r\n");
    ASSERT_EQ(head.ok(), GetParam().status != 0) << head.status();
    if (head.ok()) {
        EXPECT_EQ(head->status, GetParam().status);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, StatusLineTest,
                         testing::Values(StatusCase{"ok", "HTTP/1.1 200 OK", 200}, StatusCase{"without_a_reason", "HTTP/1.1 204", 204},
                                         StatusCase{"empty_reason", "HTTP/1.1 204 ", 204}, StatusCase{"lowest", "HTTP/1.1 100 Continue", 100},
                                         StatusCase{"highest", "HTTP/1.1 599 Odd", 599}, StatusCase{"eleven_digits", "HTTP/1.1 99999999999 OK", 0},
                                         StatusCase{"wraps_to_200", "HTTP/1.1 4294967496 OK", 0}, StatusCase{"too_low", "HTTP/1.1 099 Odd", 0},
                                         StatusCase{"zero", "HTTP/1.1 000 Odd", 0}, StatusCase{"zero_after_a_tab", "HTTP/1.1\t000 200 OK", 0},
                                         StatusCase{"999", "HTTP/1.1 999 Odd", 0}, StatusCase{"tab_behind_it", "HTTP/1.1 200\t000 OK", 0},
                                         StatusCase{"switching_protocols", "HTTP/1.1 101 Switching", 0}, StatusCase{"too_high", "HTTP/1.1 600 Odd", 0},
                                         StatusCase{"two_digits", "HTTP/1.1 20 OK", 0}, StatusCase{"four_digits", "HTTP/1.1 2000 OK", 0},
                                         StatusCase{"negative", "HTTP/1.1 -200 OK", 0}, StatusCase{"plus", "HTTP/1.1 +200 OK", 0},
                                         StatusCase{"text", "HTTP/1.1 OK 200", 0}, StatusCase{"missing", "HTTP/1.1", 0}),
                         [](const auto &info) { return std::string(info.param.name); });

enum class Message { Request, Response, Trailers };

constexpr std::array messageNames{
    AK::EnumName{Message::Request, "request"},
    AK::EnumName{Message::Response, "response"},
    AK::EnumName{Message::Trailers, "trailers"},
};

// What a reader of the message says of these field lines.
absl::Status read(Message message, const std::string &lines)
{
    switch (message) {
    case Message::Request:
        return parseRequestHead("POST / HTTP/1.1\r\n" + lines).status();
    case Message::Response:
        return parseResponseHead("HTTP/1.1 200 OK\r\n" + lines).status();
    case Message::Trailers:
        break;
    }
    Connection connection;
    connection.send("0\r\n" + lines + "\r\n", true);
    BodyReader reader(connection.channel, {FramingKind::Chunked, 0});
    return readBody(reader, connection.loop.rootScope(), 1000, connection.deadline()).status();
}

class FieldNameTest : public testing::TestWithParam<std::tuple<Message, Loopback::InvalidFieldLine>>
{
};

// Guards against a field whose name is none and that is passed on, or read as another field than others read it.
TEST_P(FieldNameTest, MakesTheMessageInvalid)
{
    const auto &[message, invalid] = GetParam();
    const std::string line = invalid.line + "\r\n";
    EXPECT_EQ(read(message, line).code(), absl::StatusCode::kInvalidArgument);
    EXPECT_EQ(read(message, "X-First: 1\r\n" + line).code(), absl::StatusCode::kInvalidArgument);
    EXPECT_EQ(read(message, line + "X-Last: 1\r\n").code(), absl::StatusCode::kInvalidArgument);
}

INSTANTIATE_TEST_SUITE_P(Table, FieldNameTest,
                         testing::Combine(testing::Values(Message::Request, Message::Response, Message::Trailers),
                                          testing::ValuesIn(Loopback::invalidFieldLines(1))),
                         [](const auto &info) { return AK::concat(AK::nameOf(messageNames, std::get<0>(info.param)), "_", std::get<1>(info.param).name); });

struct FieldLineCase {
    const char *name;
    std::string line;
    std::string fieldName;
    std::string value;
};

class SoundFieldTest : public testing::TestWithParam<std::tuple<Message, FieldLineCase>>
{
};

// Guards against a sound field that makes its message invalid or is changed.
TEST_P(SoundFieldTest, IsRead)
{
    const auto &[message, field] = GetParam();
    const std::string line = field.line + "\r\n";
    EXPECT_TRUE(read(message, line + "X-Last: 1\r\n").ok());
    if (message == Message::Response) {
        const auto head = parseResponseHead("HTTP/1.1 200 OK\r\n" + line);
        ASSERT_TRUE(head.ok()) << head.status();
        ASSERT_EQ(head->headers.size(), 1U);
        EXPECT_EQ(head->headers.front().name, field.fieldName);
        EXPECT_EQ(head->headers.front().value, field.value);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, SoundFieldTest,
                         testing::Combine(testing::Values(Message::Request, Message::Response, Message::Trailers),
                                          testing::Values(FieldLineCase{"usual", "X-Odd: 1", "X-Odd", "1"}, FieldLineCase{"no_blank", "X-Odd:1", "X-Odd", "1"},
                                                          FieldLineCase{"no_value", "X-Odd:", "X-Odd", ""},
                                                          FieldLineCase{"colons", "X-Odd: a:b: c", "X-Odd", "a:b: c"},
                                                          FieldLineCase{"blanks_in_the_value", "X-Odd: a \t b", "X-Odd", "a \t b"},
                                                          FieldLineCase{"high_byte_in_the_value", "X-Odd: \xe9", "X-Odd", "\xe9"},
                                                          FieldLineCase{"all_signs", "!#$%&'*+-.^_`|~09azAZ: 1", "!#$%&'*+-.^_`|~09azAZ", "1"})),
                         [](const auto &info) { return AK::concat(AK::nameOf(messageNames, std::get<0>(info.param)), "_", std::get<1>(info.param).name); });

} // namespace
