#include <AK/Hash.h>
#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
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

// Guards against chunks that cross a region link or leave the origin more than once, and against a stalled agent that holds the others up.
TEST_P(AllowedScopeTest, FollowsTheOrder)
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
                                         ScopeCase{"first_elsewhere_cut_off", {false, 0, 2'100}, FetchScope::Origin},
                                         ScopeCase{"late_with_a_trickle", {true, 3, 100, 5'500}, FetchScope::Origin},
                                         ScopeCase{"in_time_with_a_trickle", {true, 3, 100, 4'000}, FetchScope::SameRegion}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against agents that bring many chunks while others bring none: each chunk has one first agent and the work is even.
TEST(RegionRank, SharesChunksEvenly)
{
    const std::vector<SwarmMember> all{{"a", "r"}, {"b", "r"}, {"c", "r"}, {"d", "s"}};
    std::map<std::string, int> first;
    for (size_t chunk = 0; chunk < 96; ++chunk) {
        std::set<size_t> ranks;
        for (const SwarmMember &self : all) {
            if (self.region == "r") {
                const size_t rank = regionRank(self.name, "r", all, "m/2", chunk);
                ranks.insert(rank);
                first[self.name] += rank == 0 ? 1 : 0;
            }
        }
        EXPECT_EQ(ranks, (std::set<size_t>{0, 1, 2}));
    }
    EXPECT_EQ(first, (std::map<std::string, int>{{"a", 32}, {"b", 32}, {"c", 32}}));
}

struct BringCase {
    const char *name;
    std::vector<VersionProgress> named;
    int64_t version;
};

class VersionToBringTest : public testing::TestWithParam<BringCase>
{
};

// Guards against dropping a version that is nearly here for one that comes too late (quiet-1: no engine could work in seconds 28 to 30).
TEST_P(VersionToBringTest, Chooses)
{
    EXPECT_EQ(versionToBring(GetParam().named, BringTimes{}), GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(Table, VersionToBringTest,
                         testing::Values(BringCase{"none", {}, 0}, BringCase{"one", {{2, 6'000, 0}}, 2}, BringCase{"complete", {{2, 6'000, 1}}, 0},
                                         BringCase{"older_nearly_here", {{2, 2'700, 0.9}, {3, 6'700, 0}}, 2},
                                         BringCase{"older_complete", {{2, 2'700, 1}, {3, 6'700, 0}}, 3},
                                         BringCase{"older_hopeless", {{2, 500, 0.1}, {3, 4'500, 0}}, 3},
                                         BringCase{"newest_in_time_for_both", {{2, 6'500, 0.1}, {3, 6'700, 0}}, 3}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against all engines loading at once.
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

// Guards against a corrupt chunk that is kept or offered, and against memory that grows with every version.
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

// Guards against chunks that fill the link before live answers.
TEST(VersionStore, PacesUploads)
{
    const AK::SystemClock clock;
    VersionStore store(clock, 100'000);
    AK::Milliseconds last = 0;
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        const auto wait = store.reserveUpload(25'000);
        if (!wait) {
            break;
        }
        EXPECT_GE(*wait, last);
        last = *wait;
        ++admitted;
    }
    EXPECT_LT(admitted, 10) << "more would wait on the link for seconds";
}

class SmallHandler final : public LibPeers::PeerHandler
{
public:
    LibPeers::NodeState exchange(const LibPeers::NodeState &from) override
    {
        this->heard = from;
        LibPeers::NodeState own;
        own.name = "server";
        own.revisions[2] = 77;
        return own;
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind, int64_t newerThan, bool) override
    {
        return newerThan < 77 ? LibFleet::ObjectPage{77, {{"a", "{}", false}}} : LibFleet::ObjectPage{};
    }
    LibPeers::NodeState heard;
};

// Guards against state that is lost or mixed up between processes, and against a process that ends because a peer has gone (18 exits on scale-1).
TEST(PeerClient, ExchangesAndSurvivesAPeerThatGoes)
{
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    SmallHandler handler;
    VersionStore store(loop.clock(), 10'000'000);
    const auto held = store.add("m", "text", manifestOf(1, {"aaaa"}));
    ASSERT_TRUE(held->put(0, "aaaa").ok());
    const uint16_t port = 17'917;
    const AK::Endpoint address{"127.0.0.1", port};
    auto server = std::make_unique<LibPeers::PeerServer>(loop, handler, &store, nullptr);
    ASSERT_TRUE(server->listen(address).ok());
    LibPeers::PeerClient link(loop, address);
    LibPeers::NodeState own;
    own.name = "client";
    own.engine = LibPeers::EngineReport{"1.2.3.4:5", 6, 7, 8, 9, 10, 1.5, true, 11};
    const auto deadline = [&] {
        return loop.clock().now() + 2'000;
    };
    const auto answer = link.exchange(scope, own, deadline());
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->revisions[2], 77);
    EXPECT_EQ(handler.heard.engine->weightsVersion, 6);
    EXPECT_TRUE(handler.heard.engine->switching);
    EXPECT_EQ(link.objects(scope, LibFleet::ObjectKind::Upstreams, 10, false, deadline())->objects.size(), 1U);
    EXPECT_EQ(link.objects(scope, LibFleet::ObjectKind::Upstreams, 77, false, deadline())->revision, 0);
    EXPECT_EQ(*link.manifest(scope, "m", 1, deadline()), "text");
    EXPECT_EQ(*link.chunk(scope, "m", 1, 0, deadline()), "aaaa");
    EXPECT_EQ(*link.chunk(scope, "m", 2, 0, deadline()), "");
    // Nobody listens there: each call fails and none throws.
    LibPeers::PeerClient nobody(loop, {"127.0.0.1", static_cast<uint16_t>(port + 1)});
    for (int i = 0; i < 3; ++i) {
        EXPECT_FALSE(nobody.exchange(scope, own, deadline()).ok());
    }
    loop.cancelSpawned();
}

} // namespace
