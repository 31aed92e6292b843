#include <LibFiber/Acceptor.h>
#include <LibHttpStream/HttpClient.h>
#include <LibHttpStream/MessageReader.h>
#include <Loopback/ProcessHost.h>
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
    auto receiver = LibFiber::listenOn(loop, {Loopback::processHost(), port});
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
    LibHttpStream::HttpClientPool pool(loop, {Loopback::processHost(), port}, GetParam().idleTimeout);
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

struct StrayCase {
    const char *name;
    /// Time from the first response until the server writes it once more, in ms.
    AK::Milliseconds copyAfter;
    /// The server closes the connection instead.
    bool closes;
};

class StrayResponseTest : public testing::TestWithParam<StrayCase>
{
};

// Guards against a second copy of a response that is taken for the response to the next call, and against a call on a connection that the server has closed.
TEST_P(StrayResponseTest, IsNotReadByTheNextCall)
{
    LibFiber::Loop loop;
    int requests = 0;
    constexpr uint16_t strayPort = port + 1;
    auto receiver = LibFiber::listenOn(loop, {Loopback::processHost(), strayPort});
    ASSERT_TRUE(receiver.ok()) << receiver.status();
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
        LibFiber::ByteChannel channel(loop, kj::mv(stream));
        while (LibHttpStream::readHeadText(channel, scope, 65'536, loop.clock().now() + timeout).ok()) {
            const std::string response = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n", ++requests);
            EXPECT_TRUE(channel.write(scope, response, loop.clock().now() + timeout).ok());
            if (requests > 1) {
                continue;
            }
            if (GetParam().closes) {
                return;
            }
            loop.sleep(scope, GetParam().copyAfter);
            EXPECT_TRUE(channel.write(scope, response, loop.clock().now() + timeout).ok());
        }
    });
    LibHttpStream::HttpClientPool pool(loop, {Loopback::processHost(), strayPort});
    kj::WaitScope &scope = loop.rootScope();
    for (const char *body : {"1", "2", "3"}) {
        const AK::Milliseconds deadline = loop.clock().now() + timeout;
        const auto response = pool.call(scope, "GET", "/", "", deadline, deadline);
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->body, body);
        loop.sleep(scope, 60);
    }
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, StrayResponseTest,
                         testing::Values(StrayCase{"copy_at_once", 0, false}, StrayCase{"copy_while_idle", 20, false}, StrayCase{"closed_while_idle", 0, true}),
                         [](const auto &info) { return std::string(info.param.name); });

struct EndCase {
    const char *name;
    /// What the server writes before it closes the connection.
    std::string written;
    absl::StatusCode code;
};

class EndedCallTest : public testing::TestWithParam<EndCase>
{
};

// Guards against a connection that the server closed and that is taken for what a server says with a code of the same name: a store whose watch was closed had
// "forgotten its history".
TEST_P(EndedCallTest, ReportsTheEndAsDocumented)
{
    LibFiber::Loop loop;
    constexpr uint16_t endPort = port + 2;
    auto receiver = LibFiber::listenOn(loop, {Loopback::processHost(), endPort});
    ASSERT_TRUE(receiver.ok()) << receiver.status();
    LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
        LibFiber::ByteChannel channel(loop, kj::mv(stream));
        EXPECT_TRUE(LibHttpStream::readHeadText(channel, scope, 65'536, loop.clock().now() + timeout).ok());
        EXPECT_TRUE(channel.write(scope, GetParam().written, loop.clock().now() + timeout).ok());
    });
    LibHttpStream::HttpClient client(loop, {Loopback::processHost(), endPort});
    const AK::Milliseconds deadline = loop.clock().now() + timeout;
    EXPECT_EQ(client.call(loop.rootScope(), "GET", "/", "", deadline, deadline).status().code(), GetParam().code);
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(Table, EndedCallTest,
                         testing::Values(EndCase{"no_response", "", absl::StatusCode::kUnavailable},
                                         EndCase{"empty_line", "\r\n", absl::StatusCode::kUnavailable},
                                         EndCase{"part_of_the_head", "HTTP/1.1 2", absl::StatusCode::kInvalidArgument},
                                         EndCase{"part_of_the_body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", absl::StatusCode::kDataLoss}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
