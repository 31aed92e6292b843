#include "StoreReader.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace
{

using LibFleet::ObjectKind;

// Bounds of the users' rules: from the acknowledgement of a removal until it is in force, and from a fault of the channels until a process counts again.
constexpr AK::Milliseconds drainBound = 2'000;
constexpr AK::Milliseconds channelRecoveryBound = 3'000;

class StoreChannelsTest : public testing::Test
{
protected:
    StoreChannelsTest()
    {
        this->reader.store.put("servers", R"("a")", registration("ready"));
        this->reader.store.put("servers", R"("b")", registration("ready"));
        this->reader.start();
    }

    ~StoreChannelsTest() noexcept override = default;

    bool waitUntilInForce()
    {
        return this->reader.waitFor([&] {
            return this->reader.hasUpstream("a") && this->reader.hasUpstream("b")
                && std::all_of(LibFleet::objectKindNames.begin(), LibFleet::objectKindNames.end(),
                               [&](const auto &row) { return this->reader.feeds.position(row.value) > 0; });
        });
    }

    void sleep(AK::Milliseconds time)
    {
        this->reader.loop.sleep(this->reader.loop.rootScope(), time);
    }

    /// Time until the condition holds.
    AK::Milliseconds timeUntil(const std::function<bool()> &condition)
    {
        const AK::Milliseconds before = this->reader.loop.clock().now();
        EXPECT_TRUE(this->reader.waitFor(condition));
        return this->reader.loop.clock().now() - before;
    }

    StoreReader reader;
};

struct CutCase {
    const char *name;
    ChannelEnd end;
    /// Time from the last answer until the first cut, between two cuts, and from the last one until the removal, in ms.
    AK::Milliseconds quiet;
    AK::Milliseconds between;
    AK::Milliseconds removedAfter;
    int cuts;
};

class CutWatchTest : public StoreChannelsTest, public testing::WithParamInterface<CutCase>
{
};

// Guards against a cut watch that is taken for an outage of the store, after which upstreams whose leases lapsed are kept: a removed upstream got calls for
// 2.1 s after one cut, and for 21 s while watches were cut every 2 s.
TEST_P(CutWatchTest, RemovesAnUpstreamWithinTheBound)
{
    ASSERT_TRUE(this->waitUntilInForce());
    this->sleep(GetParam().quiet);
    for (int i = 0; i < GetParam().cuts; ++i) {
        this->sleep(i > 0 ? GetParam().between : 0);
        this->reader.store.cutWatches(GetParam().end);
    }
    this->sleep(GetParam().removedAfter);
    this->reader.store.remove("servers", R"("a")");
    EXPECT_LT(this->timeUntil([&] { return !this->reader.hasUpstream("a"); }), drainBound);
    EXPECT_TRUE(this->reader.hasUpstream("b"));
}

INSTANTIATE_TEST_SUITE_P(Table, CutWatchTest,
                         testing::Values(CutCase{"reset", ChannelEnd::Reset, 0, 0, 300, 1}, CutCase{"closed", ChannelEnd::Closed, 0, 0, 300, 1},

                                         CutCase{"reset_after_quiet_time", ChannelEnd::Reset, 3'500, 0, 300, 1},
                                         CutCase{"reset_every_two_seconds", ChannelEnd::Reset, 0, 2'000, 300, 3},
                                         CutCase{"reset_in_quick_succession", ChannelEnd::Reset, 0, 20, 0, 20}),
                         [](const auto &info) { return std::string(info.param.name); });

struct AwayCase {
    const char *name;
    ChannelEnd end;
};

class AwayStoreTest : public StoreChannelsTest, public testing::WithParamInterface<AwayCase>
{
};

// Guards against an outage that is taken for a mere cut: the store is silent until leases lapse, ends all channels on its return, and upstreams that are alive
// have not registered again yet.
TEST_P(AwayStoreTest, KeepsUpstreamsWhoseLeasesLapsed)
{
    ASSERT_TRUE(this->waitUntilInForce());
    this->reader.store.goAway();
    this->sleep(3'800);
    this->reader.store.remove("servers", R"("a")");
    this->reader.store.remove("servers", R"("b")");
    this->reader.store.comeBack(GetParam().end);
    const AK::Milliseconds back = this->reader.loop.clock().now();
    ASSERT_TRUE(this->reader.waitFor([&] { return this->reader.feeds.position(ObjectKind::Upstreams) >= 5; }));
    while (this->reader.loop.clock().now() < back + 1'900) {
        EXPECT_TRUE(this->reader.hasUpstream("a") && this->reader.hasUpstream("b")) << this->reader.loop.clock().now() - back << " ms after the return";
        this->sleep(50);
    }
    this->reader.store.put("servers", R"("b")", registration("ready"));
    EXPECT_TRUE(this->reader.waitFor([&] { return !this->reader.hasUpstream("a"); })) << "still missing, so it has gone";
    EXPECT_TRUE(this->reader.hasUpstream("b"));
}

INSTANTIATE_TEST_SUITE_P(Table, AwayStoreTest, testing::Values(AwayCase{"reset", ChannelEnd::Reset}, AwayCase{"closed", ChannelEnd::Closed}),
                         [](const auto &info) { return std::string(info.param.name); });

struct SilenceCase {
    const char *name;
    ObjectKind kind;
    std::string path;
    /// Time from the start of the watches until the channels fall silent, and from then until the change, in ms.
    AK::Milliseconds silentAfter;
    AK::Milliseconds changedAfter;
    /// Latest time from the silence until the change is in force, in ms.
    AK::Milliseconds bound;
};

class SilentChannelTest : public StoreChannelsTest, public testing::WithParamInterface<SilenceCase>
{
};

// Guards against channels that fall silent without a reset and are taken for a quiet store: a removed route was served for 5.49 s after the silence began.
TEST_P(SilentChannelTest, LearnsOfAChangeWithinTheBound)
{
    this->reader.store.put(GetParam().path, R"("x")", "{}");
    ASSERT_TRUE(this->waitUntilInForce());
    this->sleep(GetParam().silentAfter);
    this->reader.store.silenceConnections();
    const AK::Milliseconds silent = this->reader.loop.clock().now();
    this->sleep(GetParam().changedAfter);
    if (GetParam().kind == ObjectKind::Upstreams) {
        this->reader.store.remove("servers", R"("a")");
        this->timeUntil([&] { return !this->reader.hasUpstream("a"); });
    } else {
        const LibFleet::StorePosition before = this->reader.feeds.changedAt(GetParam().kind);
        this->reader.store.remove(GetParam().path, R"("x")");
        this->timeUntil([&] { return this->reader.feeds.changedAt(GetParam().kind) > before; });
    }
    EXPECT_LT(this->reader.loop.clock().now() - silent, GetParam().bound);
}

INSTANTIATE_TEST_SUITE_P(Table, SilentChannelTest,
                         testing::Values(SilenceCase{"configuration", ObjectKind::Configuration, "config", 100, 600, channelRecoveryBound},
                                         SilenceCase{"configuration_later", ObjectKind::Configuration, "config", 1'500, 0, channelRecoveryBound},
                                         SilenceCase{"upstreams", ObjectKind::Upstreams, "servers", 100, 600, channelRecoveryBound},
                                         SilenceCase{"upstreams_later", ObjectKind::Upstreams, "servers", 1'500, 0, channelRecoveryBound},
                                         SilenceCase{"evacuations", ObjectKind::Evacuations, "evacuations", 100, 0, 5'000},
                                         SilenceCase{"weights_targets", ObjectKind::WeightsTargets, "versions", 100, 0, 4'000}),
                         [](const auto &info) { return std::string(info.param.name); });

struct LateNamingCase {
    const char *name;
    /// Whether the channels fall silent before the naming, and the time from then until it, in ms.
    bool silent;
    AK::Milliseconds namedAfter;
};

class LateNamingTest : public StoreChannelsTest, public testing::WithParamInterface<LateNamingCase>
{
};

// Guards against calls that begin on older weights too late, because an entry whose channels had fallen silent counted the age of new ones from the moment at
// which it learned of them.
TEST_P(LateNamingTest, CountsFromTheLastAnswerOfTheStore)
{
    constexpr AK::Milliseconds promptly = 500;
    this->reader.store.put("versions", R"("m")", R"({"model":"m","version":1})");
    ASSERT_TRUE(this->waitUntilInForce());
    this->sleep(100);
    const AK::Milliseconds silent = this->reader.loop.clock().uninterruptedTime();
    if (GetParam().silent) {
        this->reader.store.silenceConnections();
    }
    this->sleep(GetParam().namedAfter);
    this->reader.store.put("versions", R"("m")", R"({"model":"m","version":2})");
    const AK::Milliseconds named = this->reader.loop.clock().uninterruptedTime();
    ASSERT_TRUE(this->reader.waitFor([&] { return this->reader.state.weightsTarget("m").version == 2; }));
    const LibFleet::WeightsTarget target = this->reader.state.weightsTarget("m");
    EXPECT_LE(target.learnedAt, named + (GetParam().silent ? 0 : promptly));
    EXPECT_GE(target.learnedAt, silent - promptly) << "the last answer of the store";
    EXPECT_EQ(target.ageAssumed, GetParam().silent) << "a process that knows better may say so";
}

INSTANTIATE_TEST_SUITE_P(Table, LateNamingTest,
                         testing::Values(LateNamingCase{"sound", false, 600}, LateNamingCase{"silent", true, 600},
                                         LateNamingCase{"silent_for_long", true, 2'000}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
