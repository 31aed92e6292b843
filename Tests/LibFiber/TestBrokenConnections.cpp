#include <LibFiber/Acceptor.h>
#include <LibFiber/ByteChannel.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using LibFiber::ByteChannel;
using LibFiber::Loop;

constexpr AK::Milliseconds timeout = 5'000;
// Time in which what the peer has sent arrives over loopback.
constexpr AK::Milliseconds arrivalTime = 20;

/// What is called between the end of the connection and the read that must see it.
enum class Between { Nothing, Write, TwoWrites, PeerHasClosed };

struct EndCase {
    const char *name;
    std::string bytes;
    /// The peer ends its side, and so says that no more bytes follow.
    bool finishes;
    bool resets;
    Between between;
    absl::StatusCode code;
};

class BrokenConnectionTest : public testing::TestWithParam<EndCase>
{
};

// Guards against a reset that a reader takes for the end of the stream: the kernel reports the error of a connection once, to whichever call comes first.
TEST_P(BrokenConnectionTest, IsSeenByTheReader)
{
    static uint16_t port = 17'830;
    const EndCase &row = GetParam();
    Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    const AK::Endpoint address{Loopback::processHost(), ++port};
    auto listener = LibFiber::listenOn(loop, address);
    ASSERT_TRUE(listener.ok()) << listener.status();
    const AK::Milliseconds deadline = loop.clock().now() + timeout;
    auto channel = ByteChannel::connect(loop, scope, address, deadline);
    ASSERT_TRUE(channel.ok()) << channel.status();
    auto peer = kj::heap<ByteChannel>(loop, (*listener)->accept().wait(scope));
    ASSERT_TRUE(row.bytes.empty() || peer->write(scope, row.bytes, deadline).ok());
    if (row.finishes) {
        peer->finishWriting();
    }
    if (row.resets) {
        loop.sleep(scope, arrivalTime);
        peer->resetOnClose();
        peer = nullptr;
    }
    loop.sleep(scope, arrivalTime);
    switch (row.between) {
    case Between::TwoWrites:
        EXPECT_FALSE((*channel)->write(scope, "upload", deadline).ok());
        [[fallthrough]];
    case Between::Write:
        EXPECT_EQ((*channel)->write(scope, "upload", deadline).ok(), !row.resets);
        break;
    case Between::PeerHasClosed:
        EXPECT_EQ((*channel)->peerHasClosed(), row.bytes.empty());
        break;
    case Between::Nothing:
        break;
    }
    if (!row.bytes.empty()) {
        ASSERT_TRUE((*channel)->fill(scope, deadline).ok()) << "bytes before the end are not lost";
        EXPECT_EQ((*channel)->buffered(), row.bytes);
    }
    EXPECT_EQ((*channel)->fill(scope, deadline).code(), row.code);
    EXPECT_TRUE((*channel)->ended());
}

constexpr absl::StatusCode clean = absl::StatusCode::kOutOfRange;
constexpr absl::StatusCode broken = absl::StatusCode::kUnavailable;

INSTANTIATE_TEST_SUITE_P(Table, BrokenConnectionTest,
                         testing::Values(EndCase{"finished", "part", true, false, Between::Nothing, clean},
                                         EndCase{"finished_and_write", "part", true, false, Between::Write, clean},
                                         EndCase{"reset", "part", false, true, Between::Nothing, broken},
                                         EndCase{"reset_and_write", "part", false, true, Between::Write, broken},
                                         EndCase{"reset_and_two_writes", "part", false, true, Between::TwoWrites, broken},
                                         EndCase{"reset_without_bytes_and_write", "", false, true, Between::Write, broken},
                                         EndCase{"reset_and_look", "part", false, true, Between::PeerHasClosed, broken},
                                         EndCase{"reset_without_bytes_and_look", "", false, true, Between::PeerHasClosed, broken},
                                         EndCase{"finished_and_reset", "part", true, true, Between::Nothing, clean},
                                         EndCase{"finished_and_reset_and_write", "part", true, true, Between::Write, clean},
                                         EndCase{"finished_and_reset_and_two_writes", "part", true, true, Between::TwoWrites, clean},
                                         EndCase{"finished_and_reset_without_bytes_and_look", "", true, true, Between::PeerHasClosed, clean}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
