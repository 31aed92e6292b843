#include <AK/Text.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/Watchers.h>
#include <gtest/gtest.h>

namespace
{

using LibMembership::Member;
using LibMembership::MemberStatus;
using LibMembership::MemberTable;
using LibMembership::MergeResult;

Member record(const std::string &name, uint64_t instance, uint64_t sequence, MemberStatus status = MemberStatus::Alive)
{
    Member member;
    member.name = name;
    member.failureDomain = "lima";
    member.instance = instance;
    member.sequence = sequence;
    member.status = status;
    return member;
}

struct MergeCase {
    const char *name;
    Member incoming;
    MergeResult result;
};

class MergeTest : public testing::TestWithParam<MergeCase>
{
};

// Guards against an old record replacing a new one, a forgotten dead member coming back, and others changing a process's own record.
TEST_P(MergeTest, NewestRecordStays)
{
    MemberTable table{.self = "self"};
    table.entries["self"].member = record("self", 5, 5);
    table.entries["peer"].member = record("peer", 5, 5, MemberStatus::Suspect);
    const uint64_t before = table.changeCount;
    EXPECT_EQ(mergeRecord(table, GetParam().incoming, 0), GetParam().result);
    EXPECT_EQ(table.changeCount != before, GetParam().result == MergeResult::Changed);
    EXPECT_EQ(table.entries["self"].member.sequence, 5U);
}

INSTANTIATE_TEST_SUITE_P(Table, MergeTest,
                         testing::Values(MergeCase{"older_instance", record("peer", 4, 9), MergeResult::Unchanged},
                                         MergeCase{"replacement", record("peer", 6, 1), MergeResult::Changed},
                                         MergeCase{"older_sequence", record("peer", 5, 4, MemberStatus::Dead), MergeResult::Unchanged},
                                         MergeCase{"same_but_alive", record("peer", 5, 5), MergeResult::Unchanged},
                                         MergeCase{"refuted", record("peer", 5, 6), MergeResult::Changed},
                                         MergeCase{"declared_dead", record("peer", 5, 5, MemberStatus::Dead), MergeResult::Changed},
                                         MergeCase{"unknown_alive", record("new", 1, 1), MergeResult::Changed},
                                         MergeCase{"unknown_dead", record("new", 1, 1, MemberStatus::Dead), MergeResult::Unchanged},
                                         MergeCase{"no_name", record("", 1, 1), MergeResult::Unchanged},
                                         MergeCase{"self_suspect", record("self", 5, 5, MemberStatus::Suspect), MergeResult::SelfContradicted},
                                         MergeCase{"self_older", record("self", 5, 4, MemberStatus::Dead), MergeResult::Unchanged},
                                         MergeCase{"predecessor_of_self", record("self", 4, 9, MemberStatus::Dead), MergeResult::Unchanged}),
                         [](const auto &info) { return info.param.name; });

// Guards against a member being declared dead after one failed probe.
TEST(Suspicion, NeedsASecondFailedProbe)
{
    MemberTable table{.self = "self"};
    mergeRecord(table, record("peer", 1, 1), 0);
    setObservedStatus(table, "peer", MemberStatus::Suspect, 0);
    table.entries["peer"].probeFailed = true;
    EXPECT_TRUE(expireSuspects(table, 60'000, 5'000, 100'000).empty());
    EXPECT_FALSE(suspectToProbe(table, 2'000, 5'000));
    EXPECT_TRUE(suspectToProbe(table, 2'500, 5'000));
    table.entries["peer"].confirmed = true;
    EXPECT_TRUE(expireSuspects(table, 4'999, 5'000, 100'000).empty());
    EXPECT_EQ(expireSuspects(table, 5'000, 5'000, 100'000), std::vector<std::string>{"peer"});
    expireSuspects(table, 105'000, 5'000, 100'000);
    EXPECT_TRUE(table.entries.empty());
}

// Guards against messages that grow with the number of members, records that are sent forever, and a suspect that does not learn of the suspicion.
TEST(Dissemination, IsBoundedAndTellsTheSuspect)
{
    MemberTable table{.self = "self"};
    for (int i = 0; i < 100; ++i) {
        mergeRecord(table, record(AK::concat("m-", i), 1, 1), 0);
    }
    size_t sent = 0;
    for (int round = 0; round < 1'000; ++round) {
        const auto updates = takeUpdates(table, "", 16);
        ASSERT_LE(updates.size(), 16U);
        sent += updates.size();
    }
    EXPECT_EQ(sent, 100U * 21U);
    setObservedStatus(table, "m-7", MemberStatus::Suspect, 0);
    for (int round = 0; round < 100; ++round) {
        const auto updates = takeUpdates(table, "m-7", 16);
        ASSERT_FALSE(updates.empty());
        EXPECT_EQ(updates.front().name, "m-7");
    }
}

// Guards against tables with the same live records having different hashes, which causes reads of whole tables, and against different ones having the same
// hash.
TEST(TableHash, DependsOnTheLiveRecordsOnly)
{
    MemberTable left{.self = "left"};
    MemberTable right{.self = "right"};
    for (int i = 0; i < 20; ++i) {
        mergeRecord(left, record(AK::concat("m-", i), 1, 1), 0);
        mergeRecord(left, record(AK::concat("m-", i), 1, 2), 0);
        mergeRecord(right, record(AK::concat("m-", 19 - i), 1, 2), 0);
    }
    EXPECT_EQ(tableHash(left), tableHash(right));
    mergeRecord(left, record("m-3", 1, 3), 0);
    EXPECT_NE(tableHash(left), tableHash(right));
    mergeRecord(right, record("m-3", 1, 3), 0);
    EXPECT_EQ(tableHash(left), tableHash(right));
    for (const MemberStatus status : {MemberStatus::Suspect, MemberStatus::Dead}) {
        setObservedStatus(left, "m-4", status, 0);
        EXPECT_NE(tableHash(left), tableHash(right));
    }
    setObservedStatus(right, "m-4", MemberStatus::Dead, 1'000);
    EXPECT_EQ(tableHash(left), tableHash(right));
    // Only one of the two has forgotten the dead record.
    expireSuspects(left, 1'000, 5'000, 1'000);
    EXPECT_EQ(left.entries.size() + 1, right.entries.size());
    EXPECT_EQ(tableHash(left), tableHash(right));
}

// Guards against the number of watches growing with the number of members, and against a failure domain without a watcher.
TEST(Watchers, AreTwoLiveMembersPerDomain)
{
    std::vector<Member> members;
    for (int i = 0; i < 60; ++i) {
        members.push_back(record(AK::concat("m-", i), 1, 1));
        members.back().failureDomain = AK::concat("domain-", i % 3);
    }
    for (int killed = 0; killed < 10; ++killed) {
        std::map<std::string, std::vector<Member *>> watchers;
        for (Member &member : members) {
            if (member.status == MemberStatus::Alive && isWatcher(members, member.name)) {
                watchers[member.failureDomain].push_back(&member);
            }
        }
        ASSERT_EQ(watchers.size(), 3U);
        for (auto &[domain, names] : watchers) {
            ASSERT_EQ(names.size(), 2U);
            names.front()->status = MemberStatus::Dead;
        }
    }
}

} // namespace
