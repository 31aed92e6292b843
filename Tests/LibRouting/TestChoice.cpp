#include <AK/Hash.h>
#include <LibRouting/Choice.h>
#include <LibRouting/Retry.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace
{

using namespace LibRouting;
using LibMembership::Member;
using LibMembership::MemberStatus;
using LibMembership::ServingState;

const std::string targetRoot(64, 'a');
const std::string previousRoot(64, 'b');

LibConfiguration::Configuration configuration(bool rolloutInProgress)
{
    LibConfiguration::Configuration result;
    result.site.failureDomains = {{"lima", {"peru", true}}, {"cusco", {"peru", false}}};
    auto &service = result.site.services["assistant"];
    service.target = LibSettings::WeightsTarget{"m", "a", "2", targetRoot};
    if (rolloutInProgress) {
        service.previous = LibSettings::WeightsTarget{"m", "a", "1", previousRoot};
    }
    result.site.upstreams = {{"w1", {"assistant", "lima", true}}, {"w2", {"assistant", "cusco", true}}, {"w3", {"assistant", "lima", false}}};
    result.restrictions["r"] = {"r", "", "w4", "op", "", 100};
    result.site.upstreams["w4"] = {"assistant", "lima", true};
    return result;
}

struct CandidateCase {
    const char *name;
    std::string member;
    MemberStatus status;
    ServingState serving;
    std::string root;
    bool rolloutInProgress;
    AK::Milliseconds wallTime;
    std::string version;
};

class CandidateTest : public testing::TestWithParam<CandidateCase>
{
};

// Guards against calls to upstreams that are out of service, leaving, dead, or serve other weights.
TEST_P(CandidateTest, OnlyUsableUpstreamsAreCandidates)
{
    Member member;
    member.name = GetParam().member;
    member.role = LibSettings::ProcessRole::Agent;
    member.status = GetParam().status;
    member.servingState = GetParam().serving;
    member.weightsRoot = GetParam().root;
    const auto found = candidatesOf(configuration(GetParam().rolloutInProgress), {member}, "assistant", GetParam().wallTime);
    EXPECT_EQ(found.empty() ? "" : found[0].version, GetParam().version);
}

INSTANTIATE_TEST_SUITE_P(Table, CandidateTest,
                         testing::Values(CandidateCase{"target", "w1", MemberStatus::Alive, ServingState::Serving, targetRoot, false, 0, "2"},
                                         CandidateCase{"previous_in_rollout", "w1", MemberStatus::Alive, ServingState::Fetching, previousRoot, true, 0, "1"},
                                         CandidateCase{"previous_after_rollout", "w1", MemberStatus::Alive, ServingState::Serving, previousRoot, false, 0, ""},
                                         CandidateCase{"loading", "w1", MemberStatus::Alive, ServingState::Loading, targetRoot, false, 0, ""},
                                         CandidateCase{"no_root", "w1", MemberStatus::Alive, ServingState::Serving, "", false, 0, ""},
                                         CandidateCase{"leaving", "w1", MemberStatus::Leaving, ServingState::Serving, targetRoot, false, 0, ""},
                                         CandidateCase{"suspect", "w1", MemberStatus::Suspect, ServingState::Serving, targetRoot, false, 0, ""},
                                         CandidateCase{"dead", "w1", MemberStatus::Dead, ServingState::Serving, targetRoot, false, 0, ""},
                                         CandidateCase{"domain_out", "w2", MemberStatus::Alive, ServingState::Serving, targetRoot, false, 0, ""},
                                         CandidateCase{"upstream_out", "w3", MemberStatus::Alive, ServingState::Serving, targetRoot, false, 0, ""},
                                         CandidateCase{"restricted", "w4", MemberStatus::Alive, ServingState::Serving, targetRoot, false, 99, ""},
                                         CandidateCase{"restriction_over", "w4", MemberStatus::Alive, ServingState::Serving, targetRoot, false, 100, "2"},
                                         CandidateCase{"not_declared", "w9", MemberStatus::Alive, ServingState::Serving, targetRoot, false, 0, ""}),
                         [](const auto &info) { return info.param.name; });

Candidate candidate(const std::string &name, const std::string &region, const std::string &domain, uint32_t inUse, AK::Milliseconds at)
{
    Candidate result{name, {}, region, domain, {}, {}, LoadHint{10, inUse, 0, true, at}};
    return result;
}

struct ChoiceCase {
    const char *name;
    std::vector<Candidate> candidates;
    std::string prefix;
    size_t chosen;
};

class ChoiceTest : public testing::TestWithParam<ChoiceCase>
{
};

// Guards against calls that cross failure domains or regions without need, and against old hints or affinity that override load.
TEST_P(ChoiceTest, ChoosesByLoadAndDistance)
{
    AK::Random random(7);
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(chooseCandidate(GetParam().candidates, {"peru", "lima", GetParam().prefix}, 10'000, {}, random), GetParam().chosen);
    }
}

// The candidate that rendezvous hashing selects for the prefix.
const size_t preferred = AK::rendezvousWeight("hello", "a0") > AK::rendezvousWeight("hello", "a1") ? 0 : 1;

std::vector<Candidate> affinityPair(uint32_t preferredLoad)
{
    std::vector<Candidate> result{candidate("a0", "peru", "lima", 1, 9'000), candidate("a1", "peru", "lima", 1, 9'000)};
    result[preferred].hint->inUse = preferredLoad;
    return result;
}

INSTANTIATE_TEST_SUITE_P(
    Table, ChoiceTest,
    testing::Values(ChoiceCase{"less_load", {candidate("a", "peru", "lima", 9, 9'000), candidate("b", "peru", "lima", 2, 9'000)}, "", 1},
                    ChoiceCase{"own_domain", {candidate("a", "peru", "cusco", 2, 9'000), candidate("b", "peru", "lima", 3, 9'000)}, "", 1},
                    ChoiceCase{"other_domain_when_full", {candidate("a", "peru", "cusco", 2, 9'000), candidate("b", "peru", "lima", 10, 9'000)}, "", 0},
                    ChoiceCase{"own_region", {candidate("a", "chile", "arica", 0, 9'000), candidate("b", "peru", "cusco", 6, 9'000)}, "", 1},
                    ChoiceCase{"aged_hint_counts_as_unknown", {candidate("a", "peru", "lima", 0, 0), candidate("b", "peru", "lima", 4, 9'000)}, "", 1},
                    ChoiceCase{"affinity", affinityPair(7), "hello", preferred}, ChoiceCase{"affinity_bounded", affinityPair(8), "hello", 1 - preferred}),
    [](const auto &info) { return info.param.name; });

// Guards against a retry storm: when every attempt fails, retries must stay at a tenth of the first attempts plus the initial token.
TEST(Retry, BudgetBoundsRetriesToATenth)
{
    RetryBudget budget;
    int retries = 0;
    for (int call = 0; call < 1'000; ++call) {
        countFirstAttempt(budget);
        FailedAttempt failed;
        failed.repeatable = true;
        while (decideRetry(failed, budget) == RetryDecision::TryAnother) {
            ++retries;
        }
    }
    EXPECT_LE(retries, 101);
    EXPECT_GE(retries, 99);
}

struct RetryCase {
    const char *name;
    FailedAttempt attempt;
    RetryDecision decision;
};

class RetryTest : public testing::TestWithParam<RetryCase>
{
};

// Guards against a second execution of a call that may not be repeated, and against a caller that receives parts of two answers.
TEST_P(RetryTest, RepeatsOnlyWhatIsSafe)
{
    RetryBudget budget;
    EXPECT_EQ(decideRetry(GetParam().attempt, budget), GetParam().decision);
}

INSTANTIATE_TEST_SUITE_P(Table, RetryTest,
                         testing::Values(RetryCase{"refused", {true, false, false, 1}, RetryDecision::TryAnother},
                                         RetryCase{"refused_too_often", {true, true, false, refusalLimit}, RetryDecision::GiveUp},
                                         RetryCase{"failed_repeatable", {false, true, false, 0}, RetryDecision::TryAnother},
                                         RetryCase{"failed_not_repeatable", {false, false, false, 0}, RetryDecision::GiveUp},
                                         RetryCase{"bytes_at_the_caller", {false, true, true, 0}, RetryDecision::GiveUp}),
                         [](const auto &info) { return info.param.name; });

enum class Policy { LeastLoaded, TwoChoices };

struct StaleHintResult {
    uint64_t overflows = 0;
    uint32_t peak = 0;
};

// Simulates 12 upstreams of 8 slots whose load the entries see up to `stalenessMs` late. 70 calls arrive per 100 ms and take 100 ms each (73% of capacity).
StaleHintResult simulateStaleHints(Policy policy, AK::Milliseconds stalenessMs, uint64_t seed)
{
    AK::Random random(seed);
    std::vector<std::vector<AK::Milliseconds>> ends(12);
    std::vector<Candidate> seen;
    seen.reserve(ends.size());
    for (int i = 0; i < 12; ++i) {
        seen.push_back(candidate("w" + std::to_string(i), "peru", "lima", 0, 0));
    }
    StaleHintResult result;
    for (AK::Milliseconds now = 0; now < 20'000; ++now) {
        for (size_t i = 0; i < ends.size(); ++i) {
            std::erase_if(ends[i], [now](AK::Milliseconds end) { return end <= now; });
            if (now % stalenessMs == 0) {
                seen[i].hint = LoadHint{8, static_cast<uint32_t>(ends[i].size()), 0, true, now};
            }
        }
        if (now % 10 < 7) {
            const ChoiceContext context{"peru", "lima", ""};
            const size_t chosen = policy == Policy::TwoChoices ? *chooseCandidate(seen, context, now, {}, random) : *chooseLeastLoaded(seen, context, now, {});
            ends[chosen].push_back(now + 100);
            result.overflows += ends[chosen].size() > 8 ? 1 : 0;
            result.peak = std::max(result.peak, static_cast<uint32_t>(ends[chosen].size()));
        }
    }
    return result;
}

// Guards against herding: callers with the same stale hints must not all select one upstream. Prints the figures of docs/notes/candidate-choice.md.
TEST(Choice, TwoChoicesHerdLessThanLeastLoadedOnStaleHints)
{
    for (const AK::Milliseconds staleness : {1, 20, 100, 500}) {
        const StaleHintResult least = simulateStaleHints(Policy::LeastLoaded, staleness, 1);
        const StaleHintResult two = simulateStaleHints(Policy::TwoChoices, staleness, 1);
        std::cout << "hints every " << staleness << " ms: least loaded overflows " << least.overflows << " peak " << least.peak << "; two choices overflows "
                  << two.overflows << " peak " << two.peak << " of 14000 calls\n";
        if (staleness >= 20) {
            EXPECT_LT(two.overflows, least.overflows) << staleness;
            EXPECT_LT(two.peak, least.peak) << staleness;
        }
    }
}

} // namespace
