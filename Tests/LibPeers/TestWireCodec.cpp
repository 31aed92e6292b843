#include <LibPeers/MessageLimits.h>
#include <LibPeers/WireCodec.h>
#include <capnp/message.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibPeers;

struct SightingCase {
    const char *name;
    EntrySighting sighting;
};

class SightingCodecTest : public testing::TestWithParam<SightingCase>
{
};

// Guards against columns of sightings that are read in another order or with other bits than they were written.
TEST_P(SightingCodecTest, ReturnsWhatWasSent)
{
    NodeState state;
    state.name = "e1";
    state.heartbeat = 9;
    state.openSlots = 300;
    state.sightings = {{1, 2, false, false, 0}, GetParam().sighting};
    state.introduced.push_back(NodeState{.name = "e3", .clientAddress = "10.0.0.3:1"});
    capnp::MallocMessageBuilder message;
    encode(state, message.initRoot<PeerWire::NodeState>());
    const NodeState decoded = decode(message.getRoot<PeerWire::NodeState>().asReader());
    EXPECT_EQ(decoded.heartbeat, state.heartbeat);
    EXPECT_EQ(decoded.openSlots, state.openSlots);
    ASSERT_EQ(decoded.sightings.size(), 2U);
    const EntrySighting &sighting = decoded.sightings.back();
    EXPECT_EQ(sighting.entry, GetParam().sighting.entry);
    EXPECT_EQ(sighting.heartbeat, GetParam().sighting.heartbeat);
    EXPECT_EQ(sighting.ready, GetParam().sighting.ready);
    EXPECT_EQ(sighting.leaving, GetParam().sighting.leaving);
    EXPECT_EQ(sighting.openSlots, GetParam().sighting.openSlots);
    ASSERT_EQ(decoded.introduced.size(), 1U);
    EXPECT_EQ(decoded.introduced.front().clientAddress, "10.0.0.3:1");
}

INSTANTIATE_TEST_SUITE_P(Table, SightingCodecTest,
                         testing::Values(SightingCase{"ready", {7, 8, true, false, 5}}, SightingCase{"leaving", {7, 8, false, true, 0}},
                                         SightingCase{"both", {UINT32_MAX, UINT32_MAX, true, true, 255}}, SightingCase{"neither", {0, 0, false, false, 1}}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against columns of different length from a faulty peer.
TEST(SightingCodec, ReadsOnlyCompleteRows)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<PeerWire::NodeState>();
    builder.initSightedEntries(3);
    builder.initSightedHeartbeats(1);
    builder.initSightedStates(2);
    EXPECT_EQ(decode(builder.asReader()).sightings.size(), 1U);
}

struct RowsCase {
    const char *name;
    size_t rows;
    bool accepted;
};

class RowsTest : public testing::TestWithParam<RowsCase>
{
};

// Guards against a list of rows without content, which takes a few bytes in a message and hundreds of bytes for each row in memory.
TEST_P(RowsTest, AreLimited)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<PeerWire::NodeState>().initIntroduced(static_cast<capnp::uint>(GetParam().rows));
    const auto failure = kj::runCatchingExceptions([&] { EXPECT_EQ(decode(message.getRoot<PeerWire::NodeState>()).introduced.size(), GetParam().rows); });
    EXPECT_EQ(failure == nullptr, GetParam().accepted);
}

