#include "../FaultProxy.h"

#include <AK/Text.h>
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

// Opens one connection through the proxy and holds both of its ends.
class FaultProxyTest : public testing::Test
{
protected:
    void SetUp() override
    {
        const int process = getpid();
        const std::string host = AK::concat("127.", 1 + process / 250 % 250, ".", 1 + process % 250, ".1");
        this->acceptor = this->open(host, 7400);
        ASSERT_EQ(bind(this->acceptor, reinterpret_cast<sockaddr *>(&this->address), sizeof(this->address)), 0);
        ASSERT_EQ(listen(this->acceptor, 8), 0);
        this->proxy = std::make_unique<FaultProxy>(AK::Endpoint{host, 7401}, AK::Endpoint{host, 7400}, 0, this->clock);
        ASSERT_TRUE(this->proxy->start().ok());
        this->client = this->open(host, 7401);
        ASSERT_EQ(connect(this->client, reinterpret_cast<sockaddr *>(&this->address), sizeof(this->address)), 0);
        this->target = accept(this->acceptor, nullptr, nullptr);
        // Once a byte has arrived, the proxy has set the connection up.
        EXPECT_EQ(exchange(this->target, this->client, "x"), "x");
    }

    void TearDown() override
    {
        this->proxy->stop();
        for (const int socket : {this->client, this->target, this->acceptor}) {
            close(socket);
        }
    }

    int open(const std::string &host, uint16_t port)
    {
        this->address = {};
        this->address.sin_family = AF_INET;
        this->address.sin_port = htons(port);
        inet_pton(AF_INET, host.c_str(), &this->address.sin_addr);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const int yes = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        return socket;
    }

    // Receives `size` bytes, fewer when nothing arrives for `waitMs`; "(end)" is appended when the connection is closed.
    static std::string receive(int socket, size_t size, int waitMs = 5'000)
    {
        std::string data;
        while (data.size() < size) {
            pollfd waiting{socket, POLLIN, 0};
            if (poll(&waiting, 1, waitMs) == 0) {
                return data;
            }
            std::string part(size - data.size(), '\0');
            const ssize_t received = recv(socket, part.data(), part.size(), 0);
            if (received <= 0) {
                return data + "(end)";
            }
            data.append(part, 0, static_cast<size_t>(received));
        }
        return data;
    }

    static std::string exchange(int from, int to, const std::string &data, int waitMs = 5'000)
    {
        EXPECT_EQ(send(from, data.data(), data.size(), MSG_NOSIGNAL), static_cast<ssize_t>(data.size()));
        return receive(to, data.size(), waitMs);
    }

    AK::SystemClock clock;
    sockaddr_in address{};
    std::unique_ptr<FaultProxy> proxy;
    int acceptor = -1;
    int client = -1;
    int target = -1;
};

// Guards against a proxy that changes bytes without a fault.
TEST_F(FaultProxyTest, PassAndDelayKeepBytes)
{
    EXPECT_EQ(exchange(this->client, this->target, "request"), "request");
    this->proxy->setFault({FaultMode::Delay, 5, 0, 0});
    EXPECT_EQ(exchange(this->target, this->client, "answer"), "answer");
}

// Guards against a cut that comes too early, too late or not at all.
TEST_F(FaultProxyTest, CutEndsTheConnectionAfterTheBytes)
{
    this->proxy->setFault({FaultMode::Cut, 0, 3, 0});
    EXPECT_EQ(exchange(this->target, this->client, "answer"), "ans(end)");
}

// Guards against a cut that leaves idle connections open.
TEST_F(FaultProxyTest, CutWithoutBytesEndsIdleConnections)
{
    this->proxy->setFault({FaultMode::Cut, 0, 0, 0});
    EXPECT_EQ(receive(this->client, 1), "(end)");
    EXPECT_EQ(receive(this->target, 1), "(end)");
}

// Guards against a stall that loses bytes or does not end with the fault.
TEST_F(FaultProxyTest, StallHoldsBytesUntilItEnds)
{
    this->proxy->setFault({FaultMode::Stall, 0, 3, 0});
    EXPECT_EQ(exchange(this->target, this->client, "answer", 50), "ans");
    this->proxy->setFault({FaultMode::Pass, 0, 0, 0});
    EXPECT_EQ(receive(this->client, 3), "wer");
}

// Guards against a half-open connection whose client still receives bytes or the close.
TEST_F(FaultProxyTest, HalfOpenDiscardsBytesAndTheClose)
{
    this->proxy->setFault({FaultMode::HalfOpen, 0, 0, 0});
    EXPECT_EQ(exchange(this->target, this->client, "answer", 50), "");
    shutdown(this->target, SHUT_WR);
    EXPECT_EQ(receive(this->client, 1, 50), "");
}

// Guards against corruption that changes no bit or more than one.
TEST_F(FaultProxyTest, CorruptFlipsOneBitFromTheTarget)
{
    this->proxy->setFault({FaultMode::Corrupt, 0, 2, 0});
    EXPECT_EQ(exchange(this->target, this->client, "aaaa"), "aa`a");
    EXPECT_EQ(exchange(this->client, this->target, "aaaa"), "aaaa");
}

// Guards against a misspelt fault that is accepted, so that a measurement runs without it.
TEST(Fault, IsParsedOrRejected)
{
    EXPECT_TRUE(parseFault(R"({"mode":"half_open","after_bytes":7})").ok());
    for (const char *text : {"", "{}", R"({"mode":"halfopen"})", R"({"mode":"delay","delay_ms":-1})", R"({"mode":"cut","after_bytes":"3"})"}) {
        EXPECT_FALSE(parseFault(text).ok()) << text;
    }
}

} // namespace
