#include "GatewaySite.h"
#include <AK/Text.h>
#include <Gateway/SimpleHttpServer.h>
#include <Loopback/EndlessSender.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;
using Loopback::EndlessSender;

constexpr AK::Milliseconds callTimeout = 4'000;
/// A call of another client, which needs no waiting, ends within this time.
constexpr AK::Milliseconds promptTime = 1'000;
/// Memory of one connection beside its body: the head, bytes read ahead and their copies.
constexpr size_t connectionBytes = 1UL << 20;
constexpr size_t blockBytes = 16'384;
constexpr uint64_t maxBodyBytes = 256UL << 10;
constexpr uint16_t shortAnswersPort = 17'960;

/// `count` copies of a text.
std::string repeated(std::string_view text, size_t count)
{
    std::string all;
    for (size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

const std::string requestLine = "POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\n";
const std::string chunkedHead = requestLine + "X-Api-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string wholeRequest = requestLine + "X-Api-Key: k\r\nContent-Length: 3\r\n\r\nask";
const std::string unknownRequest = "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n";

struct ClientCase {
    const char *name;
    Loopback::EndlessTraffic traffic;
    /// Whether what is sent is no request, so that the connection is closed within `callTimeout`.
    bool closes;
    /// Bytes, beside those in the sockets, that may be taken from a connection that is closed.
    size_t takenBytes;
};

std::vector<ClientCase> clientCases()
{
    // A byte of a body in a chunk of its own takes at most this many bytes on the wire, with 16 for the size and its padding and without extensions.
    constexpr size_t wireBytesPerByte = 21;
    constexpr size_t body = wireBytesPerByte * maxBodyBytes + connectionBytes;
    const std::string block(blockBytes, 'x');
    return {
        {"head", {requestLine + "X-More: ", block}, true, connectionBytes},
        {"header_lines", {requestLine, repeated("X-More: y\r\n", 1'000)}, true, connectionBytes},
        {"empty_lines", {"", repeated("\r\n", 8'000)}, true, connectionBytes},
        {"chunk_size", {chunkedHead, std::string(blockBytes, '0')}, true, connectionBytes},
        {"chunk_extension", {chunkedHead + "1;", block}, true, connectionBytes},
        {"chunk_extensions", {chunkedHead, repeated("1;e=" + std::string(1'000, 'y') + "\r\nx\r\n", 16)}, true, connectionBytes},
        {"trailers", {chunkedHead + "0\r\n", repeated("X-More: y\r\n", 1'000)}, true, connectionBytes},
        {"body", {chunkedHead, LibHttpStream::encodeChunk(block)}, true, body},
        {"body_in_small_chunks", {chunkedHead, repeated("1\r\nx\r\n", 2'000)}, true, body},
        {"body_in_padded_chunks", {chunkedHead, repeated("1               \r\nx\r\n", 800)}, true, body},
        {"counted_body", {requestLine + "Content-Length: 1000000000000\r\n\r\n", block}, true, connectionBytes},
        {"bytes_behind_a_request", {wholeRequest, block}, true, connectionBytes},
        {"bytes_without_reading", {wholeRequest, block, false}, true, connectionBytes},
        {"requests", {"", repeated(unknownRequest, 200)}, false, 0},
        {"requests_without_reading", {"", repeated(unknownRequest, 200), false}, false, 0},
    };
}

class EndlessClientTest : public testing::TestWithParam<ClientCase>
{
public:
    ~EndlessClientTest() noexcept override = default;

protected:
    EndlessClientTest()
        : shortAnswers(this->site.loop, {this->site.address.host, shortAnswersPort}, [](const LibHttpStream::RequestHead &) {
            return Gateway::SimpleHttpResponse{200, "text/plain", "ok"};
        })
    {
        this->loop = &this->site.loop;
        this->site.configure(RouteKind::Idempotent, false, 2, callTimeout);
        LibFleet::Configuration configuration = *this->site.fleet.configuration();
        ++configuration.version;
        configuration.limits.bodyBytes = maxBodyBytes;
        this->site.fleet.setConfiguration(configuration);
    }

    /// Runs the loop until the clients are closed, or their time is over if they are none that are closed. Calls of another client go on meanwhile.
    void expectServiceBeside(const std::list<EndlessSender> &clients)
    {
        const AK::Milliseconds begin = this->site.loop.clock().now();
        const auto done = [&] {
            return std::all_of(clients.begin(), clients.end(), [](const EndlessSender &client) { return client.closedConnections() > 0; });
        };
        const AK::Milliseconds until = begin + (GetParam().closes ? callTimeout : promptTime);
        do {
            const AK::Milliseconds asked = this->site.loop.clock().now();
            EXPECT_EQ(this->site.call().status, 200);
            ASSERT_LT(this->site.loop.clock().now() - asked, promptTime) << "a call of another client";
        } while (!done() && this->site.loop.clock().now() < until);
        EXPECT_TRUE(done() || !GetParam().closes) << "a connection is still open";
    }

    LibFiber::Loop *loop = nullptr;
    GatewaySite site{{[this](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        writeResponse(scope, channel, *this->loop, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), 200, "hello", 5);
        return true;
    }}};
    Gateway::SimpleHttpServer shortAnswers;
};

// Guards against clients that send bytes without end: they filled the memory of the entry, or kept its event loop busy, and the calls of others ended with it.
TEST_P(EndlessClientTest, HarmsNoOtherClient)
{
    constexpr size_t clientCount = 4;
    const Loopback::MemoryGrowth growth;
    std::list<EndlessSender> clients;
    for (size_t i = 0; i < clientCount; ++i) {
        clients.emplace_back(EndlessSender::Role::Client, this->site.address, GetParam().traffic);
    }
    this->expectServiceBeside(clients);
    for (const EndlessSender &client : clients) {
        EXPECT_TRUE(!GetParam().closes || client.bytesSent() <= GetParam().takenBytes + EndlessSender::socketBytes) << client.bytesSent();
    }
    // A body is held once as it is read and once as it is sent.
    const size_t memoryBytes = clientCount * (2 * maxBodyBytes + connectionBytes);
    EXPECT_LT(growth.largest(), memoryBytes);
}

// The same for the ports of the directory, of readiness and of metrics.
TEST_P(EndlessClientTest, HarmsNoOtherClientOfTheShortAnswers)
{
    ASSERT_TRUE(this->shortAnswers.start().ok());
    const Loopback::MemoryGrowth growth;
    std::list<EndlessSender> clients;
    clients.emplace_back(EndlessSender::Role::Client, AK::Endpoint{this->site.address.host, shortAnswersPort}, GetParam().traffic);
    this->expectServiceBeside(clients);
    const size_t taken = GetParam().takenBytes + EndlessSender::socketBytes;
    EXPECT_TRUE(!GetParam().closes || clients.front().bytesSent() <= taken) << clients.front().bytesSent();
    EXPECT_LT(growth.largest(), 2 * connectionBytes);
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessClientTest, testing::ValuesIn(clientCases()), [](const auto &info) { return std::string(info.param.name); });

} // namespace
