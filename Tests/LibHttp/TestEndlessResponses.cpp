#include <LibHttp/HttpClient.h>
#include <Loopback/EndlessPeer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

constexpr AK::Milliseconds callTimeout = 600;
// A thread that is ready to run may wait this long on a busy machine.
constexpr AK::Milliseconds schedulingMargin = 1'000;
// A server that is still read after this long is not cut off at all.
constexpr AK::Milliseconds serverLimit = 6'000;
constexpr size_t headLimitBytes = size_t{16} << 10;
constexpr size_t bodyLimitBytes = size_t{1} << 20;
constexpr size_t blockBytes = size_t{16} << 10;
constexpr AK::Milliseconds tricklePause = 20;

const std::string startLine = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = startLine + "Transfer-Encoding: chunked\r\n\r\n";
const std::string block(blockBytes, 'x');
const std::string blockChunk = "4000\r\n" + block + "\r\n";

std::string repeated(const std::string &text)
{
    std::string all;
    while (all.size() < blockBytes) {
        all += text;
    }
    return all;
}

struct ResponseCase {
    const char *name;
    Loopback::EndlessBytes bytes;
    /// What the caller may have taken, without the buffers of the sockets.
    size_t limitBytes;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const ResponseCase &response, std::ostream *out)
{
    *out << response.name;
}

class EndlessResponseTest : public testing::TestWithParam<ResponseCase>
{
};

// Guards against a server that sends bytes without end, fast or a few now and then, and so fills the memory of its caller or holds the calling thread.
TEST_P(EndlessResponseTest, IsCutOffByItsSizeOrByTheTimeout)
{
    static uint16_t port = 17'400;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    const AK::SystemClock clock;
    Loopback::EndlessServer server(address, GetParam().bytes, serverLimit);
    const AK::Milliseconds started = clock.now();
    const auto response = LibHttp::httpCall(address, {}, callTimeout, bodyLimitBytes);
    EXPECT_FALSE(response.ok());
    EXPECT_LE(clock.now() - started, callTimeout + schedulingMargin) << response.status();
    for (const Loopback::EndlessResult &result : server.results()) {
        EXPECT_TRUE(result.closed) << response.status();
        EXPECT_LE(result.bytes, GetParam().limitBytes + Loopback::socketBufferBytes()) << response.status();
    }
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessResponseTest,
                         testing::Values(ResponseCase{"head_line", {startLine + "X-More: ", block}, headLimitBytes},
                                         ResponseCase{"headers", {startLine, repeated("X-More: y\r\n")}, headLimitBytes},
                                         ResponseCase{"status_line", {"HTTP/1.1 200 ", block}, headLimitBytes},
                                         ResponseCase{"empty_lines", {"", repeated("\r\n")}, headLimitBytes},
                                         ResponseCase{"informational_heads", {"", repeated("HTTP/1.1 100 Continue\r\n\r\n")}, headLimitBytes},
                                         ResponseCase{"informational_trickle", {"", "HTTP/1.1 100 Continue\r\n\r\n", tricklePause}, headLimitBytes},
                                         ResponseCase{"no_http", {"", block}, headLimitBytes},
                                         ResponseCase{"head_trickle", {startLine, "x", tricklePause}, headLimitBytes},
                                         ResponseCase{"chunk_size", {chunkedHead, std::string(blockBytes, '0')}, headLimitBytes},
                                         ResponseCase{"chunk_extension", {chunkedHead + "5;", block}, headLimitBytes},
                                         ResponseCase{"trailers", {chunkedHead + "0\r\n", repeated("X-More: y\r\n")}, headLimitBytes},
                                         ResponseCase{"trailer_trickle", {chunkedHead + "0\r\n", "X-More: y\r\n", tricklePause}, headLimitBytes},
                                         ResponseCase{"chunks", {chunkedHead, blockChunk}, bodyLimitBytes},
                                         ResponseCase{"one_chunk", {chunkedHead + "7fffffff\r\n", block}, bodyLimitBytes},
                                         ResponseCase{"chunk_trickle", {chunkedHead, "1\r\nx\r\n", tricklePause}, bodyLimitBytes},
                                         ResponseCase{"length", {startLine + "Content-Length: 1000000000000\r\n\r\n", block}, bodyLimitBytes},
                                         ResponseCase{"length_trickle", {startLine + "Content-Length: 1000\r\n\r\n", "x", tricklePause}, bodyLimitBytes},
                                         ResponseCase{"until_close", {startLine + "\r\n", block}, bodyLimitBytes},
                                         ResponseCase{"until_close_trickle", {startLine + "\r\n", "x", tricklePause}, bodyLimitBytes}),
                         [](const auto &info) { return std::string(info.param.name); });

/// How a body is read line by line.
struct LineCase {
    const char *name;
    Loopback::EndlessBytes bytes;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const LineCase &lines, std::ostream *out)
{
    *out << lines.name;
}

class EndlessLineTest : public testing::TestWithParam<LineCase>
{
};

// Guards against a line without end, and lines without end, that are read for longer than the call may take.
TEST_P(EndlessLineTest, EndsByItsSizeOrByTheTimeout)
{
    static uint16_t port = 17'450;
    constexpr size_t lineLimitBytes = size_t{1} << 20;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    const AK::SystemClock clock;
    Loopback::EndlessServer server(address, GetParam().bytes, serverLimit);
    const AK::Milliseconds started = clock.now();
    size_t longest = 0;
    {
        auto stream = LibHttp::HttpStream::open(address, {}, callTimeout);
        ASSERT_TRUE(stream.ok()) << stream.status();
        auto line = (*stream)->readLine();
        for (; line.ok() && *line; line = (*stream)->readLine()) {
            longest = std::max(longest, (*line)->size());
        }
        EXPECT_FALSE(line.ok());
    }
    EXPECT_LE(longest, lineLimitBytes);
    EXPECT_LE(clock.now() - started, callTimeout + schedulingMargin);
    for (const Loopback::EndlessResult &result : server.results()) {
        EXPECT_TRUE(result.closed);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessLineTest,
                         testing::Values(LineCase{"one_line", {chunkedHead, blockChunk}},
                                         LineCase{"one_line_trickle", {chunkedHead, "1\r\nx\r\n", tricklePause}},
                                         LineCase{"lines", {chunkedHead, "8\r\n: busy\n\n\r\n"}},
                                         LineCase{"lines_trickle", {chunkedHead, "8\r\n: busy\n\n\r\n", tricklePause}}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
