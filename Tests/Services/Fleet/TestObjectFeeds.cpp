#include <AK/Text.h>
#include <Fleet/ObjectFeeds.h>
#include <functional>
#include <gtest/gtest.h>
#include <thread>
#include <utility>

namespace
{

using LibFleet::ObjectKind;
using LibFleet::ObjectPage;

/// A fake store with upstreams only, whose calls can fail. Watches wait until something changes.
class FakeSource final : public Fleet::ObjectSource
{
public:
    explicit FakeSource(LibFiber::Loop &loop)
        : loop(loop)
    {
    }

    absl::StatusOr<ObjectPage> list(kj::WaitScope &scope, ObjectKind kind) override
    {
        this->loop.sleep(scope, this->answerTime);
        std::this_thread::sleep_for(std::chrono::milliseconds(this->listDuration));
        ++this->lists;
        if (this->down) {
            return absl::UnavailableError("down");
        }
        return kind == ObjectKind::Upstreams ? this->all : ObjectPage{this->all.position, {}};
    }

    absl::StatusOr<ObjectPage> watch(kj::WaitScope &scope, ObjectKind kind, int64_t since, AK::Milliseconds) override
    {
        while (this->loop.clock().now() > 0) {
            this->loop.sleep(scope, 1);
            if (this->down) {
                return absl::UnavailableError("down");
            }
            if (!this->watchEnd.ok() && kind == ObjectKind::Upstreams) {
                return std::exchange(this->watchEnd, absl::OkStatus());
            }
            if (this->historyGone && kind == ObjectKind::Upstreams) {
                this->historyGone = false;
                return absl::OutOfRangeError("gone");
            }
            if (kind == ObjectKind::Upstreams && this->change.position.revision > since) {
                ++this->changesReturned;
                return this->change;
            }
        }
        return absl::InternalError("the clock does not advance");
    }

    absl::Status put(kj::WaitScope &, ObjectKind, const std::string &, const std::string &) override
    {
        return absl::OkStatus();
    }

    absl::Status erase(kj::WaitScope &, ObjectKind, const std::string &) override
    {
        return absl::OkStatus();
    }

    LibFiber::Loop &loop;
    bool down = false;
    bool historyGone = false;
    /// How the next watch of upstreams ends, unless that is kOk.
    absl::Status watchEnd;
    /// Time until a list is answered, in ms.
    AK::Milliseconds answerTime = 1;
    /// Time for which each list blocks the thread, in ms.
    AK::Milliseconds listDuration = 0;
    int lists = 0;
    int changesReturned = 0;
    ObjectPage all;
    ObjectPage change;
};

class NameDecoder final : public Fleet::ObjectDecoder
{
public:
    void decode(ObjectKind kind, const std::map<std::string, std::string> &specs, LibFleet::FleetState &) override
    {
        if (kind == ObjectKind::Upstreams) {
            this->names.clear();
            this->specs.clear();
            for (const auto &[name, spec] : specs) {
                this->names.push_back(name);
                this->specs.push_back(AK::concat(name, " ", spec));
            }
        }
    }
    std::string agentPart(ObjectKind, const std::string &spec) const override
    {
        return "part of " + spec;
    }
    std::string encodeEntry(const LibFleet::EntryRecord &) const override
    {
        return "{}";
    }
    std::vector<std::string> names;
    /// Names and specs.
    std::vector<std::string> specs;
};

// A short interval of the leases, so that they lapse in short outages.
const LibFleet::StoreTimes times{.leaseRenewal = 50};

class ObjectFeedsTest : public testing::Test
{
protected:
    ObjectFeedsTest()
        : source(loop)
        , fleet(loop.clock())
        , feeds(loop, source, decoder, fleet, times)
    {
        this->source.all = {10, {{"a", "1", false}, {"b", "1", false}}};
    }

    ~ObjectFeedsTest() noexcept override = default;

