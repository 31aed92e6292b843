#include <LibPeers/BackpressureStream.h>
#include <LibPeers/MessageLimits.h>
#include <LibPeers/PeerServer.h>
#include <LibPeers/generated/peers.capnp.h>
#include <Loopback/ProcessHost.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibPeers;

constexpr size_t megabyte = 1UL << 20;

struct StepCase {
    const char *name;
    WriteState state;
    AK::Milliseconds now;
    ConnectionStep expected;
};

constexpr AK::Milliseconds begin = 100'000;

class NextStepTest : public testing::TestWithParam<StepCase>
{
public:
    ~NextStepTest() noexcept override = default;
};

// Guards against a queue of outgoing messages without bound, and against reads that pause for good.
TEST_P(NextStepTest, FollowsTheQueue)
{
    EXPECT_EQ(nextStep(GetParam().state, GetParam().now), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Table, NextStepTest,
    testing::Values(StepCase{"idle", {0, 0, std::nullopt, 0}, begin, ConnectionStep::Read},
                    StepCase{"short_queue", {3, megabyte, begin, begin}, begin, ConnectionStep::Read},
                    StepCase{"most_messages", {maxQueuedMessages, megabyte, begin, begin}, begin, ConnectionStep::Read},
                    StepCase{"too_many_messages", {maxQueuedMessages + 1, megabyte, begin, begin}, begin, ConnectionStep::PauseReads},
                    StepCase{"too_many_messages_between_writes", {maxQueuedMessages + 1, megabyte, std::nullopt, 0}, begin, ConnectionStep::PauseReads},
                    StepCase{"most_bytes", {2, maxQueuedBytes, begin, begin}, begin, ConnectionStep::Read},
                    StepCase{"too_many_bytes", {2, maxQueuedBytes + 1, begin, begin}, begin, ConnectionStep::PauseReads},
                    StepCase{"one_large_message", {1, maxQueuedBytes + 1, begin, begin}, begin, ConnectionStep::Read},
                    StepCase{"slow_write", {1, 100, begin, begin}, begin + writeStallLimit - 1, ConnectionStep::Read},
                    StepCase{"stalled_write", {1, 100, begin, begin}, begin + writeStallLimit, ConnectionStep::End},
                    StepCase{"stalled_write_of_many", {maxQueuedMessages + 1, 100, begin, begin}, begin + writeStallLimit, ConnectionStep::End}),
    [](const auto &info) { return std::string(info.param.name); });

struct CheckCase {
    const char *name;
    AK::Milliseconds sinceCheck;
    bool countsAsProgress;
};

class RecordCheckTest : public testing::TestWithParam<CheckCase>
{
public:
    ~RecordCheckTest() noexcept override = default;
};

// Guards against a connection that ends because this process was paused.
TEST_P(RecordCheckTest, IgnoresThePausesOfThisProcess)
{
    WriteState state{1, 100, begin, begin};
    const AK::Milliseconds now = begin + GetParam().sinceCheck;
    recordCheck(state, now);
    EXPECT_EQ(state.lastCheck, now);
    EXPECT_EQ(state.lastProgress, GetParam().countsAsProgress ? now : begin);
}

INSTANTIATE_TEST_SUITE_P(Table, RecordCheckTest,
                         testing::Values(CheckCase{"in_time", writeCheckInterval, false}, CheckCase{"a_little_late", 2 * writeCheckInterval, false},
                                         CheckCase{"after_a_pause", 2 * writeCheckInterval + 1, true}),
                         [](const auto &info) { return std::string(info.param.name); });

class LargeAnswers final : public PeerWire::FleetPeer::Server
{
public:
    explicit LargeAnswers(size_t bytes)
        : text(bytes, 'x')
    {
    }

    kj::Promise<void> manifest(ManifestContext context) override
    {
        this->received += context.getParams().getModel().size();
        context.getResults().setText(this->text.c_str());
        return kj::READY_NOW;
    }

    size_t received = 0;

private:
    std::string text;
};

/// An end of a connection that calls and is called.
class TwoWayEnd
{
public:
    TwoWayEnd(LibFiber::Loop &loop, kj::Own<kj::AsyncIoStream> pipe, capnp::rpc::twoparty::Side side, kj::Own<LargeAnswers> answers)
        : stream(loop, kj::mv(pipe))
        , network(stream, side, readerOptions(maxResponseBytes))
        , rpc(capnp::makeRpcServer(network, kj::mv(answers)))
    {
        this->stream.setNetwork(this->network);
        capnp::MallocMessageBuilder message;
        auto other = message.initRoot<capnp::rpc::twoparty::VatId>();
        other.setSide(side == capnp::rpc::twoparty::Side::CLIENT ? capnp::rpc::twoparty::Side::SERVER : capnp::rpc::twoparty::Side::CLIENT);
        this->peer = this->rpc.bootstrap(other).castAs<PeerWire::FleetPeer>();
    }

    kj::Promise<size_t> call(const std::string &text)
    {
        auto request = this->peer.manifestRequest();
        request.setModel(text.c_str());
        return request.send().then([](auto &&response) -> size_t { return response.getText().size(); });
    }

    BackpressureStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    PeerWire::FleetPeer::Client peer = nullptr;
};

// Guards against two sound processes that block each other: each sends the other large messages, over a connection that holds no bytes, and would read only
// once its own are written.
TEST(BackpressureStream, PassesLargeMessagesBothWaysAtOnce)
{
    constexpr size_t textBytes = 4 * megabyte;
    constexpr size_t calls = 4;
    constexpr AK::Milliseconds callTime = 4'000;
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    auto pipe = kj::newTwoWayPipe();
    auto firstAnswers = kj::heap<LargeAnswers>(textBytes);
    auto secondAnswers = kj::heap<LargeAnswers>(textBytes);
    const LargeAnswers &atFirst = *firstAnswers;
    const LargeAnswers &atSecond = *secondAnswers;
    TwoWayEnd first(loop, kj::mv(pipe.ends[0]), capnp::rpc::twoparty::Side::CLIENT, kj::mv(firstAnswers));
    TwoWayEnd second(loop, kj::mv(pipe.ends[1]), capnp::rpc::twoparty::Side::SERVER, kj::mv(secondAnswers));
    const std::string text(textBytes, 'y');
    auto sent = kj::heapArrayBuilder<kj::Promise<size_t>>(2 * calls);
    for (size_t i = 0; i < calls; ++i) {
        sent.add(first.call(text));
        sent.add(second.call(text));
    }
    const auto received = loop.await(scope, kj::joinPromises(sent.finish()), loop.clock().now() + callTime);
    ASSERT_TRUE(received.ok()) << received.status();
    for (const size_t bytes : *received) {
        EXPECT_EQ(bytes, textBytes);
    }
    EXPECT_EQ(atFirst.received, calls * textBytes);
    EXPECT_EQ(atSecond.received, calls * textBytes);
}

// Guards against a stack overflow in the destructor of the RPC system, which runs on a fiber: messages that are no calls pass by all checks of calls, and each
// is sent back.
TEST(BackpressureStream, BoundsTheQueueOfMessagesThatAreNoCalls)
{
    constexpr int messages = 48'000;
    constexpr size_t messagesInProgress = 10;
    constexpr AK::Milliseconds sendTime = 500;
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    capnp::MallocMessageBuilder message;
    message.initRoot<capnp::rpc::Message>().initObsoleteSave();
    const auto words = capnp::messageToFlatArray(message);
    kj::Vector<kj::byte> all;
    for (int i = 0; i < messages; ++i) {
        all.addAll(words.asBytes());
    }
    auto pipe = kj::newTwoWayPipe();
    auto end = kj::heap<TwoWayEnd>(loop, kj::mv(pipe.ends[0]), capnp::rpc::twoparty::Side::CLIENT, kj::heap<LargeAnswers>(0));
    EXPECT_FALSE(loop.awaitDone(scope, pipe.ends[1]->write(all.begin(), all.size()), loop.clock().now() + sendTime).ok()) << "all messages were read";
    EXPECT_GT(end->network.getCurrentQueueCount(), maxQueuedMessages / 2);
    EXPECT_LE(end->network.getCurrentQueueCount(), maxQueuedMessages + messagesInProgress);
    loop.fiber([&end](kj::WaitScope &) { end = nullptr; }).wait(scope);
}

class EmptyPeerHandler final : public PeerHandler
{
public:
    NodeState exchange(const NodeState & /*from*/) override
    {
        return {};
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind /*kind*/, LibFleet::StorePosition /*newerThan*/, bool /*agentPart*/) override
    {
        return {};
    }
};

/// Holds small chunks, whose uploads wait.
class WaitingChunks final : public ChunkProvider
{
public:
    explicit WaitingChunks(AK::Milliseconds wait)
        : wait(wait)
    {
    }
    std::string manifest(const std::string & /*model*/, int64_t /*version*/) override
    {
        return "";
    }
    std::string heldChunks(const std::string & /*model*/, int64_t /*version*/) override
    {
        return "";
    }
    std::string chunk(const std::string & /*model*/, int64_t /*version*/, uint32_t /*index*/) override
    {
        return "x";
    }
    std::optional<AK::Milliseconds> reserveUpload(size_t /*bytes*/) override
    {
        return this->wait;
    }

private:
    AK::Milliseconds wait;
};

struct ChunkCase {
    const char *name;
    size_t calls;
    bool answered;
};

class WaitingChunksTest : public testing::TestWithParam<ChunkCase>
{
public:
    ~WaitingChunksTest() noexcept override = default;
};

// Guards against responses without bound that wait for upload bandwidth and then are queued all at once.
TEST_P(WaitingChunksTest, AreBounded)
{
    constexpr uint16_t port = 17'819;
    constexpr AK::Milliseconds uploadWait = 1'000;
    constexpr AK::Milliseconds callTime = 3'000;
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    EmptyPeerHandler handler;
    WaitingChunks chunks(uploadWait);
    PeerServer server(loop, handler, &chunks, nullptr);
    const LibFiber::SpawnedFibersGuard guard(loop);
    const AK::Endpoint address{Loopback::processHost(), port};
    ASSERT_TRUE(server.listen(address).ok());
    auto target = LibFiber::networkAddress(loop, address);
    ASSERT_TRUE(target.ok());
    TwoWayEnd end(loop, (*target)->connect().wait(scope), capnp::rpc::twoparty::Side::CLIENT, kj::heap<LargeAnswers>(0));
    const AK::Milliseconds started = loop.clock().now();
    auto sent = kj::heapArrayBuilder<kj::Promise<size_t>>(GetParam().calls);
    for (size_t i = 0; i < GetParam().calls; ++i) {
        sent.add(end.peer.chunkRequest().send().then([](auto &&response) -> size_t { return response.getData().size(); }));
    }
    const auto received = loop.await(scope, kj::joinPromises(sent.finish()), started + callTime);
    EXPECT_EQ(received.ok(), GetParam().answered) << received.status();
    if (!GetParam().answered) {
        EXPECT_TRUE(loop.awaitDone(scope, end.network.onDisconnect(), started + uploadWait / 2).ok()) << "the connection";
    }
}

INSTANTIATE_TEST_SUITE_P(Table, WaitingChunksTest,
                         testing::Values(ChunkCase{"some", maxUnreadResponses / 2, true}, ChunkCase{"too_many", 4 * maxUnreadResponses, false}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a connection that stays open for good while its peer reads nothing.
TEST(BackpressureStream, EndsAConnectionWhoseWritesStall)
{
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    auto pipe = kj::newTwoWayPipe();
    TwoWayEnd end(loop, kj::mv(pipe.ends[0]), capnp::rpc::twoparty::Side::CLIENT, kj::heap<LargeAnswers>(0));
    const AK::Milliseconds started = loop.clock().now();
    EXPECT_TRUE(loop.awaitDone(scope, end.network.onDisconnect(), started + writeStallLimit + 3 * writeCheckInterval).ok());
    EXPECT_GE(loop.clock().now() - started, writeStallLimit);
}

// Guards against a slow peer that is taken for one that reads nothing: a large message takes longer than the limit, and each part of it arrives in time.
TEST(BackpressureStream, KeepsAConnectionThatIsReadSlowly)
{
    constexpr size_t partBytes = 128UL << 10;
    constexpr int parts = 7;
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    auto pipe = kj::newTwoWayPipe();
    BackpressureStream stream(loop, kj::mv(pipe.ends[0]));
    const std::string text(parts * partBytes, 'x');
    bool written = false;
    auto write = stream.write(text.data(), text.size()).then([&written] { written = true; }).eagerlyEvaluate(nullptr);
    std::string part(partBytes, '\0');
    for (int i = 0; i < parts; ++i) {
        loop.sleep(scope, writeCheckInterval);
        const auto read = loop.await(scope, pipe.ends[1]->tryRead(part.data(), partBytes, partBytes), loop.clock().now() + writeCheckInterval);
        ASSERT_TRUE(read.ok()) << read.status();
        EXPECT_EQ(*read, partBytes);
    }
    EXPECT_TRUE(loop.awaitDone(scope, kj::mv(write), loop.clock().now() + writeCheckInterval).ok());
    EXPECT_TRUE(written);
}

} // namespace
