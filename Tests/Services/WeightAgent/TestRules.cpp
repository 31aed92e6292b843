#include <AK/Hash.h>
#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
#include <Loopback/ProcessHost.h>
#include <WeightAgent/FetchRules.h>
#include <WeightAgent/VersionStore.h>
#include <gtest/gtest.h>

namespace
{

using namespace WeightAgent;

struct ScopeCase {
    const char *name;
    FetchPosition position;
    FetchScope scope;
};

class AllowedScopeTest : public testing::TestWithParam<ScopeCase>
{
};

// Guards against chunks that cross a region link or are read from the origin more than once, and against a stalled agent that blocks the others.
TEST_P(AllowedScopeTest, DependsOnRankAndStall)
{
    EXPECT_EQ(allowedScope(GetParam().position, FetchRuleSettings{}), GetParam().scope);
}

INSTANTIATE_TEST_SUITE_P(Table, AllowedScopeTest,
                         testing::Values(ScopeCase{"first_near_origin", {true, 0, 0}, FetchScope::Origin},
                                         ScopeCase{"second_near_origin", {true, 1, 0}, FetchScope::SameRegion},
                                         ScopeCase{"second_after_a_stall", {true, 1, 700}, FetchScope::Origin},
                                         ScopeCase{"first_elsewhere", {false, 0, 0}, FetchScope::AnyRegion},
                                         ScopeCase{"second_elsewhere", {false, 1, 0}, FetchScope::SameRegion},
                                         ScopeCase{"second_elsewhere_after_a_stall", {false, 1, 700}, FetchScope::AnyRegion},
                                         ScopeCase{"first_elsewhere_after_a_long_stall", {false, 0, 2'100}, FetchScope::Origin},
                                         ScopeCase{"overdue_with_slow_progress", {true, 3, 100, 5'500}, FetchScope::Origin},
                                         ScopeCase{"on_time_with_slow_progress", {true, 3, 100, 4'000}, FetchScope::SameRegion}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an uneven distribution of the fetches: each chunk has exactly one agent of rank 0, and each agent is that for the same number of chunks.
TEST(RegionRank, SharesChunksEvenly)
{
    const std::vector<SwarmMember> all{{"a", "r"}, {"b", "r"}, {"c", "r"}, {"d", "s"}};
    std::map<std::string, int> firstCounts;
    for (size_t chunk = 0; chunk < 96; ++chunk) {
        std::set<size_t> ranks;
        for (const SwarmMember &self : all) {
            if (self.region == "r") {
                const size_t rank = regionRank(self.name, "r", all, "m/2", chunk);
                ranks.insert(rank);
                firstCounts[self.name] += rank == 0 ? 1 : 0;
            }
        }
        EXPECT_EQ(ranks, (std::set<size_t>{0, 1, 2}));
    }
    EXPECT_EQ(firstCounts, (std::map<std::string, int>{{"a", 32}, {"b", 32}, {"c", 32}}));
}

struct ChooseVersionCase {
    const char *name;
    std::vector<VersionProgress> targets;
    int64_t version;
};

class ChooseVersionToFetchTest : public testing::TestWithParam<ChooseVersionCase>
{
};

// Guards against abandoning a nearly complete version for one that will be too late. No engine could then serve calls for 2 s.
TEST_P(ChooseVersionToFetchTest, PrefersTheNewestThatIsInTime)
{
    EXPECT_EQ(chooseVersionToFetch(GetParam().targets, DurationEstimates{}), GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(Table, ChooseVersionToFetchTest,
                         testing::Values(ChooseVersionCase{"none", {}, 0}, ChooseVersionCase{"one", {{2, 6'000, 0}}, 2},
                                         ChooseVersionCase{"complete", {{2, 6'000, 1}}, 0},
                                         ChooseVersionCase{"older_nearly_complete", {{2, 2'700, 0.9}, {3, 6'700, 0}}, 2},
                                         ChooseVersionCase{"older_complete", {{2, 2'700, 1}, {3, 6'700, 0}}, 3},
                                         ChooseVersionCase{"older_too_late", {{2, 500, 0.1}, {3, 4'500, 0}}, 3},
                                         ChooseVersionCase{"newest_in_time_for_both", {{2, 6'500, 0.1}, {3, 6'700, 0}}, 3}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against all engines of a service loading at once.
TEST(LoadDelay, SpreadsOverTheTimeLeft)
{
    EXPECT_EQ(loadDelay(0, 20, 2'000), 0);
    EXPECT_EQ(loadDelay(10, 20, 2'000), 1'000);
    EXPECT_LT(loadDelay(19, 20, 2'000), 2'000);
    EXPECT_EQ(loadDelay(19, 20, -500), 0);
    EXPECT_EQ(loadDelay(0, 1, 2'000), 0);
}

WeightsManifest manifestOf(int64_t version, const std::vector<std::string> &chunks)
{
    WeightsManifest manifest{version, 4, {}};
    for (const std::string &chunk : chunks) {
        manifest.digests.push_back(AK::sha256Hex(chunk));
    }
    return manifest;
}

// Guards against corrupt chunks that are stored or offered, and against memory use that grows with every version.
TEST(VersionStore, HoldsOnlyVerifiedChunksOfTheNewestVersions)
{
    const AK::SystemClock clock;
    VersionStore store(clock, 1'000'000);
    const auto held = store.add("m", "text", manifestOf(1, {"aaaa", "bbbb"}));
    EXPECT_TRUE(absl::IsDataLoss(held->put(0, "aaab")));
    EXPECT_TRUE(absl::IsDataLoss(held->put(2, "aaaa")));
    EXPECT_TRUE(held->put(1, "bbbb").ok());
    EXPECT_FALSE(held->complete());
    EXPECT_EQ(store.heldChunks("m", 1), std::string(1, '\2'));
    EXPECT_EQ(store.chunk("m", 1, 0), "");
    EXPECT_EQ(store.chunk("m", 1, 1), "bbbb");
    store.add("m", "text", manifestOf(2, {"cccc"}));
    store.add("m", "text", manifestOf(3, {"dddd"}));
    EXPECT_EQ(store.find("m", 1), nullptr);
    EXPECT_NE(store.find("m", 3), nullptr);
}

// Guards against an engine that stays without weights after a restart, because its agent has dropped the only complete version for two that are on their way.
TEST(VersionStore, KeepsTheNewestCompleteVersion)
{
    const AK::SystemClock clock;
    VersionStore store(clock, 1'000'000);
    ASSERT_TRUE(store.add("m", "text", manifestOf(1, {"aaaa"}))->put(0, "aaaa").ok());
    for (int64_t version = 2; version <= 4; ++version) {
        store.add("m", "text", manifestOf(version, {"bbbb"}));
    }
    EXPECT_NE(store.find("m", 1), nullptr);
    EXPECT_EQ(store.find("m", 2), nullptr) << "it is not complete, and two newer ones are held";
    ASSERT_TRUE(store.find("m", 3)->put(0, "bbbb").ok());
    store.add("m", "text", manifestOf(5, {"cccc"}));
    EXPECT_EQ(store.find("m", 1), nullptr) << "version 3 is complete";
    EXPECT_NE(store.find("m", 3), nullptr);
}

// Guards against a fetch whose chunks nobody finds, because the version is older than the two that are held.
TEST(VersionStore, KeepsAnOlderVersionThatIsBegun)
{
    const AK::SystemClock clock;
    VersionStore store(clock, 1'000'000);
    store.add("m", "text", manifestOf(3, {"aaaa"}));
    store.add("m", "text", manifestOf(4, {"bbbb"}));
    store.add("m", "text", manifestOf(2, {"cccc"}));
    for (int64_t version = 2; version <= 4; ++version) {
        EXPECT_NE(store.find("m", version), nullptr) << version;
    }
}

// Guards against chunks that delay live answers on the link.
TEST(VersionStore, PacesUploads)
{
    const AK::SystemClock clock;
    VersionStore store(clock, 100'000);
    AK::Milliseconds last = 0;
    int accepted = 0;
    for (int i = 0; i < 100; ++i) {
        const auto wait = store.reserveUpload(25'000);
        if (!wait) {
            break;
        }
        EXPECT_GE(*wait, last);
        last = *wait;
        ++accepted;
    }
    EXPECT_LT(accepted, 10) << "further chunks would be queued for seconds";
}

class StaticPeerHandler final : public LibPeers::PeerHandler
{
public:
    LibPeers::NodeState exchange(const LibPeers::NodeState &from) override
    {
        this->received = from;
        LibPeers::NodeState own;
        own.name = "server";
        own.revisions[2] = 77;
        return own;
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind, LibFleet::StorePosition newerThan, bool) override
    {
        return newerThan < 77 ? LibFleet::ObjectPage{77, {{"a", "{}", false}}} : LibFleet::ObjectPage{};
    }
    LibPeers::NodeState received;
};

// Guards against state that is lost or mixed up between processes, and against a process that exits when a peer is gone: exceptions from failed calls ended 18
// processes in one run.
TEST(PeerClient, ExchangesStateAndSurvivesAnUnreachablePeer)
{
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    StaticPeerHandler handler;
    VersionStore store(loop.clock(), 10'000'000);
    const auto held = store.add("m", "text", manifestOf(1, {"aaaa"}));
    ASSERT_TRUE(held->put(0, "aaaa").ok());
    const uint16_t port = 17'917;
    const AK::Endpoint address{Loopback::processHost(), port};
    auto server = std::make_unique<LibPeers::PeerServer>(loop, handler, &store, nullptr);
    ASSERT_TRUE(server->listen(address).ok());
    LibPeers::PeerClient client(loop, address);
    LibPeers::NodeState own;
    own.name = "client";
    own.engine = LibPeers::EngineReport{"1.2.3.4:5", 6, 7, 8, 9, 10, 1.5, true, 11};
    const auto deadline = [&] {
        return loop.clock().now() + 2'000;
    };
    const auto answer = client.exchange(scope, own, deadline());
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->revisions[2], 77);
    EXPECT_EQ(handler.received.engine->weightsVersion, 6);
    EXPECT_TRUE(handler.received.engine->switching);
    EXPECT_EQ(client.objects(scope, LibFleet::ObjectKind::Upstreams, 10, false, deadline())->objects.size(), 1U);
    EXPECT_EQ(client.objects(scope, LibFleet::ObjectKind::Upstreams, 77, false, deadline())->position, 0);
    EXPECT_EQ(*client.manifest(scope, "m", 1, deadline()), "text");
    EXPECT_EQ(*client.chunk(scope, "m", 1, 0, deadline()), "aaaa");
    EXPECT_EQ(*client.chunk(scope, "m", 2, 0, deadline()), "");
    // No process listens on this port: each call fails without an exception.
    LibPeers::PeerClient unreachable(loop, {Loopback::processHost(), static_cast<uint16_t>(port + 1)});
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(unreachable.exchange(scope, own, deadline()).ok());
    }
    loop.cancelSpawned();
}

/// Holds a chunk until it is asked for an upload, as a store does that drops the version for a newer one.
class DroppingProvider final : public LibPeers::ChunkProvider
{
public:
    std::string manifest(const std::string &, int64_t) override
    {
        return "";
    }
    std::string heldChunks(const std::string &, int64_t) override
    {
        return "";
    }
    std::string chunk(const std::string &, int64_t, uint32_t) override
    {
        return this->dropped ? "" : "aaaa";
    }
    std::optional<AK::Milliseconds> reserveUpload(size_t) override
    {
        this->dropped = true;
        return 50;
    }
    bool dropped = false;
};

// Guards against chunks of a replaced version that take the link from the newer one, because they were read before they waited for bandwidth.
TEST(PeerServer, SendsNoChunkThatWasDroppedWhileItWaited)
{
    LibFiber::Loop loop;
    StaticPeerHandler handler;
    DroppingProvider provider;
    const AK::Endpoint address{Loopback::processHost(), 17'921};
    LibPeers::PeerServer server(loop, handler, &provider, nullptr);
    ASSERT_TRUE(server.listen(address).ok());
    LibPeers::PeerClient client(loop, address);
    const absl::StatusOr<std::string> chunk = client.chunk(loop.rootScope(), "m", 1, 0, loop.clock().now() + 2'000);
    ASSERT_TRUE(chunk.ok()) << chunk.status();
    EXPECT_EQ(*chunk, "");
    loop.cancelSpawned();
}

} // namespace
