#include <LibHttpStream/HttpClient.h>
#include <LibHttpStream/MessageHead.h>
#include <Loopback/EndlessSender.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using Loopback::EndlessSender;

constexpr uint16_t port = 17'820;
constexpr AK::Milliseconds callTimeout = 1'500;
/// Time from the deadline of a call until it has ended, and in which other work of the process runs.
constexpr AK::Milliseconds promptTime = 500;
constexpr size_t responseBodyBytes = 16UL << 20;
/// Memory of a connection beside the body: the head, bytes read ahead and their copies.
constexpr size_t connectionBytes = 1UL << 20;
constexpr size_t blockBytes = 16'384;

std::string repeated(std::string_view text, size_t count)
{
    std::string all;
    for (size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

const std::string ok = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = ok + "Transfer-Encoding: chunked\r\n\r\n";
const std::string block(blockBytes, 'x');

struct ServerCase {
    const char *name;
    Loopback::EndlessTraffic traffic;
    /// Bytes, beside those in the sockets, that may be taken from a connection.
    size_t takenBytes;
    /// The first response is sound, and the bytes follow while the connection is idle.
    bool sound = false;
};

class EndlessServerTest : public testing::TestWithParam<ServerCase>
{
};

// Guards against a store, an engine or an origin that sends bytes without end which are no response, or while a connection is idle: they filled the memory of
// the process, or kept its event loop busy past the deadline of the call.
TEST_P(EndlessServerTest, EndsTheCallInTime)
{
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    const AK::Endpoint address{Loopback::processHost(), port};
    const EndlessSender server(EndlessSender::Role::Server, address, GetParam().traffic);
    const Loopback::MemoryGrowth growth;
    LibHttpStream::HttpClient client(loop, address);
    AK::Milliseconds longestGap = 0;
    loop.spawn([&](kj::WaitScope &inner) {
        constexpr AK::Milliseconds interval = 10;
        while (true) {
            const AK::Milliseconds begin = loop.clock().now();
            loop.sleep(inner, interval);
            longestGap = std::max(longestGap, loop.clock().now() - begin);
        }
    });
    const AK::Milliseconds begin = loop.clock().now();
    absl::StatusOr<LibHttpStream::WholeResponse> response = absl::UnknownError("not called");
    loop.fiber([&](kj::WaitScope &inner) { response = client.call(inner, "GET", "/", "", begin + callTimeout, begin + callTimeout); }).wait(scope);
    EXPECT_LT(loop.clock().now() - begin, callTimeout + promptTime);
    EXPECT_EQ(response.ok(), GetParam().sound) << response.status();
    loop.sleep(scope, promptTime);
    EXPECT_LT(longestGap, promptTime) << "other work of the process stood still";
    EXPECT_LE(server.bytesSent(), GetParam().takenBytes + EndlessSender::socketBytes);
    EXPECT_TRUE(GetParam().sound || server.closedConnections() > 0) << "the connection is still open";
    // The body and the copy to which it grows.
    EXPECT_LT(growth.largest(), 3 * responseBodyBytes + connectionBytes);
    loop.cancelSpawned();
}

INSTANTIATE_TEST_SUITE_P(
    Table, EndlessServerTest,
    testing::Values(ServerCase{"head", {ok + "X-More: ", block}, connectionBytes}, ServerCase{"header_lines", {ok, "X-More: y\r\n"}, connectionBytes},
                    ServerCase{"empty_lines", {"", repeated("\r\n", 8'000)}, connectionBytes},
                    ServerCase{"informational", {"", repeated("HTTP/1.1 100 Continue\r\n\r\n", 600)}, connectionBytes, true},
                    ServerCase{"chunk_size", {chunkedHead, std::string(blockBytes, '0')}, connectionBytes},
                    ServerCase{"chunk_extensions", {chunkedHead, repeated("1;e=" + std::string(1'000, 'y') + "\r\nx\r\n", 16)}, connectionBytes},
                    ServerCase{"trailers", {chunkedHead + "0\r\n", repeated("X-More: y\r\n", 1'000)}, connectionBytes},
                    ServerCase{"body", {chunkedHead, LibHttpStream::encodeChunk(block)}, responseBodyBytes + connectionBytes},
                    ServerCase{"counted_body", {ok + "Content-Length: 1000000000000\r\n\r\n", block}, responseBodyBytes + connectionBytes},
                    ServerCase{"body_until_close", {ok + "\r\n", block}, responseBodyBytes + connectionBytes},
                    ServerCase{"idle", {ok + "Content-Length: 2\r\n\r\nok", block}, connectionBytes, true}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