    bool waitFor(const std::function<bool()> &condition)
    {
        const AK::Milliseconds deadline = this->loop.clock().now() + 10'000;
        while (!condition() && this->loop.clock().now() < deadline) {
            this->loop.sleep(this->loop.rootScope(), 1);
        }
        return condition();
    }

    bool waitForNames(const std::vector<std::string> &names)
    {
        return this->waitFor([&] { return this->decoder.names == names; });
    }

    /// Makes the store unreachable until the feeds have noticed and leases may have lapsed.
    bool loseStore()
    {
        this->source.down = true;
        const int before = this->source.lists;
        this->loop.sleep(this->loop.rootScope(), LibFleet::shortestLapse(times.leaseRenewal));
        return this->waitFor([&] { return this->source.lists > before; });
    }

    LibFiber::Loop loop;
    FakeSource source;
    NameDecoder decoder;
    LibFleet::FleetState fleet;
    Fleet::ObjectFeeds feeds;
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};

// Guards against an upstream that leaves long after an outage and still gets calls, because it is kept as if its lease had expired in the outage: the feeds
// noticed the recovery of the store only with that change.
TEST_F(ObjectFeedsTest, NoticesTheRecoveryOfTheStoreWithoutAChange)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    ASSERT_TRUE(this->loseStore());
    this->source.down = false;
    const int after = this->source.lists;
    ASSERT_TRUE(this->waitFor([&] { return this->source.lists >= after + static_cast<int>(LibFleet::objectKindCount); }));
    this->loop.sleep(this->loop.rootScope(), LibFleet::expiredLeaseGrace + 50);
    this->source.change = {20, {{"a", "", true}}};
    const AK::Milliseconds changed = this->loop.clock().now();
    ASSERT_TRUE(this->waitForNames({"b"}));
    EXPECT_LT(this->loop.clock().now() - changed, 2'000) << "the bound for a leaving upstream";
}

// Guards against removing upstreams whose leases expired in an outage, and against keeping those that do not register again.
TEST_F(ObjectFeedsTest, KeepsUpstreamsWithExpiredLeasesDuringTheGrace)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    ASSERT_TRUE(this->loseStore());
    this->source.all = {30, {{"c", "1", false}}};
    this->source.down = false;
    ASSERT_TRUE(this->waitForNames({"a", "b", "c"}));
    EXPECT_TRUE(this->waitForNames({"c"}));
}

// Guards against a timer that fires a few ms before the grace ends, because the process was busy when the grace began, and leaves the upstreams in force until
// the next change: calls went to an upstream 2,079 ms after it had left.
TEST_F(ObjectFeedsTest, EndsTheGraceWhenTheProcessWasBusyAtItsStart)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    ASSERT_TRUE(this->loseStore());
    this->source.all = {30, {{"c", "1", false}}};
    this->source.listDuration = 40;
    this->source.down = false;
    ASSERT_TRUE(this->waitForNames({"a", "b", "c"}));
    EXPECT_TRUE(this->waitForNames({"c"}));
}

// Guards against a call to the store for each of many upstreams that are added or removed one after another: a large deployment without load made 1,927 calls
// in 30 s.
TEST_F(ObjectFeedsTest, ReadsABurstOfChangesInFewCalls)
{
    constexpr int changes = 50;
    constexpr AK::Milliseconds between = 20;
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    for (int i = 1; i <= changes; ++i) {
        this->source.change = {10 + i, {{"c", std::to_string(i), false}}};
        this->loop.sleep(this->loop.rootScope(), between);
    }
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.position(ObjectKind::Upstreams) == 10 + changes; }));
    EXPECT_LE(this->source.changesReturned, 5) << "at most one call in 250 ms";
}

TEST_F(ObjectFeedsTest, ListsAgainWhenHistoryIsGone)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->source.all = {40, {{"b", "2", false}}};
    this->source.historyGone = true;
    EXPECT_TRUE(this->waitForNames({"b"}));
}

