#include <LibWeights/OriginRead.h>
#include <Loopback/EndlessPeer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using Loopback::EndlessBytes;

constexpr AK::Milliseconds readDeadline = 500;
// A thread that is ready to run may wait this long on a busy machine.
constexpr AK::Milliseconds schedulingMargin = 1'000;
// An origin that is still read after this long is not cut off at all.
constexpr AK::Milliseconds serverLimit = 6'000;
constexpr AK::Milliseconds tricklePause = 20;
constexpr size_t chunkBytes = size_t{1} << 20;

const std::string block(size_t{16} << 10, 'x');
const std::string startLine = "HTTP/1.1 206 Partial Content\r\n";

struct OriginCase {
    const char *name;
    EndlessBytes bytes;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const OriginCase &origin, std::ostream *out)
{
    *out << origin.name;
}

class EndlessOriginTest : public testing::TestWithParam<OriginCase>
{
};

// Guards against an origin that sends a chunk without end: its readers would pile up, each with a thread and what it has read, one more at each new try.
TEST_P(EndlessOriginTest, EndsTheReaderWithTheRead)
{
    static uint16_t port = 17'550;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    Loopback::EndlessServer server(address, GetParam().bytes, serverLimit);
    const auto read = LibWeights::readOriginRange(address, {.path = "/file"}, chunkBytes, readDeadline, [] { return false; });
    EXPECT_FALSE(read.ok());
    // The connection is that of the reader thread, which may live longer than the call.
    for (const Loopback::EndlessResult &result : server.results()) {
        EXPECT_TRUE(result.closed) << read.status();
        EXPECT_LE(result.duration, readDeadline + schedulingMargin) << read.status();
        EXPECT_LE(result.bytes, chunkBytes + Loopback::socketBufferBytes()) << read.status();
    }
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessOriginTest,
                         testing::Values(OriginCase{"head", {startLine + "X-More: ", block}},
                                         OriginCase{"head_trickle", {startLine + "X-More: ", "x", tricklePause}},
                                         OriginCase{"chunks", {startLine + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n"}},
                                         OriginCase{"chunk_trickle", {startLine + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", tricklePause}},
                                         OriginCase{"length", {startLine + "Content-Length: 1000000000000\r\n\r\n", block}},
                                         OriginCase{"length_trickle", {startLine + "Content-Length: 1000\r\n\r\n", "x", tricklePause}},
                                         OriginCase{"until_close", {startLine + "\r\n", block}}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
