#include <LibMembership/SharedTable.h>
#include <gtest/gtest.h>

namespace
{

using LibMembership::Member;
using LibMembership::MemberStatus;
using LibMembership::SharedTable;

constexpr AK::Milliseconds suspectTimeout = 5'000;

class ManualClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->time;
    }
    AK::Milliseconds wallTime() const override
    {
        return this->time;
    }
    void sleep(AK::Milliseconds duration) const override
    {
        this->time += duration;
    }

private:
    mutable AK::Milliseconds time = 1'000;
};

Member record(const std::string &name, uint64_t sequence, MemberStatus status)
{
    Member member;
    member.name = name;
    member.rpcAddress = {"127.0.0.9", 7200};
    member.instance = 1;
    member.sequence = sequence;
    member.status = status;
    return member;
}

class SharedTableTest
{
public:
    explicit SharedTableTest()
    {
        this->settings.name = "self";
        this->settings.rpcAddress = {"127.0.0.1", 7200};
        this->settings.timing.suspectTimeoutMs = suspectTimeout;
        this->table = std::make_unique<SharedTable>(this->settings, this->clock);
    }
    MemberStatus statusOf(const std::string &name) const
    {
        return this->table->find(name)->status;
    }
    void listHost(const std::string &address, LibObjectStore::HostState state) const
    {
        this->table->applyHostList({{"host", address, state}});
    }

    ManualClock clock;
    LibSettings::ProcessSettings settings;
    std::unique_ptr<SharedTable> table;
};

struct ProbeCase {
    const char *name;
    MemberStatus before;
    MemberStatus afterOne;
    MemberStatus afterTwo;
};

class FailedProbeTest : public testing::TestWithParam<ProbeCase>, public SharedTableTest
{
};

// Guards against a member that has announced its leaving and no longer answers being listed as live again, and against one that is never declared dead.
TEST_P(FailedProbeTest, NeverMakesAMemberMoreAlive)
{
    this->table->merge({record("peer", 5, GetParam().before)});
    this->table->noteProbeFailed("peer");
    EXPECT_EQ(this->statusOf("peer"), GetParam().afterOne);
    this->clock.sleep(suspectTimeout);
    this->table->planRound();
    EXPECT_EQ(this->statusOf("peer"), GetParam().afterOne);
    this->table->noteProbeFailed("peer");
    this->table->planRound();
    EXPECT_EQ(this->statusOf("peer"), GetParam().afterTwo);
}

INSTANTIATE_TEST_SUITE_P(Table, FailedProbeTest,
                         testing::Values(ProbeCase{"alive", MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Dead},
                                         ProbeCase{"leaving", MemberStatus::Leaving, MemberStatus::Leaving, MemberStatus::Dead}),
                         [](const auto &info) { return info.param.name; });

struct ReportCase {
    const char *name;
    MemberStatus known;
    uint64_t sequence;
    MemberStatus reported;
    MemberStatus result;
};

class ReportTest : public testing::TestWithParam<ReportCase>, public SharedTableTest
{
};

