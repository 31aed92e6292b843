#include <LibWire/RpcServer.h>
#include <Loopback/EndlessPeer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using Loopback::EndlessBytes;

// What a process of the site may take to see that bytes are no message, with the time that a thread may wait on a busy machine.
constexpr AK::Milliseconds refusalLimit = 2'000;
// A peer that is still read after this long is not cut off at all.
constexpr AK::Milliseconds peerLimit = 6'000;
constexpr size_t messageLimitBytes = size_t{16} << 20;

const std::string block(size_t{16} << 10, '\xff');

// The head of a message (Cap'n Proto, segment table): number of segments less one, size of the first in words, in little-endian order.
std::string segmentTable(uint32_t segmentsLessOne, uint32_t words)
{
    std::string table;
    for (const uint32_t number : {segmentsLessOne, words}) {
        for (int shift = 0; shift < 32; shift += 8) {
            table += static_cast<char>((number >> shift) & 0xffU);
        }
    }
    return table;
}

struct MessageCase {
    const char *name;
    EndlessBytes bytes;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const MessageCase &message, std::ostream *out)
{
    *out << message.name;
}

class EndlessMessageTest : public testing::TestWithParam<MessageCase>
{
};

// Guards against bytes without end on the RPC port that are no message or one message of any size: a process kept them before it knew who had sent them.
TEST_P(EndlessMessageTest, IsCutOffByItsSize)
{
    static uint16_t port = 17'700;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    const AK::SystemClock clock;
    auto keys = std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"k", "secret-secret-secret"}}, clock);
    LibWire::RpcServer server(address, keys, {}, 10);
    ASSERT_TRUE(server.start().ok());
    const Loopback::EndlessResult result = Loopback::sendWithoutEnd(address, GetParam().bytes, peerLimit);
    EXPECT_TRUE(result.closed);
    EXPECT_LE(result.duration, refusalLimit);
    EXPECT_LE(result.bytes, messageLimitBytes + Loopback::socketBufferBytes());
    server.stop();
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessMessageTest,
                         testing::Values(MessageCase{"garbage", {"", block}}, MessageCase{"many_segments", {segmentTable(400, 1), block}},
                                         MessageCase{"huge_segment", {segmentTable(0, 0x7fffffff), block}},
                                         MessageCase{"segment_above_the_limit", {segmentTable(0, (messageLimitBytes >> 3) + 1), block}}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
