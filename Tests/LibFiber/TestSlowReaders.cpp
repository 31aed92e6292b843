#include <LibFiber/Acceptor.h>
#include <LibFiber/ByteChannel.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace
{

using LibFiber::ByteChannel;
using LibFiber::Loop;

constexpr AK::Milliseconds stallTimeout = 500;
constexpr AK::Milliseconds timeout = 20'000;

struct ReaderCase {
    const char *name;
    /// Bytes that are sent.
    size_t size;
    /// Bytes that the reader takes at a time, and the pause after each.
    size_t step;
    AK::Milliseconds pause;
    /// Bytes after which it reads no more; 0 for never.
    size_t stopsAfter;
    bool completes;
};

class SlowReaderTest : public testing::TestWithParam<ReaderCase>
{
};

// Guards against readers that are cut off although they go on reading, because all they have to read was to be written within one timeout (review/10), and
// against readers that have stopped and hold the memory of the writer.
TEST_P(SlowReaderTest, IsServedForAsLongAsItReads)
{
    static uint16_t port = 17'860;
    const ReaderCase &row = GetParam();
    Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    const AK::Endpoint address{Loopback::processHost(), ++port};
    auto listener = LibFiber::listenOn(loop, address);
    ASSERT_TRUE(listener.ok()) << listener.status();
    // Segments and buffers as over a network; with those of loopback the kernel would hold most of what is sent.
    const int segment = 1'400;
    const int buffer = 32 << 10;
    (*listener)->setsockopt(IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    (*listener)->setsockopt(SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    auto writer = ByteChannel::connect(loop, scope, address, loop.clock().now() + timeout);
    ASSERT_TRUE(writer.ok()) << writer.status();
    auto reader = (*listener)->accept().wait(scope);
    size_t received = 0;
    kj::Promise<void> reading = loop.fiber([&](kj::WaitScope &inner) {
        std::string bytes(row.step, '\0');
        while (received < row.size && (row.stopsAfter == 0 || received < row.stopsAfter)) {
            received += reader->tryRead(bytes.data(), 1, bytes.size()).wait(inner);
            loop.sleep(inner, row.pause);
        }
    });
    const AK::Milliseconds startedAt = loop.clock().now();
    const absl::Status status = (*writer)->writeWhileRead(scope, std::string(row.size, 'x'), stallTimeout);
    EXPECT_EQ(status.ok(), row.completes) << status;
    EXPECT_EQ(absl::IsDeadlineExceeded(status), !row.completes) << status;
    EXPECT_TRUE(!row.completes || loop.clock().now() - startedAt > stallTimeout) << "the reader is not slow enough for the test";
    if (row.completes && status.ok()) {
        reading.wait(scope);
        EXPECT_EQ(received, row.size);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, SlowReaderTest,
                         testing::Values(ReaderCase{"slow", 3 << 20, 16 << 10, 10, 0, true}, ReaderCase{"slower", 3 << 20, 8 << 10, 10, 0, true},
                                         ReaderCase{"reads_nothing", 6 << 20, 4 << 10, 60'000, 1, false},
                                         ReaderCase{"stops_in_the_middle", 6 << 20, 16 << 10, 10, 1 << 20, false}),
                         [](const auto &info) { return info.param.name; });

} // namespace
