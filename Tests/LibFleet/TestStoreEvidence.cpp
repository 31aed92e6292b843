#include <LibFleet/RemovedObjects.h>
#include <LibFleet/StoreEvidence.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::expiredLeaseGrace;
using LibFleet::SteadyPeriod;
using LibFleet::StoreAbsence;
using LibFleet::StoreEvidence;

constexpr AK::Milliseconds leaseRenewal = 1'200;
constexpr AK::Milliseconds lapse = LibFleet::shortestLapse(leaseRenewal);

struct LapseCase {
    const char *name;
    SteadyPeriod others;
    StoreAbsence own;
    bool noLapse;
};

class LapseEvidenceTest : public testing::TestWithParam<LapseCase>
{
};

// Guards against a process that takes its own absence for one of the store, and against one that removes upstreams whose leases lapsed while the store was
// away.
TEST_P(LapseEvidenceTest, IsWhatOthersSawInTheAbsence)
{
    EXPECT_EQ(LibFleet::showsNoLapse(GetParam().others, GetParam().own, leaseRenewal), GetParam().noLapse);
}

INSTANTIATE_TEST_SUITE_P(Table, LapseEvidenceTest,
                         testing::Values(LapseCase{"own_cut", {10'000, 25'000}, {17'500, 17'500, 25'500}, true},
                                         LapseCase{"news_since_the_absence", {10'000, 26'000}, {17'500, 17'500, 25'500}, true},
                                         LapseCase{"store_away", {25'400, 25'500}, {17'500, 17'500, 25'500}, false},
                                         LapseCase{"ends_just_before_the_absence", {10'000, 17'400}, {17'500, 17'500, 25'500}, false},
                                         LapseCase{"too_old", {10'000, 25'500 - lapse}, {17'500, 17'500, 25'500}, false},
                                         LapseCase{"just_new_enough", {10'000, 25'501 - lapse}, {17'500, 17'500, 25'500}, true},
                                         LapseCase{"cut_then_store_away", {24'000, 25'500}, {17'500, 17'500, 25'500}, false},
                                         LapseCase{"store_back_for_a_whole_grace", {25'500 - expiredLeaseGrace, 25'500}, {17'500, 17'500, 25'500}, true},
                                         LapseCase{"two_close_absences_of_the_store", {10'000, 20'150}, {17'500, 20'000, 22'300}, false},
                                         LapseCase{"two_close_cuts", {10'000, 22'000}, {17'500, 20'000, 22'300}, true},
                                         LapseCase{"before_the_first_answer", {24'000, 25'500}, {0, 0, 25'500}, false}),
                         [](const auto &info) { return std::string(info.param.name); });

struct AdoptCase {
    const char *name;
    /// The store has answered this process from second 10 to second 20.
    SteadyPeriod told;
    AK::Milliseconds now;
    SteadyPeriod known;
};

class AdoptedEvidenceTest : public testing::TestWithParam<AdoptCase>
{
};

// Guards against evidence that spans an absence, or that lasts after the store has ceased to answer everybody.
TEST_P(AdoptedEvidenceTest, JoinsOnlyWhatIsContinuousAndNew)
{
    StoreEvidence evidence;
    for (AK::Milliseconds now = 10'000; now <= 20'000; now += 1'000) {
        evidence.storeAnswered(now, false, leaseRenewal);
    }
    evidence.adopt(GetParam().told, GetParam().now, leaseRenewal);
    EXPECT_EQ(evidence.period(), GetParam().known);
}

INSTANTIATE_TEST_SUITE_P(
    Table, AdoptedEvidenceTest,
    testing::Values(AdoptCase{"longer", {5'000, 24'900}, 25'000, {5'000, 24'900}}, AdoptCase{"overlapping", {15'000, 24'900}, 25'000, {10'000, 24'900}},
                    AdoptCase{"after_a_gap", {21'200, 24'900}, 25'000, {21'200, 24'900}}, AdoptCase{"earlier", {5'000, 8'700}, 10'700, {10'000, 20'000}},
                    AdoptCase{"too_old", {5'000, 22'999}, 25'000, {10'000, 20'000}}, AdoptCase{"in_the_future", {5'000, 90'000}, 25'000, {5'000, 25'000}},
                    AdoptCase{"backwards", {24'900, 24'000}, 25'000, {10'000, 20'000}}),
    [](const auto &info) { return std::string(info.param.name); });

struct AnswerCase {
    const char *name;
    AK::Milliseconds silence;
    bool mayHaveLapsed;
    bool restored;
    bool continues;
};

class AnswerEvidenceTest : public testing::TestWithParam<AnswerCase>
{
};

// Guards against evidence of a process that did not call the store for a while, or that knew it before it came back from an older copy.
TEST_P(AnswerEvidenceTest, EndsWithAnAbsence)
{
    constexpr AK::Milliseconds last = 20'000;
    StoreEvidence evidence;
    evidence.storeAnswered(last - 1'000, false, leaseRenewal);
    evidence.adopt({10'000, last}, last, leaseRenewal);
    EXPECT_TRUE(evidence.graceIsOver(last, leaseRenewal));
    EXPECT_FALSE(evidence.graceIsOver(last + lapse, leaseRenewal));
    const AK::Milliseconds now = last + GetParam().silence;
    if (GetParam().restored) {
        evidence.storeRestored(now);
        evidence.adopt({10'000, now - 1}, now, leaseRenewal);
    }
    evidence.storeAnswered(now, GetParam().mayHaveLapsed, leaseRenewal);
    EXPECT_EQ(evidence.period(), (SteadyPeriod{GetParam().continues ? 10'000 : now, now}));
    EXPECT_EQ(evidence.graceIsOver(now, leaseRenewal), GetParam().continues);
}

INSTANTIATE_TEST_SUITE_P(Table, AnswerEvidenceTest,
                         testing::Values(AnswerCase{"continues", 1'600, false, false, true}, AnswerCase{"silent", lapse, false, false, false},
                                         AnswerCase{"lapsed", 1'600, true, false, false}, AnswerCase{"restored", 500, false, true, false}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an upstream that stays out of force after it has registered again.
TEST(RemovedObjects, AreThoseThatLeftWithoutReturning)
{
    LibFleet::RemovedObjects removed;
    removed.record({{"a", "1"}, {"b", "1"}}, {{"b", "1"}}, 1'000);
    EXPECT_TRUE(removed.contains("a", "1"));
    EXPECT_FALSE(removed.contains("a", "2"));
    EXPECT_FALSE(removed.contains("b", "1"));
    removed.record({{"b", "1"}}, {{"a", "1"}, {"b", "1"}}, 2'000);
    EXPECT_FALSE(removed.contains("a", "1"));
}

} // namespace
