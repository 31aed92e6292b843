#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
#include <Loopback/EndlessSender.h>
#include <Loopback/ProcessHost.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibPeers;
using Loopback::EndlessSender;

constexpr uint16_t port = 17'815;
constexpr AK::Milliseconds callTimeout = 1'000;
/// A call of another peer, which needs no waiting, ends within this time.
constexpr AK::Milliseconds promptTime = 1'000;
/// Time in which a connection must be closed over which a peer sends what is no call, or doesn't read.
constexpr AK::Milliseconds closeTime = 4'000;
constexpr size_t megabyte = 1UL << 20;
/// Half of the memory of an agent.
constexpr size_t maxMemoryBytes = 64 * megabyte;
constexpr size_t pageBytes = megabyte;

std::string repeated(std::string_view text, size_t count)
{
    std::string all;
    for (size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

template <typename Fill>
std::string messageText(Fill &&fill)
{
    capnp::MallocMessageBuilder message;
    fill(message.initRoot<capnp::rpc::Message>());
    const auto words = capnp::messageToFlatArray(message);
    const auto bytes = words.asBytes();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

std::string bootstrapMessage()
{
    return messageText([](capnp::rpc::Message::Builder message) { message.initBootstrap().setQuestionId(0); });
}

/// A call of the peer that the first question has returned, and its end.
template <typename Params, typename Fill>
std::string callMessages(uint16_t method, Fill &&fill)
{
    return messageText([&](capnp::rpc::Message::Builder message) {
               auto call = message.initCall();
               call.setQuestionId(1);
               call.initTarget().initPromisedAnswer().setQuestionId(0);
               call.setInterfaceId(capnp::typeId<PeerWire::FleetPeer>());
               call.setMethodId(method);
               fill(call.initParams().getContent().template initAs<Params>());
           })
        + messageText([](capnp::rpc::Message::Builder message) {
               auto finish = message.initFinish();
               finish.setQuestionId(1);
               finish.setReleaseResultCaps(true);
           });
}

std::string objectsCall()
{
    return callMessages<PeerWire::FleetPeer::ObjectsParams>(1, [](auto &&) {});
}

std::string exchangeCall()
{
    return callMessages<PeerWire::FleetPeer::ExchangeParams>(0, [](auto &&params) { params.initState().setName("e9"); });
}

/// The head of a message with one segment.
std::string segmentHead(uint32_t words)
{
    std::string head(8, '\0');
    for (size_t i = 0; i < 4; ++i) {
        head[4 + i] = static_cast<char>((words >> (8 * i)) & 0xff);
    }
    return head;
}

class PagePeerHandler final : public PeerHandler
{
public:
    NodeState exchange(const NodeState & /*from*/) override
    {
        return {};
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind /*kind*/, LibFleet::StorePosition /*newerThan*/, bool /*agentPart*/) override
    {
        LibFleet::ObjectPage page;
        page.objects.push_back({"o", std::string(pageBytes, 'x')});
        return page;
    }
};

struct PeerCase {
    const char *name;
    Loopback::EndlessTraffic traffic;
    /// Whether a server must close the connection within `closeTime`. Calls without end that are read are calls.
    bool closes = true;
};

std::vector<PeerCase> peerCases()
{
    constexpr uint32_t hugeWords = 63 * megabyte / 8;
    const std::string block(16'384, '\0');
    return {
        {"garbage", {"", std::string(16'384, 'x')}},
        {"empty_messages", {"", block}},
        {"huge_message", {segmentHead(hugeWords), block}},
        {"many_segments", {std::string("\xff\x01\0\0", 4), repeated(std::string("\x10\0\0\0", 4), 4'000)}},
        {"calls", {bootstrapMessage(), repeated(exchangeCall(), 50)}, false},
        {"calls_without_reading", {bootstrapMessage(), repeated(exchangeCall(), 50), false}},
        {"calls_for_pages_without_reading", {bootstrapMessage(), repeated(objectsCall(), 50), false}},
    };
}

class EndlessPeerTest : public testing::TestWithParam<PeerCase>
{
public:
    ~EndlessPeerTest() noexcept override = default;

protected:
    LibFiber::Loop loop;
    kj::WaitScope &scope{loop.rootScope()};
    AK::Endpoint address{Loopback::processHost(), port};
};

// Guards against a process that sends bytes, messages or calls without end, or doesn't read what it asks for: it filled the memory of each process it had a
// connection to, or kept its event loop busy.
TEST_P(EndlessPeerTest, HarmsNoOtherCaller)
{
    constexpr size_t peers = 3;
    PagePeerHandler handler;
    PeerServer server(this->loop, handler, nullptr, nullptr);
    const LibFiber::SpawnedFibersGuard guard(this->loop);
    ASSERT_TRUE(server.listen(this->address).ok());
    PeerClient other(this->loop, this->address);
    const Loopback::MemoryGrowth growth;
    std::list<EndlessSender> senders;
    for (size_t i = 0; i < peers; ++i) {
        senders.emplace_back(EndlessSender::Role::Client, this->address, GetParam().traffic);
    }
    const auto closed = [&] {
        return std::all_of(senders.begin(), senders.end(), [](const EndlessSender &sender) { return sender.closedConnections() > 0; });
    };
    const AK::Milliseconds until = this->loop.clock().now() + (GetParam().closes ? closeTime : promptTime);
    while (!closed() && this->loop.clock().now() < until && growth.largest() < maxMemoryBytes) {
        const AK::Milliseconds begin = this->loop.clock().now();
        EXPECT_TRUE(other.exchange(this->scope, {}, begin + promptTime).ok());
        ASSERT_LT(this->loop.clock().now() - begin, promptTime) << "a call of another peer";
        this->loop.sleep(this->scope, 1);
    }
    EXPECT_EQ(closed(), GetParam().closes) << "the connections";
    EXPECT_LT(growth.largest(), maxMemoryBytes);
}

// The same for the process that calls the faulty one.
TEST_P(EndlessPeerTest, EndsTheCallInTime)
{
    const EndlessSender server(EndlessSender::Role::Server, this->address, GetParam().traffic);
    PeerClient client(this->loop, this->address);
    const Loopback::MemoryGrowth growth;
    const AK::Milliseconds begin = this->loop.clock().now();
    EXPECT_FALSE(client.exchange(this->scope, {}, begin + callTimeout).ok());
    EXPECT_LT(this->loop.clock().now() - begin, callTimeout + promptTime);
    EXPECT_LT(growth.largest(), maxMemoryBytes);
    this->loop.sleep(this->scope, promptTime);
    EXPECT_GE(server.closedConnections(), 1);
}

INSTANTIATE_TEST_SUITE_P(Table, EndlessPeerTest, testing::ValuesIn(peerCases()), [](const auto &info) { return std::string(info.param.name); });

} // namespace