struct WatchEndCase {
    const char *name;
    absl::Status watchEnd;
    AK::Milliseconds answerTime;
    /// Whether an upstream that the next list lacks stays in use for a grace time.
    bool kept;
};

class WatchEndTest : public ObjectFeedsTest, public testing::WithParamInterface<WatchEndCase>
{
};

// Guards against a connection that fell silent and is taken for an outage because this process noticed it late: a removed upstream was kept for 2.3 s more on a
// busy host. A store that answers late was away.
TEST_P(WatchEndTest, KeepsUpstreamsOnlyIfTheStoreMayHaveBeenAway)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->loop.sleep(this->loop.rootScope(), 2 * LibFleet::shortestLapse(times.leaseRenewal));
    this->source.all = {30, {{"b", "1", false}, {"c", "1", false}}};
    this->source.answerTime = GetParam().answerTime;
    this->source.watchEnd = GetParam().watchEnd;
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.position(ObjectKind::Upstreams) == 30; }));
    EXPECT_EQ(this->decoder.names, GetParam().kept ? (std::vector<std::string>{"a", "b", "c"}) : (std::vector<std::string>{"b", "c"}));
    EXPECT_TRUE(this->waitForNames({"b", "c"}));
}

INSTANTIATE_TEST_SUITE_P(Table, WatchEndTest,
                         testing::Values(WatchEndCase{"overdue", absl::DeadlineExceededError("silent"), 1, false},
                                         WatchEndCase{"overdue_before_a_late_answer", absl::DeadlineExceededError("silent"), 550, true},
                                         WatchEndCase{"reset", absl::UnavailableError("reset"), 1, true}),
                         [](const auto &info) { return std::string(info.param.name); });

struct RestoreCase {
    const char *name;
    /// What the process knows when the store comes back, after `before` and then `after` were listed or watched.
    ObjectPage before;
    ObjectPage after;
    ObjectPage copy;
    std::vector<std::string> inForce;
    /// When the grace is over and nothing was written again.
    std::vector<std::string> afterGrace;
};

class RestoredStoreTest : public ObjectFeedsTest, public testing::WithParamInterface<RestoreCase>
{
};

// Guards against a store that comes back from an older copy, whose lower revisions were taken for old ones: no change took effect until the revisions of the
// new history had passed those of the old one, and the store was called without a pause.
TEST_P(RestoredStoreTest, KeepsWhatTheCopyContradictsForTheGrace)
{
    this->source.all = GetParam().before;
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.position(ObjectKind::Upstreams) == GetParam().before.position; }));
    this->source.change = GetParam().after;
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.position(ObjectKind::Upstreams) == GetParam().after.position; }));
    this->source.change = {};
    this->source.all = GetParam().copy;
    this->source.historyGone = true;
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.position(ObjectKind::Upstreams) == GetParam().copy.position; }));
    EXPECT_EQ(this->decoder.specs, GetParam().inForce);
    EXPECT_TRUE(this->waitFor([&] { return this->decoder.specs == GetParam().afterGrace; }));
    EXPECT_LE(this->source.lists, 3 * static_cast<int>(LibFleet::objectKindCount)) << "a restore costs few calls";
}

const ObjectPage twoUpstreams{10, {{"a", "1", false, false, 8}, {"b", "1", false, false, 9}}};

