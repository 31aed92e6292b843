#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttp/HttpClient.h>
#include <LibHttpStream/MessageReader.h>
#include <Loopback/ProcessHost.h>
#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace
{

constexpr AK::Milliseconds callTimeout = 1'000;

/// A server on a thread of its own that sends the first bytes of a response to each request and closes the connection.
class TornServer
{
public:
    TornServer(AK::Endpoint address, std::string response)
        : address(std::move(address))
        , response(std::move(response))
        , thread([this] { this->run(); })
    {
        while (!this->ready) {
            AK::SystemClock().sleep(1);
        }
    }

    ~TornServer()
    {
        this->stopping = true;
        this->thread.join();
    }

    TornServer(const TornServer &) = delete;
    TornServer &operator=(const TornServer &) = delete;

    std::atomic<size_t> sentBytes{0};

private:
    void run()
    {
        LibFiber::Loop loop;
        auto receiver = LibFiber::listenOn(loop, this->address);
        ASSERT_TRUE(receiver.ok()) << receiver.status();
        LibFiber::acceptEach(loop, kj::mv(*receiver), [&](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) {
            LibFiber::ByteChannel channel(loop, kj::mv(stream));
            const AK::Milliseconds deadline = loop.clock().now() + callTimeout;
            if (LibHttpStream::readHeadText(channel, scope, 65'536, deadline).ok() && this->sentBytes > 0) {
                (void)channel.write(scope, this->response.substr(0, this->sentBytes), deadline);
            }
        });
        this->ready = true;
        while (!this->stopping) {
            loop.sleep(loop.rootScope(), 1);
        }
        loop.cancelSpawned();
    }

    AK::Endpoint address;
    std::string response;
    std::atomic<bool> ready{false};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

struct TornHeadCase {
    const char *name;
    std::string headers;
};

class TornHeadTest : public testing::TestWithParam<TornHeadCase>
{
};

// Guards against an upstream that stops inside the head of its response and closes, and is taken for one with a short or empty body.
TEST_P(TornHeadTest, IsNoResponse)
{
    static uint16_t port = 17'970;
    const AK::Endpoint address{Loopback::processHost(), ++port};
    const std::string head = AK::concat("HTTP/1.1 200 OK\r\n", GetParam().headers, "X-Last: 1\r\n\r\n");
    TornServer server(address, head);
    LibHttp::HttpRequest request;
    request.method = "GET";
    request.path = "/";
    for (size_t bytes = 0; bytes < head.size(); ++bytes) {
        server.sentBytes = bytes;
        const auto response = LibHttp::httpCall(address, request, callTimeout, 1'000);
        EXPECT_FALSE(response.ok()) << "cut at " << bytes << ": status " << response->status;
    }
}

INSTANTIATE_TEST_SUITE_P(Table, TornHeadTest,
                         testing::Values(TornHeadCase{"length", "Content-Length: 5\r\n"}, TornHeadCase{"chunks", "Transfer-Encoding: chunked\r\n"},
                                         TornHeadCase{"connection_end", ""}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
