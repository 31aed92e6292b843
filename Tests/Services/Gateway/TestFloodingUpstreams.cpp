#include "GatewaySite.h"
#include <AK/Text.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::RouteKind;

constexpr AK::Milliseconds callTimeout = 3'000;
constexpr AK::Milliseconds testTimeout = 8'000;
// Within this time of its timeout each call must be answered, and with it every other call.
constexpr AK::Milliseconds longestPause = 500;
constexpr int events = 6;
constexpr size_t blockBytes = 16'384;

enum class Path {
    /// The flood is the first response.
    First,
    /// Another upstream has broken off after three events.
    Resumed,
    /// After three events and a silence, while another upstream is tried.
    Probed,
    /// A response that is no stream.
    Plain,
};

struct Pattern {
    const char *name;
    std::string text;
    /// Each repetition is a chunk of its own.
    bool inChunks;
};

std::string eventText(int id)
{
    return AK::concat("id: ", id, "\ndata: word ", id, "\n\n");
}

class FloodingUpstreamTest : public testing::TestWithParam<std::tuple<std::pair<const char *, Path>, Pattern>>
{
protected:
    Path path() const
    {
        return std::get<0>(GetParam()).second;
    }

    bool respond(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head)
    {
        const std::string startLine =
            AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), "\r\nX-Server-Seal: seal\r\n");
        const std::string streamHead = startLine + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        const bool isFirst = LibHttpStream::findHeader(head.headers, "Last-Event-Id") == nullptr;
        std::string threeEvents = streamHead;
        for (int event = 1; event <= 3; ++event) {
            threeEvents += LibHttpStream::encodeChunk(eventText(event));
        }
        switch (this->path()) {
        case Path::Plain:
            return this->flood(scope, channel, startLine + "Transfer-Encoding: chunked\r\n\r\n");
        case Path::First:
            return this->flood(scope, channel, streamHead);
        case Path::Resumed:
            return isFirst ? channel.write(scope, threeEvents, this->deadline()).ok() && false : this->flood(scope, channel, streamHead);
        case Path::Probed:
            break;
        }
        if (!isFirst) {
            // Is slow, so that the call looks at both.
            this->site->loop.sleep(scope, callTimeout);
            return false;
        }
        if (!channel.write(scope, threeEvents, this->deadline()).ok()) {
            return false;
        }
        this->site->loop.sleep(scope, 2'000);
        return this->flood(scope, channel, "");
    }

    bool flood(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const std::string &start)
    {
        const Pattern &pattern = std::get<1>(GetParam());
        std::string block;
        while (block.size() < blockBytes) {
            block += pattern.inChunks ? LibHttpStream::encodeChunk(pattern.text) : pattern.text;
        }
        if (!pattern.inChunks) {
            block = LibHttpStream::encodeChunk(block);
        }
        bool ok = channel.write(scope, start, this->deadline()).ok();
        while (ok) {
            ok = channel.write(scope, block, this->deadline()).ok();
        }
        return false;
    }

    AK::Milliseconds deadline() const
    {
        return this->site->loop.clock().now() + testTimeout;
    }

    std::unique_ptr<GatewaySite> site;
};

// Guards against an upstream that keeps an entry from all its other clients with bytes of which no events come, or thousands of tiny ones (seen for seconds:
// each piece was searched together with all bytes before it, and the pieces of a buffer were read without a turn for others), and against a call that goes on
// past its deadline as long as such bytes come.
TEST_P(FloodingUpstreamTest, LeavesTheLoopToOthers)
{
    const UpstreamScript script = [this](auto &scope, auto &channel, const auto &head, const auto &) {
        return this->respond(scope, channel, head);
    };
    this->site = std::make_unique<GatewaySite>(std::vector<UpstreamScript>{script, script});
    LibFiber::Loop &loop = this->site->loop;
    this->site->configure(this->path() == Path::Plain ? RouteKind::Idempotent : RouteKind::Stream, this->path() != Path::Plain, 2, callTimeout);
    AK::Milliseconds lastTurnAt = loop.clock().now();
    AK::Milliseconds longest = 0;
    loop.spawn([&](kj::WaitScope &scope) {
        while (true) {
            loop.sleep(scope, 5);
            longest = std::max(longest, loop.clock().now() - lastTurnAt);
            lastTurnAt = loop.clock().now();
        }
    });
    constexpr int calls = 4;
    int ended = 0;
    AK::Milliseconds longestCall = 0;
    for (int i = 0; i < calls; ++i) {
        loop.spawn([&, i](kj::WaitScope &scope) {
            const AK::Milliseconds startedAt = loop.clock().now();
            this->site->callFrom(scope, {{"X-Attempt-Id", AK::concat("a", i)}, {"X-Deadline-Ms", std::to_string(callTimeout)}});
            longestCall = std::max(longestCall, loop.clock().now() - startedAt);
            ++ended;
        });
    }
    while (ended < calls) {
        loop.sleep(loop.rootScope(), 1);
    }
    EXPECT_LT(longest, longestPause) << "between two turns of a timer";
    EXPECT_LT(longestCall, callTimeout + longestPause);
}

INSTANTIATE_TEST_SUITE_P(Table, FloodingUpstreamTest,
                         testing::Combine(testing::Values(std::pair{"first", Path::First}, std::pair{"resumed", Path::Resumed},
                                                          std::pair{"probed", Path::Probed}, std::pair{"plain", Path::Plain}),
                                          testing::Values(Pattern{"lines", "y\r\n", true}, Pattern{"bytes", "y", true}, Pattern{"comments", ":\n\n", true},
                                                          Pattern{"tiny_events", "id:\n\n", false}, Pattern{"empty_lines", "\n", false})),
                         [](const auto &info) { return AK::concat(std::get<0>(info.param).first, "_", std::get<1>(info.param).name); });

} // namespace