INSTANTIATE_TEST_SUITE_P(
    Table, RestoredStoreTest,
    testing::Values(
        RestoreCase{"new_object",
                    twoUpstreams,
                    {11, {}},
                    {{5, 1}, {{"a", "1", false, false, 8}, {"b", "1", false, false, 9}, {"c", "1", false, false, 5}}},
                    {"a 1", "b 1", "c 1"},
                    {"a 1", "b 1", "c 1"}},
        RestoreCase{"higher_revision", twoUpstreams, {11, {}}, {{90, 1}, {{"a", "2", false, false, 80}}}, {"a 2", "b 1"}, {"a 2"}},
        RestoreCase{"lost", twoUpstreams, {20, {{"c", "1", false, false, 20}}}, {{10, 1}, twoUpstreams.objects}, {"a 1", "b 1", "c 1"}, {"a 1", "b 1"}},
        RestoreCase{"removed", twoUpstreams, {20, {{"a", "", true, false, 20}}}, {{10, 1}, twoUpstreams.objects}, {"b 1"}, {"a 1", "b 1"}},
        RestoreCase{
            "changed", twoUpstreams, {20, {{"a", "draining", false, false, 20}}}, {{10, 1}, twoUpstreams.objects}, {"a draining", "b 1"}, {"a 1", "b 1"}},
        RestoreCase{"written_again",
                    twoUpstreams,
                    {20, {{"a", "", true, false, 20}}},
                    {{12, 1}, {{"a", "1", false, false, 12}, {"b", "1", false, false, 9}}},
                    {"a 1", "b 1"},
                    {"a 1", "b 1"}},
        RestoreCase{"reaches_the_old_revision",
                    twoUpstreams,
                    {20, {{"c", "1", false, false, 20}}},
                    {{20, 1}, {{"b", "2", false, false, 20}}},
                    {"a 1", "b 2", "c 1"},
                    {"b 2"}}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a change of the new history that is skipped because a watch still waits at a revision of the old one, and against a stale response.
TEST_F(ObjectFeedsTest, ListsAllKindsWhenAnyResponseShowsANewEra)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->source.all = {{5, 2}, {{"a", "1", false}, {"b", "1", false}, {"c", "1", false}}};
    this->feeds.noteEra(2);
    ASSERT_TRUE(this->waitForNames({"a", "b", "c"}));
    for (const auto &row : LibFleet::objectKindNames) {
        EXPECT_TRUE(this->waitFor([&] { return this->feeds.position(row.value) == LibFleet::StorePosition(5, 2); })) << row.name;
    }
    // The watch that waited all the while returns a change of the old history.
    this->source.change = {{30, 1}, {{"d", "1", false}}};
    this->loop.sleep(this->loop.rootScope(), 400);
    EXPECT_EQ(this->decoder.names, (std::vector<std::string>{"a", "b", "c"}));
    this->source.change = {{6, 2}, {{"e", "1", false, false, 6}}};
    EXPECT_TRUE(this->waitForNames({"a", "b", "c", "e"}));
}

// Guards against a process that hears of the restore from another one only and takes over objects that this one knows to be gone, or drops those that it keeps.
TEST_F(ObjectFeedsTest, PassesOnWhatItKeepsAgainstARestoredCopy)
{
    NameDecoder peerDecoder;
    LibFleet::FleetState peerFleet(this->loop.clock());
    Fleet::ObjectFeeds peer(this->loop, this->source, peerDecoder, peerFleet);
    this->source.all = {30, {{"a", "1", false, false, 8}, {"b", "1", false, false, 9}, {"c", "1", false, false, 20}}};
    this->feeds.accept(ObjectKind::Upstreams, {10, {{"a", "1", false, false, 8}, {"b", "1", false, false, 9}}}, "other");
    this->feeds.accept(ObjectKind::Upstreams, {30, {{"b", "1", false, false, 9}, {"c", "1", false, false, 20}}}, "other");
    peer.accept(ObjectKind::Upstreams, {40, {{"z", "1", false, false, 40}}}, "other");
    this->source.all = {{10, 1}, {{"a", "1", false, false, 8}, {"b", "1", false, false, 9}}};
    this->feeds.refreshFromStore(this->loop.rootScope());
    EXPECT_EQ(this->decoder.names, (std::vector<std::string>{"b", "c"}));
    EXPECT_FALSE(this->feeds.isStored(ObjectKind::Upstreams, "c"));
    peer.accept(ObjectKind::Upstreams, this->feeds.objects(ObjectKind::Upstreams, peer.position(ObjectKind::Upstreams), false), "first");
    EXPECT_EQ(peerDecoder.names, (std::vector<std::string>{"b", "c", "z"}));
    EXPECT_TRUE(this->waitFor([&] { return peerDecoder.names == std::vector<std::string>{"a", "b"}; }));
}

// Guards against a process that can't reach the store and does not get the objects of the others, and against older objects of another process.
TEST_F(ObjectFeedsTest, TakesNewerObjectsOfOtherProcesses)
{
    this->feeds.accept(ObjectKind::Upstreams, {50, {{"x", "1", false}}}, "peer");
    EXPECT_EQ(this->decoder.names, (std::vector<std::string>{"x"}));
    this->feeds.accept(ObjectKind::Upstreams, {49, {{"y", "1", false}}}, "peer");
    EXPECT_EQ(this->decoder.names, (std::vector<std::string>{"x"}));
    EXPECT_EQ(this->feeds.objects(ObjectKind::Upstreams, 49, false).objects.size(), 1U);
    EXPECT_EQ(this->feeds.objects(ObjectKind::Upstreams, 50, false).position, 0);
    EXPECT_EQ(this->feeds.objects(ObjectKind::Upstreams, 49, true).objects.front().spec, "part of 1");
}

// Guards against a call to the store by each of hundreds of entries for each burst of changes, and against an entry that stops calling a store which has not
// answered it yet.
TEST_F(ObjectFeedsTest, LeavesTheStoreToOthersOnStandby)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->feeds.setWatching(false);
    EXPECT_FALSE(this->feeds.watchesStore(ObjectKind::Upstreams));
    // Ends the watch that is waiting.
    this->source.change = {20, {{"c", "1", false}}};
    ASSERT_TRUE(this->waitForNames({"a", "b", "c"}));
    this->loop.sleep(this->loop.rootScope(), 400);
    const int changesBefore = this->source.changesReturned;
    this->source.change = {30, {{"d", "1", false}}};
    this->loop.sleep(this->loop.rootScope(), 400);
    EXPECT_EQ(this->source.changesReturned, changesBefore);
    EXPECT_EQ(this->decoder.names, (std::vector<std::string>{"a", "b", "c"}));
    this->feeds.accept(ObjectKind::Upstreams, {30, {{"d", "1", false}}}, "peer");
    EXPECT_EQ(this->decoder.names, (std::vector<std::string>{"d"}));
    this->feeds.setWatching(true);
    this->source.change = {40, {{"e", "1", false}}};
    EXPECT_TRUE(this->waitForNames({"d", "e"}));
}

