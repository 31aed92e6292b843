#include <LibHttp/HttpClient.h>
#include <LibHttp/HttpServer.h>
#include <Loopback/EndlessPeer.h>
#include <Loopback/ProcessHost.h>
#include <atomic>
#include <gtest/gtest.h>

namespace
{

using Loopback::EndlessBytes;

constexpr AK::Milliseconds requestTimeout = 600;
// A thread that is ready to run may wait this long on a busy machine.
constexpr AK::Milliseconds schedulingMargin = 1'000;
// A client that is still read after this long is not cut off at all.
constexpr AK::Milliseconds clientLimit = 6'000;
constexpr AK::Milliseconds tricklePause = 20;
constexpr size_t headLimitBytes = size_t{16} << 10;
constexpr size_t bodyLimitBytes = size_t{64} << 10;
constexpr size_t discardLimitBytes = size_t{32} << 20;

const std::string block(size_t{16} << 10, 'x');
const std::string post = "POST /v1/completions HTTP/1.1\r\nHost: a\r\n";
const std::string chunkedPost = post + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &text)
{
    std::string all;
    while (all.size() < block.size()) {
        all += text;
    }
    return all;
}

struct RequestCase {
    const char *name;
    EndlessBytes bytes;
    size_t limitBytes;
    /// The request is whole before the bytes without end, and may be handled.
    bool whole = false;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const RequestCase &request, std::ostream *out)
{
    *out << request.name;
}

/// One server for all cases, because CivetWeb takes up to 2 s to stop.
class Server
{
public:
    Server()
        : server(this->address, {.threads = 8, .bodyBytes = bodyLimitBytes, .discardBytes = discardLimitBytes, .requestTimeout = requestTimeout},
                 [this](LibHttp::HttpExchange &exchange) {
                     ++this->handled;
                     exchange.respond(LibHttp::jsonResponse(200, "{}"));
                 })
    {
        EXPECT_TRUE(this->server.start().ok());
    }

    const AK::Endpoint address{Loopback::processHost(), 17'650};
    std::atomic<int> handled{0};

private:
    LibHttp::HttpServer server;
};

Server &sharedServer()
{
    static Server server;
    return server;
}

class EndlessRequestTest : public testing::TestWithParam<RequestCase>
{
};

// Guards against a client that sends bytes without end, fast or a few now and then, and so fills the memory of an entry or holds its threads. The calls, the
// operator API and the metrics are served by the same server.
TEST_P(EndlessRequestTest, IsCutOffByItsSizeOrByTheTimeout)
{
    Server &server = sharedServer();
    const int handledBefore = server.handled;
    const Loopback::EndlessResult result = Loopback::sendWithoutEnd(server.address, GetParam().bytes, clientLimit);
    EXPECT_TRUE(result.closed);
    EXPECT_LE(result.duration, requestTimeout + schedulingMargin);
    EXPECT_LE(result.bytes, GetParam().limitBytes + discardLimitBytes + Loopback::socketBufferBytes());
    EXPECT_TRUE(GetParam().whole || server.handled == handledBefore) << result.reply;
}

class LargeRequestTest : public testing::TestWithParam<size_t>
{
};

// Guards against a client that isn't told that its body is too large, because the server closes the connection while the body is still on its way.
TEST_P(LargeRequestTest, IsAnsweredWith413)
{
    LibHttp::HttpRequest request{.method = "POST", .path = "/", .body = std::string(bodyLimitBytes + GetParam(), 'x')};
    const auto response = LibHttp::httpCall(sharedServer().address, request, clientLimit);
    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_EQ(response->status, 413);
}

INSTANTIATE_TEST_SUITE_P(Table, LargeRequestTest, testing::Values(1, 1 << 20, 16 << 20));

INSTANTIATE_TEST_SUITE_P(
    Table, EndlessRequestTest,
    testing::Values(RequestCase{"request_line", {"POST /", block}, headLimitBytes}, RequestCase{"no_http", {"", block}, headLimitBytes},
                    RequestCase{"header_line", {post + "X-More: ", block}, headLimitBytes},
                    RequestCase{"headers", {post, repeated("X-More: y\r\n")}, headLimitBytes},
                    RequestCase{"head_trickle", {post + "X-More: ", "y", tricklePause}, headLimitBytes},
                    RequestCase{"headers_trickle", {post, "X-More: y\r\n", tricklePause}, headLimitBytes},
                    RequestCase{"empty_lines", {"", repeated("\r\n")}, headLimitBytes},
                    RequestCase{"empty_lines_trickle", {"", "\r\n", tricklePause}, headLimitBytes},
                    RequestCase{"chunk_size", {chunkedPost, std::string(block.size(), '0')}, bodyLimitBytes},
                    RequestCase{"chunk_extension", {chunkedPost + "5;", block}, bodyLimitBytes},
                    RequestCase{"chunks", {chunkedPost, "4000\r\n" + block + "\r\n"}, bodyLimitBytes},
                    RequestCase{"trailers", {chunkedPost + "2\r\n{}\r\n0\r\n", repeated("X-More: y\r\n")}, bodyLimitBytes, true},
                    RequestCase{"length", {post + "Content-Length: 1000000000000\r\n\r\n", block}, bodyLimitBytes},
                    RequestCase{"after_the_body", {post + "Content-Length: 2\r\n\r\n{}", block}, bodyLimitBytes, true},
                    RequestCase{"body_of_a_get", {"GET /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000\r\n\r\n", block}, bodyLimitBytes, true},
                    RequestCase{"chunk_trickle", {chunkedPost, "1\r\nx\r\n", tricklePause}, bodyLimitBytes},
                    RequestCase{"length_trickle", {post + "Content-Length: 10000\r\n\r\n", "x", tricklePause}, bodyLimitBytes}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