// Guards against a suspicion that another process reports hiding that the member is leaving, whichever of the two records arrives first.
TEST_P(ReportTest, LeavingOutweighsSuspicionOfTheSameRecord)
{
    this->table->merge({record("peer", 1, MemberStatus::Alive), record("peer", 5, GetParam().known)});
    this->table->merge({record("peer", GetParam().sequence, GetParam().reported)});
    EXPECT_EQ(this->statusOf("peer"), GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(Table, ReportTest,
                         testing::Values(ReportCase{"suspected_when_leaving", MemberStatus::Leaving, 5, MemberStatus::Suspect, MemberStatus::Leaving},
                                         ReportCase{"leaving_when_suspected", MemberStatus::Suspect, 5, MemberStatus::Leaving, MemberStatus::Leaving},
                                         ReportCase{"dead_when_leaving", MemberStatus::Leaving, 5, MemberStatus::Dead, MemberStatus::Dead},
                                         ReportCase{"leaving_when_dead", MemberStatus::Dead, 5, MemberStatus::Leaving, MemberStatus::Dead},
                                         ReportCase{"suspected_when_alive", MemberStatus::Alive, 5, MemberStatus::Suspect, MemberStatus::Suspect},
                                         ReportCase{"alive_when_leaving", MemberStatus::Leaving, 5, MemberStatus::Alive, MemberStatus::Leaving},
                                         ReportCase{"older_than_leaving", MemberStatus::Leaving, 4, MemberStatus::Suspect, MemberStatus::Leaving},
                                         ReportCase{"returned", MemberStatus::Leaving, 6, MemberStatus::Alive, MemberStatus::Alive}),
                         [](const auto &info) { return info.param.name; });

class SuspicionTest : public testing::Test, public SharedTableTest
{
};

// Guards against a host that the list marks as leaving being listed as live because it is suspected, and against the mark keeping it from being declared dead.
TEST_F(SuspicionTest, MarkOfTheHostListOutweighsSuspicion)
{
    this->table->merge({record("peer", 5, MemberStatus::Alive)});
    this->table->noteProbeFailed("peer");
    this->listHost("127.0.0.9", LibObjectStore::HostState::Leaving);
    EXPECT_EQ(this->statusOf("peer"), MemberStatus::Leaving);
    this->clock.sleep(suspectTimeout);
    this->table->noteProbeFailed("peer");
    this->table->planRound();
    EXPECT_EQ(this->statusOf("peer"), MemberStatus::Dead);
}

// Guards against a member that takes long to finish its calls being declared dead by two failed probes with a response between them.
TEST_F(SuspicionTest, ResponseEndsTheSuspicion)
{
    this->table->merge({record("peer", 5, MemberStatus::Leaving)});
    this->table->noteProbeFailed("peer");
    this->table->noteProbeAnswered("peer");
    this->clock.sleep(suspectTimeout);
    this->table->noteProbeFailed("peer");
    this->table->planRound();
    EXPECT_EQ(this->statusOf("peer"), MemberStatus::Leaving);
}

// Guards against a member that refuted a suspicion being declared dead when another process suspects it, without a new probe.
TEST_F(SuspicionTest, NewerRecordBeginsTheSuspicionAnew)
{
    this->table->merge({record("peer", 5, MemberStatus::Alive)});
    this->table->noteProbeFailed("peer");
    this->table->noteProbeFailed("peer");
    this->table->merge({record("peer", 6, MemberStatus::Suspect)});
    this->clock.sleep(suspectTimeout);
    this->table->planRound();
    EXPECT_EQ(this->statusOf("peer"), MemberStatus::Suspect);
}

// Guards against a leaving process that does not contradict those who took it for a suspect, so that they keep listing it as live.
TEST_F(SuspicionTest, ContradictsASuspicion)
{
    this->table->announceLeaving();
    Member report = *this->table->find("self");
    report.status = MemberStatus::Suspect;
    this->table->merge({report});
    EXPECT_EQ(this->statusOf("self"), MemberStatus::Leaving);
    EXPECT_GT(this->table->find("self")->sequence, report.sequence);
}

struct LeavingCase {
    const char *name;
    bool markedBefore;
    bool announced;
    MemberStatus result;
};

class WithdrawalTest : public testing::TestWithParam<LeavingCase>, public SharedTableTest
{
};

// Guards against a process that stops being listed as live again because the host list, which had marked it as leaving too, says live.
TEST_P(WithdrawalTest, HostListWithdrawsItsOwnMarkOnly)
{
    if (GetParam().markedBefore) {
        this->listHost("127.0.0.1", LibObjectStore::HostState::Leaving);
        EXPECT_EQ(this->statusOf("self"), MemberStatus::Leaving);
    }
    if (GetParam().announced) {
        this->table->announceLeaving();
    }
    this->listHost("127.0.0.1", LibObjectStore::HostState::Live);
    EXPECT_EQ(this->statusOf("self"), GetParam().result);
}

INSTANTIATE_TEST_SUITE_P(Table, WithdrawalTest,
                         testing::Values(LeavingCase{"marked", true, false, MemberStatus::Alive}, LeavingCase{"announced", false, true, MemberStatus::Leaving},
                                         LeavingCase{"marked_then_announced", true, true, MemberStatus::Leaving}),
                         [](const auto &info) { return info.param.name; });

} // namespace