INSTANTIATE_TEST_SUITE_P(Table, RowsTest, testing::Values(RowsCase{"largest", maxRows, true}, RowsCase{"too_many", maxRows + 1, false}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a process whose state tells of others that tell of others without end.
TEST(RowsCodec, KeepsOneLevelOfOthers)
{
    capnp::MallocMessageBuilder message;
    message.initRoot<PeerWire::NodeState>().initIntroduced(1)[0].initIntroduced(1);
    const NodeState decoded = decode(message.getRoot<PeerWire::NodeState>());
    ASSERT_EQ(decoded.introduced.size(), 1U);
    EXPECT_TRUE(decoded.introduced.front().introduced.empty());
}

// Guards against revisions of different eras that are compared with each other, and against a process that sends no eras.
TEST(PositionCodec, KeepsTheEraOfEachRevision)
{
    NodeState state;
    state.revisions = {LibFleet::StorePosition(7, 2), LibFleet::StorePosition(9, 1)};
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<PeerWire::NodeState>();
    encode(state, builder);
    EXPECT_EQ(decode(builder.asReader()).revisions, state.revisions);
    EXPECT_GT(state.revisions[0], state.revisions[1]);
    builder.disownEras();
    EXPECT_EQ(decode(builder.asReader()).revisions[0], LibFleet::StorePosition(7));
}

// Guards against the end of a limit that is read as a limit of nothing.
TEST(RateLimitCodec, ReturnsWhatWasSent)
{
    NodeState state;
    state.rateLimits = {{"i-1", 2.75, 40}, {"i-2", std::nullopt, 0}, {"i-3", 0.0, 1}};
    capnp::MallocMessageBuilder message;
    encode(state, message.initRoot<PeerWire::NodeState>());
    const NodeState decoded = decode(message.getRoot<PeerWire::NodeState>().asReader());
    ASSERT_EQ(decoded.rateLimits.size(), 3U);
    EXPECT_EQ(decoded.rateLimits[0].upstream, "i-1");
    EXPECT_EQ(decoded.rateLimits[0].callsPerSecond, 2.75);
    EXPECT_EQ(decoded.rateLimits[0].age, 40);
    EXPECT_EQ(decoded.rateLimits[1].callsPerSecond, std::nullopt);
    EXPECT_EQ(decoded.rateLimits[2].callsPerSecond, 0.0);
}

// Guards against a notice that is taken for another incarnation's on the way to another entry.
TEST(LeavingUpstreamCodec, ReturnsWhatWasSent)
{
    NodeState state;
    state.leavingUpstreams = {{"i-1", 1'764'900'000'123}, {"i-2", 0}};
    capnp::MallocMessageBuilder message;
    encode(state, message.initRoot<PeerWire::NodeState>());
    const NodeState decoded = decode(message.getRoot<PeerWire::NodeState>().asReader());
    ASSERT_EQ(decoded.leavingUpstreams.size(), 2U);
    EXPECT_EQ(decoded.leavingUpstreams[0].upstream, "i-1");
    EXPECT_EQ(decoded.leavingUpstreams[0].startTime, 1'764'900'000'123);
    EXPECT_EQ(decoded.leavingUpstreams[1].upstream, "i-2");
    EXPECT_EQ(decoded.leavingUpstreams[1].startTime, 0);
}

// Guards against a begin and an end of a steady period that are taken for each other.
TEST(SteadyStoreCodec, ReturnsWhatWasSent)
{
    NodeState state;
    state.storeSteadyFrom = 90'000;
    state.storeSteadyTo = 1'250;
    capnp::MallocMessageBuilder message;
    encode(state, message.initRoot<PeerWire::NodeState>());
    const NodeState decoded = decode(message.getRoot<PeerWire::NodeState>().asReader());
    EXPECT_EQ(decoded.storeSteadyFrom, 90'000);
    EXPECT_EQ(decoded.storeSteadyTo, 1'250);
}

// Guards against the age of a version of the weights that is taken for another one's on the way to another entry.
TEST(WeightsTargetCodec, ReturnsWhatWasSent)
{
    NodeState state;
    state.weightsTargets = {{"m", 3, 1'250}, {"n", 1, 0, true}};
    capnp::MallocMessageBuilder message;
    encode(state, message.initRoot<PeerWire::NodeState>());
    const NodeState decoded = decode(message.getRoot<PeerWire::NodeState>().asReader());
    ASSERT_EQ(decoded.weightsTargets.size(), 2U);
    EXPECT_EQ(decoded.weightsTargets[0].model, "m");
    EXPECT_EQ(decoded.weightsTargets[0].version, 3);
    EXPECT_EQ(decoded.weightsTargets[0].age, 1'250);
    EXPECT_FALSE(decoded.weightsTargets[0].assumed);
    EXPECT_EQ(decoded.weightsTargets[1].model, "n");
    EXPECT_TRUE(decoded.weightsTargets[1].assumed);
}

// Guards against crashes whose suspects or times are changed on the way to another entry.
TEST(CrashCodec, ReturnsWhatWasSent)
{
    NodeState state;
    state.crashes = {{"i-1", 250, {{UINT64_MAX, 130, {"a1", "b2"}}, {7, 0, {}}}}, {"i-2", 0, {}}};
    state.soundParts = {{"a1", 900}};
    capnp::MallocMessageBuilder message;
    encode(state, message.initRoot<PeerWire::NodeState>());
    const NodeState decoded = decode(message.getRoot<PeerWire::NodeState>().asReader());
    ASSERT_EQ(decoded.crashes.size(), 2U);
    EXPECT_EQ(decoded.crashes[0].upstream, "i-1");
    EXPECT_EQ(decoded.crashes[0].age, 250);
    ASSERT_EQ(decoded.crashes[0].suspects.size(), 2U);
    EXPECT_EQ(decoded.crashes[0].suspects[0].prompt, UINT64_MAX);
    EXPECT_EQ(decoded.crashes[0].suspects[0].sentBefore, 130);
    EXPECT_EQ(decoded.crashes[0].suspects[0].parts, (std::vector<std::string>{"a1", "b2"}));
    ASSERT_EQ(decoded.soundParts.size(), 1U);
    EXPECT_EQ(decoded.soundParts[0].part, "a1");
    EXPECT_EQ(decoded.soundParts[0].age, 900);
}

} // namespace
