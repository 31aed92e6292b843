#include "GatewaySite.h"
#include <AK/Text.h>
#include <Loopback/EndlessSender.h>
#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <optional>

namespace
{

using LibFleet::RouteKind;
using LibHttpStream::BodyShare;
using Loopback::EndlessSender;

constexpr AK::Milliseconds callTimeout = 4'000;
constexpr size_t blockBytes = 16'384;
/// Memory of one connection beside its body: the head, bytes read ahead and their copies.
constexpr size_t connectionBytes = 1UL << 20;
const std::string requestHead = "POST /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Api-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A request with this header gets a response without end.
const std::string endlessHeader = "X-Endless";

enum class EndlessSide { Clients, Upstreams };

struct ManyBodiesCase {
    const char *name;
    EndlessSide side;
    size_t count;
};

class ManyBodiesTest : public testing::TestWithParam<ManyBodiesCase>
{
public:
    ~ManyBodiesTest() noexcept override = default;

protected:
    ManyBodiesTest()
    {
        this->site.configure(RouteKind::Idempotent, false, 1, callTimeout);
    }

    bool respond(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head)
    {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        if (LibHttpStream::findHeader(head.headers, endlessHeader) == nullptr) {
            writeResponse(scope, channel, this->site.loop, id, 200, "hello", 5);
            return true;
        }
        const AK::Milliseconds deadline = this->site.loop.clock().now() + callTimeout;
        const std::string start = AK::concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id, "\r\nX-Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n");
        const std::string chunk = LibHttpStream::encodeChunk(std::string(blockBytes, 'x'));
        for (bool ok = channel.write(scope, start, deadline).ok(); ok;) {
            ok = channel.write(scope, chunk, deadline).ok();
        }
        return false;
    }

    /// Starts the endless bodies. The function that is returned tells whether all have ended.
    std::function<bool()> sendEndlessBodies()
    {
        for (size_t i = 0; i < GetParam().count; ++i) {
            if (GetParam().side == EndlessSide::Clients) {
                this->clients.emplace_back(EndlessSender::Role::Client, this->site.address,
                                           Loopback::EndlessTraffic{requestHead, LibHttpStream::encodeChunk(std::string(blockBytes, 'x'))});
                continue;
            }
            this->site.loop.spawn([this, i](kj::WaitScope &scope) {
                EXPECT_EQ(this->site.callFrom(scope, {{"X-Attempt-Id", AK::concat("e", i)}, {endlessHeader, "1"}}).status, 502);
                ++this->callsEnded;
            });
        }
        return [this] {
            const bool closed =
                std::all_of(this->clients.begin(), this->clients.end(), [](const EndlessSender &client) { return client.closedConnections() > 0; });
            return GetParam().side == EndlessSide::Clients ? closed : this->callsEnded == GetParam().count;
        };
    }

    GatewaySite site{std::vector<UpstreamScript>(3,
                                                 [this](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head,
                                                        const std::string &) { return this->respond(scope, channel, head); })};
    std::list<EndlessSender> clients;
    size_t callsEnded = 0;
};

// Guards against many bodies without end, each within its own limit, that fill the memory of the entry together; the calls of all clients ended with it.
TEST_P(ManyBodiesTest, LeaveMemoryToOtherCalls)
{
    const Loopback::MemoryGrowth growth;
    const AK::Milliseconds until = this->site.loop.clock().now() + 2 * callTimeout;
    const std::function<bool()> done = this->sendEndlessBodies();
    do {
        // Upstreams that send without end get no further calls for a while.
        if (GetParam().side == EndlessSide::Clients) {
            EXPECT_EQ(this->site.call().status, 200);
        } else {
            this->site.loop.sleep(this->site.loop.rootScope(), 10);
        }
    } while (!done() && this->site.loop.clock().now() < until);
    EXPECT_TRUE(done());
    // The buffer of a body grows ahead of it by up to its size, and a whole one is copied when it is sent.
    EXPECT_LT(growth.largest(), 3 * siteBodyMemory + GetParam().count * connectionBytes);
}

INSTANTIATE_TEST_SUITE_P(Table, ManyBodiesTest,
                         testing::Values(ManyBodiesCase{"clients", EndlessSide::Clients, 24}, ManyBodiesCase{"upstreams", EndlessSide::Upstreams, 11}),
                         [](const auto &info) { return std::string(info.param.name); });

struct FullMemoryCase {
    const char *name;
    size_t requestBytes;
    size_t responseBytes;
    int status;
    /// Whether an upstream gets the request.
    bool sent;
};

class FullBodyMemoryTest : public testing::TestWithParam<FullMemoryCase>
{
};

// Guards against large bodies that take memory which is used up, and against a refusal of calls that need none or of any call afterwards.
TEST_P(FullBodyMemoryTest, RejectsLargeBodiesOnly)
{
    const FullMemoryCase &row = GetParam();
    LibFiber::Loop *loop = nullptr;
    GatewaySite site({[&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        writeResponse(scope, channel, *loop, *LibHttpStream::findHeader(head.headers, "X-Attempt-Id"), 200, std::string(row.responseBytes, 'r'),
                      row.responseBytes);
        return true;
    }});
    loop = &site.loop;
    site.configure(RouteKind::AtMostOnce, false, 1, callTimeout);
    const std::string body(row.requestBytes, 'q');
    std::optional<BodyShare> others(std::in_place, site.bodyMemory);
    ASSERT_TRUE(others->grow(siteBodyMemory + BodyShare::freeBytes));
    const ClientResponse rejected = site.call({}, "/r/1", body);
    EXPECT_EQ(rejected.status, row.status) << rejected.body;
    EXPECT_EQ(LibHttpStream::findHeader(rejected.headers, "Retry-After") != nullptr, row.status == 503);
    EXPECT_EQ(site.upstreams[0]->requests.size(), row.sent ? 1 : 0);
    others.reset();
    EXPECT_EQ(site.call({}, "/r/1", body).status, 200);
    EXPECT_EQ(site.bodyMemory.heldBytes(), 0);
}

INSTANTIATE_TEST_SUITE_P(Table, FullBodyMemoryTest,
                         testing::Values(FullMemoryCase{"small_bodies", 100, 100, 200, true}, FullMemoryCase{"large_request", 65'536, 100, 503, false},
                                         FullMemoryCase{"large_response", 100, 65'536, 502, true}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a response that is given up for want of memory which a broken attempt of the same call still holds.
TEST(BodyMemory, IsGivenBackBeforeTheNextAttempt)
{
    constexpr size_t bodyBytes = 3UL << 20;
    LibFiber::Loop *loop = nullptr;
    int requests = 0;
    const auto script = [&](kj::WaitScope &scope, LibFiber::ByteChannel &channel, const LibHttpStream::RequestHead &head, const std::string &) {
        const std::string id = *LibHttpStream::findHeader(head.headers, "X-Attempt-Id");
        const bool breaksOff = ++requests == 1;
        writeResponse(scope, channel, *loop, id, 200, std::string(bodyBytes, 'r'), bodyBytes + (breaksOff ? 1 : 0));
        return !breaksOff;
    };
    GatewaySite site({script, script});
    loop = &site.loop;
    site.configure(RouteKind::Idempotent, false, 2, callTimeout);
    BodyShare others(site.bodyMemory);
    ASSERT_TRUE(others.grow(siteBodyMemory - bodyBytes));
    EXPECT_EQ(site.call().status, 200);
    EXPECT_EQ(requests, 2);
}

} // namespace
