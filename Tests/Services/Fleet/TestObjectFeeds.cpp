#include "ObjectFeedsSite.h"

namespace
{

using LibFleet::ObjectKind;

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

// Guards against an agent that has heard no entry for a while, lists the objects itself and takes all of them for changes of an unknown time: its assumption
// ended the use of older weights at all entries too early.
TEST_F(ObjectFeedsTest, CountsAListOfAnAgentFromItsLastExchange)
{
    constexpr AK::Milliseconds silence = 300;
    this->feeds.accept(ObjectKind::Upstreams, {5, {{"a", "1", false}}}, "peer");
    this->feeds.noteExchange();
    this->loop.sleep(this->loop.rootScope(), silence);
    this->feeds.refreshFromStore(this->loop.rootScope());
    EXPECT_GE(this->decoder.unnoticed, silence);
    EXPECT_LE(this->decoder.unnoticed, 2 * silence);
}

struct WaitingChangeCase {
    const char *name;
    /// Time in ms for which the process stands still after the change.
    AK::Milliseconds standstill;
    /// The watch is overdue when the process goes on, and the change is found by a list.
    bool overdue;
    /// Least and greatest time for which the change is said to have gone unnoticed.
    AK::Milliseconds least;
    AK::Milliseconds greatest;
};

class WaitingChangeTest : public ObjectFeedsTest, public testing::WithParamInterface<WaitingChangeCase>
{
};

// Guards against calls that begin on older weights too late: an entry took a naming that had waited while it stood still for one of the moment at which it went
// on.
TEST_P(WaitingChangeTest, CountsAsUnnoticedForTheStandstill)
{
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    constexpr AK::Milliseconds quietTime = 1'200;
    this->loop.sleep(this->loop.rootScope(), quietTime);
    if (GetParam().overdue) {
        this->source.watchEnd = absl::DeadlineExceededError("overdue");
        this->source.all = {20, {{"b", "1", false}}};
    } else {
        this->source.change = {20, {{"a", "", true}}};
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(GetParam().standstill));
    ASSERT_TRUE(this->waitForNames({"b"}));
    EXPECT_GE(this->decoder.unnoticed, GetParam().least);
    EXPECT_LE(this->decoder.unnoticed, GetParam().greatest);
}

INSTANTIATE_TEST_SUITE_P(Table, WaitingChangeTest,
                         testing::Values(WaitingChangeCase{"running", 0, false, 0, 0}, WaitingChangeCase{"stood_still", 900, false, 900, 1'900},
                                         WaitingChangeCase{"overdue", 0, true, 1'200, 1'500},
                                         WaitingChangeCase{"overdue_in_a_standstill", 900, true, 900, 1'500},
                                         WaitingChangeCase{"stood_still_for_long", 2'500, false, 2'500, 3'500}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against a list right after a standstill that counts from an empty answer which had waited while the process stood still.
TEST_F(ObjectFeedsTest, CountsTheStandstillToAListAfterAnAnswerThatWaited)
{
    constexpr AK::Milliseconds stoodStill = 900;
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->loop.sleep(this->loop.rootScope(), 300);
    // The wait of the watch ended without a change; the naming comes after that answer, still in the standstill.
    this->source.change = {15, {}};
    std::this_thread::sleep_for(std::chrono::milliseconds(stoodStill));
    ASSERT_TRUE(this->waitFor([&] { return this->feeds.position(ObjectKind::Upstreams).revision == 15; }));
    this->source.all = {20, {{"b", "1", false}}};
    this->source.watchEnd = absl::UnavailableError("reset");
    ASSERT_TRUE(this->waitForNames({"b"}));
    EXPECT_GE(this->decoder.unnoticed, stoodStill);
}

// Guards against a change that the store sends again after a pause of TCP, because the host was suspended when it came first, and that is taken for a new one:
// the watch that delivers it began before the standstill.
TEST_F(ObjectFeedsTest, CountsTheStandstillToAChangeThatIsSentAgain)
{
    constexpr AK::Milliseconds stoodStill = 900;
    constexpr AK::Milliseconds sentAgainAfter = 700;
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->loop.sleep(this->loop.rootScope(), 300);
    std::this_thread::sleep_for(std::chrono::milliseconds(stoodStill));
    this->loop.sleep(this->loop.rootScope(), sentAgainAfter);
    this->source.all = {20, {{"b", "1", false}}};
    this->source.change = {20, {{"a", "", true}}};
    ASSERT_TRUE(this->waitForNames({"b"}));
    EXPECT_GE(this->decoder.unnoticed, stoodStill);
}

// Guards against a change that is taken for one of this moment by an entry which has just begun to watch the store, because those that did have ended.
TEST_F(ObjectFeedsTest, CountsTheTimeOnStandbyToTheFirstChangeAfterIt)
{
    constexpr AK::Milliseconds nobodyWatches = 1'200;
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->feeds.setWatching(false);
    // Ends the watch that is waiting.
    this->source.change = {15, {}};
    this->loop.sleep(this->loop.rootScope(), 400);
    this->source.change = {20, {{"a", "", true}}};
    this->loop.sleep(this->loop.rootScope(), nobodyWatches);
    ASSERT_EQ(this->decoder.names, (std::vector<std::string>{"a", "b"}));
    this->feeds.setWatching(true);
    ASSERT_TRUE(this->waitForNames({"b"}));
    EXPECT_GE(this->decoder.unnoticed, nobodyWatches);
}

// Guards against objects of another process that count as learned at this moment and for certain, although nothing tells how long that process has had them.
TEST_F(ObjectFeedsTest, CountsObjectsOfAnotherProcessFromTheLastAnswerOfTheStore)
{
    constexpr AK::Milliseconds sinceAnswer = 400;
    this->feeds.watchStore();
    ASSERT_TRUE(this->waitForNames({"a", "b"}));
    this->loop.sleep(this->loop.rootScope(), sinceAnswer);
    this->feeds.accept(ObjectKind::Upstreams, {20, {{"b", "1", false}}}, "peer");
    ASSERT_EQ(this->decoder.names, (std::vector<std::string>{"b"}));
    EXPECT_GE(this->decoder.unnoticed, sinceAnswer);
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