TEST_F(ObjectFeedsTest, CallsAStoreThatHasNotAnsweredAlsoOnStandby)
{
    this->source.down = true;
    this->feeds.watchStore();
    this->feeds.setWatching(false);
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.storeLost(); }));
    this->source.down = false;
    EXPECT_TRUE(this->waitForNames({"a", "b"}));
    EXPECT_TRUE(this->waitFor([&] { return !this->feeds.storeLost(); }));
}

// Guards against an upstream that is gone and stays in force in every process that got it from another one: the revision of the objects does not change when
// the other process ends the grace.
TEST_F(ObjectFeedsTest, EndsTheGraceOfUpstreamsThatAnotherProcessKeeps)
{
    NameDecoder peerDecoder;
    LibFleet::FleetState peerFleet(this->loop.clock());
    Fleet::ObjectFeeds peer(this->loop, this->source, peerDecoder, peerFleet);
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    ASSERT_TRUE(this->loseStore());
    this->source.all = {30, {{"c", "1", false}}};
    this->source.down = false;
    ASSERT_TRUE(this->waitForNames({"a", "b", "c"}));
    peer.accept(ObjectKind::Upstreams, this->feeds.objects(ObjectKind::Upstreams, 10, false), "first");
    EXPECT_EQ(peerDecoder.names, (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_TRUE(this->waitFor([&] { return peerDecoder.names == std::vector<std::string>{"c"}; }));
}

} // namespace
