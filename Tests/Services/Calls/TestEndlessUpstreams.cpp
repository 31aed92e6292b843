#include "Site.h"

#include <Loopback/EndlessPeer.h>
#include <Loopback/ProcessHost.h>
#include <Services/Agent/HttpUpstream.h>
#include <Services/Agent/UpstreamCall.h>
#include <sys/resource.h>
#include <thread>

namespace
{

using Agent::ResponsePart;
using Loopback::EndlessBytes;

constexpr AK::Milliseconds callTimeout = 600;
constexpr AK::Milliseconds longCallTimeout = 60'000;
// A thread that is ready to run may wait this long on a busy machine.
constexpr AK::Milliseconds schedulingMargin = 1'000;
// An upstream that is still read after this long is not cut off at all.
constexpr AK::Milliseconds serverLimit = 6'000;
constexpr AK::Milliseconds tricklePause = 20;
constexpr size_t headLimitBytes = size_t{16} << 10;
constexpr size_t lineLimitBytes = size_t{1} << 20;
constexpr size_t bodyLimitBytes = size_t{8} << 20;

const std::string block(size_t{16} << 10, 'x');
const std::string blockChunk = "4000\r\n" + block + "\r\n";
const std::string startLine = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = startLine + "Transfer-Encoding: chunked\r\n\r\n";
const std::string commentChunk = "8\r\n: busy\n\n\r\n";

std::string manyComments()
{
    std::string text;
    while (text.size() < block.size()) {
        text += commentChunk;
    }
    return text;
}

// The longest body, twice while it is copied to a larger buffer, and what the allocator keeps.
constexpr size_t residentLimitBytes = 3 * bodyLimitBytes;

size_t peakResidentBytes()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return static_cast<size_t>(usage.ru_maxrss) << 10;
}

struct UpstreamCase {
    const char *name;
    EndlessBytes bytes;
    /// An engine whose answer is asked for as a stream; otherwise a plain service.
    bool engine;
    /// What the agent may have taken, without the buffers of the sockets. Comments are read to the deadline and not kept.
    size_t limitBytes;
};

// GoogleTest requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const UpstreamCase &upstream, std::ostream *out)
{
    *out << upstream.name;
}

class EndlessUpstreamTest : public testing::TestWithParam<UpstreamCase>
{
protected:
    /// Runs a call on a thread of its own, as the agent does.
    void startCall(AK::Milliseconds timeout)
    {
        static uint16_t port = 17'600;
        const AK::Endpoint address{Loopback::processHost(), ++port};
        this->server = std::make_unique<Loopback::EndlessServer>(address, GetParam().bytes, serverLimit);
        this->upstream = std::make_unique<Agent::HttpUpstream>(address);
        Agent::UpstreamRequest request;
        request.engine = GetParam().engine;
        request.stream = GetParam().engine;
        request.timeout = timeout;
        this->call = std::make_unique<Agent::UpstreamCall>(*this->upstream, std::move(request), nullptr);
        this->peakBefore = peakResidentBytes();
        this->startedAt = this->clock.now();
        this->reader = std::thread([this] { this->call->run(); });
    }

    void expectClosedWithin(AK::Milliseconds limit)
    {
        this->reader.join();
        EXPECT_LE(this->clock.now() - this->startedAt, limit);
        EXPECT_LE(peakResidentBytes() - this->peakBefore, residentLimitBytes);
        for (const Loopback::EndlessResult &result : this->server->results()) {
            EXPECT_TRUE(result.closed);
            EXPECT_LE(result.bytes, GetParam().limitBytes + Loopback::socketBufferBytes());
        }
    }

    AK::SystemClock clock;
    std::unique_ptr<Loopback::EndlessServer> server;
    std::unique_ptr<Agent::HttpUpstream> upstream;
    std::unique_ptr<Agent::UpstreamCall> call;
    std::thread reader;
    AK::Milliseconds startedAt = 0;
    size_t peakBefore = 0;
};

// Guards against an upstream that sends bytes without end and so fills the memory of its agent, or holds a thread and a slot beyond the deadline of the call.
TEST_P(EndlessUpstreamTest, LosesTheCallAtItsLimits)
{
    this->startCall(callTimeout);
    this->expectClosedWithin(callTimeout + schedulingMargin);
}

// Guards against an upstream that goes on sending what is not forwarded after its caller has left, and so holds a thread and a slot until the deadline, which
// may be an hour away.
TEST_P(EndlessUpstreamTest, IsClosedWhenTheCallIsCancelled)
{
    constexpr AK::Milliseconds callerStays = 300;
    this->startCall(longCallTimeout);
    this->clock.sleep(callerStays);
    this->call->cancel();
    this->expectClosedWithin(callerStays + schedulingMargin);
}

constexpr size_t unkeptBytes = size_t{1} << 40;

INSTANTIATE_TEST_SUITE_P(Table, EndlessUpstreamTest,
                         testing::Values(UpstreamCase{"trailers", {chunkedHead + "0\r\n", "X-More: y\r\n"}, false, headLimitBytes},
                                         UpstreamCase{"chunk_size", {chunkedHead, std::string(block.size(), '0')}, true, headLimitBytes},
                                         UpstreamCase{"body", {chunkedHead, blockChunk}, false, bodyLimitBytes},
                                         UpstreamCase{"body_trickle", {chunkedHead, "1\r\nx\r\n", tricklePause}, false, bodyLimitBytes},
                                         UpstreamCase{"event", {chunkedHead + "6\r\ndata: \r\n", blockChunk}, true, lineLimitBytes},
                                         UpstreamCase{"event_trickle", {chunkedHead + "6\r\ndata: \r\n", "1\r\nx\r\n", tricklePause}, true, lineLimitBytes},
                                         UpstreamCase{"comments", {chunkedHead, manyComments()}, true, unkeptBytes},
                                         UpstreamCase{"comments_trickle", {chunkedHead, commentChunk, tricklePause}, true, lineLimitBytes}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
