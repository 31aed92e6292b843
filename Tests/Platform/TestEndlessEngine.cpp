#include <LibHttpStream/MessageHead.h>
#include <LibJson/BoundedJson.h>
#include <Loopback/EndlessSender.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <platform/EngineClient.h>

namespace
{

using Loopback::EndlessSender;

constexpr uint16_t port = 17'936;
/// The time that the client gives the origin, the longer of the two, and until the call has ended.
constexpr AK::Milliseconds maxTime = 2'500 + 500;
/// Memory of a connection beside the body: the head, bytes read ahead and their copies.
constexpr size_t connectionBytes = 1UL << 20;
const std::string block(16'384, 'x');

struct Clients {
    explicit Clients(LibFiber::Loop &loop)
        : engine(loop, address, [] { return 16; })
        , origin(loop)
    {
    }

    AK::Endpoint address{Loopback::processHost(), port};
    Platform::EngineClient engine;
    Platform::OriginClient origin;
};

struct EndlessEngineCase {
    const char *name;
    std::function<absl::Status(Clients &, kj::WaitScope &)> call;
    Loopback::EndlessTraffic traffic;
    size_t bodyBytes;
};

const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessEngineCase> cases()
{
    const auto report = [](Clients &clients, kj::WaitScope &scope) {
        return clients.engine.status(scope).status();
    };
    const auto staged = [](Clients &clients, kj::WaitScope &scope) {
        return clients.engine.stagedChunk(scope, "m", 0).status();
    };
    const auto stage = [](Clients &clients, kj::WaitScope &scope) {
        return clients.engine.stageChunk(scope, "m", 0, "data");
    };
    const auto manifest = [](Clients &clients, kj::WaitScope &scope) {
        return clients.origin.manifestText(scope, clients.address, "m", 1).status();
    };
    const auto chunk = [](Clients &clients, kj::WaitScope &scope) {
        return clients.origin.chunk(scope, clients.address, "m", 1, 0).status();
    };
    const Loopback::EndlessTraffic head{"HTTP/1.1 200 OK\r\nX-More: ", block};
    const Loopback::EndlessTraffic body{chunked, LibHttpStream::encodeChunk(block)};
    const Loopback::EndlessTraffic trailers{chunked + "0\r\n", "X-More: y\r\n"};
    constexpr size_t largest = LibHttpStream::largestResponseBody;
    return {
        {"report_head", report, head, 0},
        {"report_body", report, body, LibJson::recordLimits.bytes},
        {"report_trailers", report, trailers, 0},
        {"staged_chunk_body", staged, body, largest},
        {"stage_answer_body", stage, body, largest},
        {"manifest_head", manifest, head, 0},
        {"manifest_body", manifest, body, LibJson::JsonLimits{}.bytes},
        {"manifest_trailers", manifest, trailers, 0},
        {"chunk_body", chunk, body, largest},
    };
}

class EndlessEngineTest : public testing::TestWithParam<EndlessEngineCase>
{
};

// Guards against an engine or an origin that sends bytes without end: its agent kept up to 16 MB of each, also where 64 KB are the most that it decodes.
TEST_P(EndlessEngineTest, EndsTheCallInTime)
{
    LibFiber::Loop loop;
    Clients clients(loop);
    const EndlessSender server(EndlessSender::Role::Server, clients.address, GetParam().traffic);
    const Loopback::MemoryGrowth growth;
    const AK::Milliseconds begin = loop.clock().now();
    absl::Status status;
    loop.fiber([&](kj::WaitScope &inner) { status = GetParam().call(clients, inner); }).wait(loop.rootScope());
    EXPECT_FALSE(status.ok());
    EXPECT_LT(loop.clock().now() - begin, maxTime);
    // The body and the copy to which it grows.
    EXPECT_LT(growth.largest(), 3 * GetParam().bodyBytes + connectionBytes);
    EXPECT_LE(server.bytesSent(), GetParam().bodyBytes + connectionBytes + EndlessSender::socketBytes);
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessEngineTest, testing::ValuesIn(cases()), [](const auto &info) { return std::string(info.param.name); });

} // namespace
