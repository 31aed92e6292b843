#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <stdexcept>

namespace
{

constexpr AK::Milliseconds callTimeout = 5'000;

struct ThrowCase {
    const char *name;
    /// The handler has begun a streamed response before it throws.
    bool begun;
    int status;
};

class ThrowingHandlerTest : public testing::TestWithParam<ThrowCase>
{
};

// Guards against an exception of a handler that passes through the web server, which is written in C, and ends the process with all its requests.
TEST_P(ThrowingHandlerTest, LeavesTheServerRunning)
{
    static uint16_t port = 17'950;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    LibHttp::HttpServer server(address, {}, [](LibHttp::HttpExchange &exchange) {
        if (exchange.request().path == "/sound") {
            exchange.respond(LibHttp::jsonResponse(200, "{}"));
            return;
        }
        if (GetParam().begun) {
            exchange.beginStream(200, {});
            exchange.writeChunk("part");
        }
        throw std::out_of_range("thrown by the test");
    });
    ASSERT_TRUE(server.start().ok());
    LibHttp::HttpRequest request;
    request.method = "GET";
    request.path = "/throws";
    const auto response = LibHttp::httpCall(address, request, callTimeout, 1'000);
    EXPECT_EQ(response.ok() ? response->status : 0, GetParam().status) << "a response that has begun must not look complete";
    request.path = "/sound";
    const auto next = LibHttp::httpCall(address, request, callTimeout, 1'000);
    ASSERT_TRUE(next.ok()) << next.status();
    EXPECT_EQ(next->status, 200);
    EXPECT_TRUE(server.waitIdle(AK::SystemClock(), callTimeout));
}

INSTANTIATE_TEST_SUITE_P(Table, ThrowingHandlerTest, testing::Values(ThrowCase{"before_the_response", false, 500}, ThrowCase{"in_a_stream", true, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
