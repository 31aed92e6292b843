#include "ObjectFeedsSite.h"

namespace
{

using LibFleet::ObjectKind;
using LibFleet::ObjectPage;

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

} // namespace
