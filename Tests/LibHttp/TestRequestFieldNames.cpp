#include "BothClients.h"
#include <AK/Text.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttp/HttpServer.h>
#include <LibHttpStream/MessageReader.h>
#include <Loopback/InvalidFieldLines.h>
#include <atomic>
#include <gtest/gtest.h>
#include <memory>

namespace
{

constexpr AK::Milliseconds callTimeout = 2'000;
const std::string body = "hello";

enum class Place { First, Last };

constexpr std::array placeNames{AK::EnumName{Place::First, "first"}, AK::EnumName{Place::Last, "last"}};

class ServedRequests : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        address = nextAddress();
        server = std::make_unique<LibHttp::HttpServer>(address, LibHttp::HttpServerLimits{}, [](LibHttp::HttpExchange &exchange) {
            ++served;
            exchange.respond(LibHttp::jsonResponse(200, "{}"));
        });
        ASSERT_TRUE(server->start().ok());
    }

    static void TearDownTestSuite()
    {
        server.reset();
    }

    void SetUp() override
    {
        served = 0;
    }

    // One server for all cases: its end takes two seconds.
    static inline AK::Endpoint address;
    static inline std::atomic<int> served{0};
    static inline std::unique_ptr<LibHttp::HttpServer> server;
};

// The status of the answer, or 0 without one.
int answerTo(const AK::Endpoint &address, const std::string &request)
{
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    const AK::Milliseconds deadline = loop.clock().now() + callTimeout;
    auto channel = LibFiber::ByteChannel::connect(loop, scope, address, deadline);
    if (!channel.ok() || !(*channel)->write(scope, request, deadline).ok()) {
        return 0;
    }
    const auto head = LibHttpStream::readHeadText(**channel, scope, 65'536, deadline);
    const auto response = head.ok() ? LibHttpStream::parseResponseHead(*head) : head.status();
    return response.ok() ? response->status : 0;
}

class RequestFieldNameTest : public ServedRequests, public testing::WithParamInterface<std::tuple<Place, Loopback::InvalidFieldLine>>
{
};

// Guards against a request with a field whose name is none and that is served without this field, the fields after it or its body.
TEST_P(RequestFieldNameTest, IsNotServed)
{
    const auto &[place, invalid] = GetParam();
    const std::string line = invalid.line + "\r\n";
    const std::string fields = AK::concat("Host: h\r\n", invalid.framesBody ? "" : AK::concat("Content-Length: ", body.size(), "\r\n"));
    const std::string text =
        AK::concat("POST /services/s/x HTTP/1.1\r\n", place == Place::First ? line : "", fields, place == Place::Last ? line : "", "\r\n", body);
    EXPECT_EQ(answerTo(address, text), 400);
    EXPECT_EQ(served, 0);
}

INSTANTIATE_TEST_SUITE_P(Table, RequestFieldNameTest,
                         testing::Combine(testing::Values(Place::First, Place::Last), testing::ValuesIn(Loopback::invalidFieldLines(body.size()))),
                         [](const auto &info) { return AK::concat(AK::nameOf(placeNames, std::get<0>(info.param)), "_", std::get<1>(info.param).name); });

struct SoundRequestCase {
    const char *name;
    std::string text;
};

class SoundRequestTest : public ServedRequests, public testing::WithParamInterface<SoundRequestCase>
{
};

// Guards against a sound request that is refused for the form of its head.
TEST_P(SoundRequestTest, IsServed)
{
    EXPECT_EQ(answerTo(address, GetParam().text), 200);
    EXPECT_EQ(served, 1);
}

INSTANTIATE_TEST_SUITE_P(Table, SoundRequestTest,
                         testing::Values(SoundRequestCase{"usual", "GET / HTTP/1.1\r\nHost: h\r\nX-Odd: 1\r\n\r\n"},
                                         SoundRequestCase{"with_a_body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"},
                                         SoundRequestCase{"body_like_a_field", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n : 1\r\n\r\n"},
                                         SoundRequestCase{"no_blank", "GET / HTTP/1.1\r\nHost:h\r\nX-Odd:1\r\n\r\n"},
                                         SoundRequestCase{"no_value", "GET / HTTP/1.1\r\nHost: h\r\nX-Odd:\r\nX-Last: \r\n\r\n"},
                                         SoundRequestCase{"blanks_round_the_value", "GET / HTTP/1.1\r\nHost:   h  \r\nX-Odd:  a b  \r\n\r\n"},
                                         SoundRequestCase{"colons", "GET / HTTP/1.1\r\nHost: h:1\r\nX-Odd: :a:\r\n\r\n"},
                                         SoundRequestCase{"query", "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n"},
                                         SoundRequestCase{"old_version", "GET / HTTP/1.0\r\nX-Odd: 1\r\n\r\n"},
                                         SoundRequestCase{"no_fields", "GET / HTTP/1.0\r\n\r\n"}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
