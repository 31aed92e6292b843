#include "SlotSite.h"
#include <gtest/gtest.h>

namespace
{

using namespace Gateway;

constexpr AK::Milliseconds settleTime = 100;
constexpr AK::Milliseconds inTimeFor = 1'000;

/// Both engines are full. Calls wait at either entry for the slots of the second.
class CompetitionSite
{
public:
    explicit CompetitionSite(bool competition)
        : site(0, competition)
    {
        for (int i = 0; i < 4; ++i) {
            this->heldByFirst.push_back(this->hold(this->site.first));
            this->heldBySecond.push_back(this->hold(this->site.second));
        }
    }

    kj::Own<Grant> hold(Dispatcher &dispatcher)
    {
        kj::Maybe<kj::Own<Grant>> grant = this->site.acquire(dispatcher, this->requirements(0, ""));
        return kj::mv(KJ_ASSERT_NONNULL(grant));
    }

    CallRequirements requirements(int priority, const std::string &account) const
    {
        CallRequirements requirements = this->site.requirements(0);
        requirements.rank.priority = priority;
        requirements.account = account;
        requirements.startBy = requirements.arrivedAt + 2 * inTimeFor;
        requirements.inTimeUntil = requirements.arrivedAt + inTimeFor;
        requirements.clientLeavesAt = requirements.arrivedAt + 6 * inTimeFor;
        return requirements;
    }

    /// Starts a call that waits; its name is added to `served` when it gets a slot, which it holds until the fiber ends.
    kj::Promise<void> wait(Dispatcher &dispatcher, int priority, const std::string &name)
    {
        return this->site.loop.fiber([this, &dispatcher, priority, name](kj::WaitScope &scope) {
            const GrantOrRefusal result = dispatcher.acquire(scope, this->requirements(priority, name));
            this->served.push_back(result.grant != nullptr ? name : name + " refused");
            this->site.loop.sleep(scope, 10 * inTimeFor);
        });
    }

    void sleep(AK::Milliseconds duration)
    {
        this->site.loop.sleep(this->site.loop.rootScope(), duration);
    }

    SlotSite site;
    std::vector<kj::Own<Grant>> heldByFirst;
    std::vector<kj::Own<Grant>> heldBySecond;
    std::vector<std::string> served;
};

// Guards against a less urgent call that starts at its own entry while an urgent one waits at another.
TEST(CrossEntryOrder, ServesTheUrgentCallFirst)
{
    CompetitionSite site(true);
    const auto batch = site.wait(site.site.second, 2, "batch");
    site.sleep(settleTime);
    const auto urgent = site.wait(site.site.first, 0, "urgent");
    site.sleep(settleTime);
    site.heldBySecond.pop_back();
    site.sleep(settleTime);
    EXPECT_EQ(site.served, std::vector<std::string>{"urgent"});
}

// Guards against an owner that serves its own calls first. It does without competition, which shows that the test can fail.
TEST(CrossEntryOrder, ServesTheEarlierOfTwoEqualCalls)
{
    for (const bool competition : {true, false}) {
        CompetitionSite site(competition);
        const auto earlier = site.wait(site.site.first, 1, "earlier");
        site.sleep(settleTime);
        const auto later = site.wait(site.site.second, 1, "later");
        site.sleep(settleTime);
        site.heldBySecond.pop_back();
        site.sleep(settleTime);
        ASSERT_EQ(site.served.size(), 1U);
        EXPECT_EQ(site.served.front(), competition ? "earlier" : "later");
    }
}

// Guards against a slot that stays with a request whose call has got another slot, or whose client has left.
TEST(WaitingRequest, IsWithdrawnWithItsCall)
{
    CompetitionSite site(true);
    {
        const auto left = site.wait(site.site.first, 0, "left");
        site.sleep(settleTime);
    }
    const auto replaced = site.wait(site.site.first, 0, "replaced");
    site.sleep(settleTime);
    site.heldByFirst.pop_back();
    site.sleep(settleTime);
    EXPECT_EQ(site.served, std::vector<std::string>{"replaced"});
    const auto batch = site.wait(site.site.second, 2, "batch");
    site.sleep(settleTime);
    site.heldBySecond.pop_back();
    site.sleep(settleTime);
    EXPECT_EQ(site.served, (std::vector<std::string>{"replaced", "batch"}));
}

// Guards against a call that hangs or is refused early because the owner at which it waits dies.
TEST(WaitingRequest, EndsWithItsOwner)
{
    CompetitionSite site(true);
    const auto call = site.wait(site.site.first, 0, "call");
    site.sleep(settleTime);
    site.site.server = nullptr;
    site.sleep(settleTime);
    EXPECT_TRUE(site.served.empty());
    site.heldBySecond.pop_back();
    EXPECT_EQ(upstreamOf(site.site.acquire(site.site.second, site.requirements(2, ""))), "i-2") << "the request has ended with the connection";
    site.heldByFirst.pop_back();
    site.sleep(settleTime);
    EXPECT_EQ(site.served, std::vector<std::string>{"call"});
}

// Guards against memory that grows with the requests of other entries, and against owners that ignore the limit of the wait.
TEST(WaitingRequest, IsLimited)
{
    CompetitionSite site(true);
    const LibPeers::SlotRequest request{"s", 0, 0, false, {}, {}, settleTime, ""};
    const auto isOffered = [&] {
        return site.site.second.awaitSlot(request).then([](const kj::Maybe<LibPeers::OfferedSlot> &offer) { return offer != nullptr; });
    };
    std::vector<kj::Promise<bool>> waiting;
    constexpr size_t most = 512;
    for (size_t i = 0; i < most; ++i) {
        waiting.push_back(isOffered());
    }
    auto &scope = site.site.loop.rootScope();
    EXPECT_FALSE(waiting.front().poll(scope));
    EXPECT_TRUE(isOffered().poll(scope)) << "answered at once";
    EXPECT_EQ(site.site.second.waitingCalls(), 0U) << "they are no calls of this entry's clients";
    site.sleep(2 * settleTime);
    EXPECT_FALSE(waiting.front().wait(scope));
}

// Guards against an operator who can't see which priority waits, starts or is refused, and for what reason.
TEST(CompetitionMetrics, CountByPriority)
{
    CompetitionSite site(true);
    CallRequirements late = site.requirements(2, "");
    late.startBy = late.arrivedAt + settleTime;
    late.inTimeUntil = late.startBy;
    EXPECT_EQ(upstreamOf(site.site.acquire(site.site.first, late)), "");
    const auto waiting = site.wait(site.site.first, 0, "waiting");
    site.sleep(settleTime);
    LibMetrics::MetricRegistry metrics;
    site.site.first.exportMetrics(metrics);
    const std::string text = metrics.text();
    for (const char *line :
         {"calls_waiting{priority=\"0\"} 1", "calls_started{priority=\"0\"} 4", "calls_refused{priority=\"2\",reason=\"waited_too_long\"} 1"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << "\n" << text;
    }
}

} // namespace
