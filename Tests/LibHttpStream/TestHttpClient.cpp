#include <LibFiber/Acceptor.h>
#include <LibHttpStream/HttpClient.h>
#include <LibHttpStream/MessageReader.h>
#include <gtest/gtest.h>

namespace
{

constexpr AK::Milliseconds timeout = 5'000;
constexpr uint16_t port = 17'801;

struct IdleCase {
    const char *name;
    AK::Milliseconds idleTimeout;
    int openAfterIdle;
};

class IdleTest : public testing::TestWithParam<IdleCase>
{
};

// Guards against idle connections that use up a server's connection limit: with one from each of 76 agents the weight origin reset every new connection.
TEST_P(IdleTest, ClosesIdleConnections)
{
    LibFiber::Loop loop;
    int open = 0;
    int requests = 0;
    auto receiver = LibFiber::listenOn(loop, {"127.0.0.1", port});
    ASSERT_TRUE(receiver.ok()) << receiver.status();
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
        ++open;
        LibFiber::ByteChannel channel(loop, kj::mv(stream));
        while (LibHttpStream::readHeadText(channel, scope, 65'536, loop.clock().now() + timeout).ok()) {
            ++requests;
            if (!channel.write(scope, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", loop.clock().now() + timeout).ok()) {
                break;
            }
        }
        --open;
    });
    LibHttpStream::HttpClientPool pool(loop, {"127.0.0.1", port}, GetParam().idleTimeout);
    kj::WaitScope &scope = loop.rootScope();
    for (int i = 0; i < 3; ++i) {
        const AK::Milliseconds deadline = loop.clock().now() + timeout;
        ASSERT_TRUE(pool.call(scope, "GET", "/", "", deadline, deadline).ok());
        EXPECT_EQ(open, 1) << "sequential calls share a connection";
    }
    loop.sleep(scope, 400);
    EXPECT_EQ(open, GetParam().openAfterIdle);
    const AK::Milliseconds deadline = loop.clock().now() + timeout;
    EXPECT_TRUE(pool.call(scope, "GET", "/", "", deadline, deadline).ok());
    EXPECT_EQ(requests, 4);
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, IdleTest, testing::Values(IdleCase{"kept", 0, 1}, IdleCase{"closed", 100, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
