#include <LibGateway/CrashingParts.h>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

using Parts = std::vector<std::string>;

struct SuspectRow {
    std::string upstream;
    AK::Milliseconds sentAt;
    AK::Milliseconds crashedAt;
    uint64_t prompt;
    Parts parts;
};

struct SoundRow {
    std::string part;
    AK::Milliseconds at;
};

struct CauseCase {
    const char *name;
    std::vector<SuspectRow> suspects;
    std::vector<SoundRow> sound;
    std::vector<std::string> causes;
};

class FindCrashingPartsTest : public testing::TestWithParam<CauseCase>
{
};

constexpr AK::Milliseconds start = 100'000;
constexpr AK::Milliseconds judgedAt = start + 5'000;

CrashEvidence evidenceOf(const CauseCase &testCase)
{
    const QuarantineSettings settings;
    CrashEvidence evidence;
    for (const SoundRow &row : testCase.sound) {
        recordSoundPart(evidence.soundParts, row.part, start + row.at);
    }
    for (const SuspectRow &row : testCase.suspects) {
        recordCrash(evidence, {row.upstream, start + row.crashedAt, {{row.prompt, start + row.sentAt, row.parts}}}, judgedAt, settings);
    }
    return evidence;
}

// Guards against a part that crashes upstreams and is not found, and against a sound part that is taken for it.
TEST_P(FindCrashingPartsTest, FindsTheCauseAlone)
{
    EXPECT_EQ(findCrashingParts(evidenceOf(GetParam()), {}, judgedAt, QuarantineSettings{}), GetParam().causes);
}

/// Crashes 100 ms apart, each by a call with `bad` that was sent after the crash before.
std::vector<SuspectRow> crashesInTurn(int count, const Parts &parts, const std::string &prefix = "u")
{
    std::vector<SuspectRow> rows;
    rows.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
        rows.push_back({prefix + std::to_string(i), i * 100 + 10, i * 100 + 100, static_cast<uint64_t>(i), parts});
    }
    return rows;
}

std::vector<SuspectRow> join(std::vector<SuspectRow> left, const std::vector<SuspectRow> &right)
{
    left.insert(left.end(), right.begin(), right.end());
    return left;
}

/// Crashes of upstreams that are hit together, for example by a loss of power.
std::vector<SuspectRow> crashesTogether(int count, const Parts &parts)
{
    std::vector<SuspectRow> rows;
    rows.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
        rows.push_back({"p" + std::to_string(i), -50 + i, 100 + i, static_cast<uint64_t>(1'000 + i), parts});
    }
    return rows;
}

/// One prompt that was sent again after each crash.
std::vector<SuspectRow> onePrompt(int count, const Parts &parts)
{
    std::vector<SuspectRow> rows = crashesInTurn(count, parts, "v");
    for (SuspectRow &row : rows) {
        row.prompt = 77;
    }
    return rows;
}

INSTANTIATE_TEST_SUITE_P(
    Table, FindCrashingPartsTest,
    testing::Values(CauseCase{"no_crash", {}, {}, {}}, CauseCase{"two_crashes", crashesInTurn(2, {"a", "bad"}), {}, {}},
                    CauseCase{"three_crashes", crashesInTurn(3, {"a", "bad"}), {}, {"bad"}},
                    CauseCase{"front_part_that_varies_behind",
                              join(join(crashesInTurn(2, {"bad", "c1"}), crashesInTurn(2, {"bad", "c2"}, "w")), crashesInTurn(1, {"bad", "c3"}, "x")),
                              {},
                              {"bad"}},
                    CauseCase{"sound_part_behind", crashesInTurn(4, {"a", "bad", "c"}), {{"c", -500}}, {"bad"}},
                    CauseCase{"one_prompt_sent_again", onePrompt(5, {"a", "b"}), {}, {}},
                    CauseCase{"power_lost_everywhere", crashesTogether(40, {"a", "b"}), {{"a", -400}, {"b", -400}}, {}},
                    CauseCase{"power_lost_beside_new_parts", crashesTogether(40, {"a", "b"}), {}, {}},
                    CauseCase{"answered_since", crashesInTurn(5, {"a", "b"}), {{"a", 600}, {"b", 600}}, {}},
                    CauseCase{"answered_between", crashesInTurn(4, {"b"}), {{"b", 250}}, {}},
                    CauseCase{"turned_bad_after_it_was_sound", crashesInTurn(6, {"bad"}), {{"bad", -2'000}}, {"bad"}},
                    CauseCase{"few_crashes_of_a_part_that_was_sound", crashesInTurn(5, {"b"}), {{"b", -2'000}}, {}},
                    CauseCase{"innocent_calls_on_the_same_upstreams",
                              join(crashesInTurn(6, {"a", "bad"}),
                                   {{"u1", 150, 200, 50, {"a", "c"}}, {"u3", 350, 400, 51, {"a", "c"}}, {"u5", 550, 600, 52, {"a", "c"}}}),
                              {},
                              {"bad"}},
                    CauseCase{"two_causes", join(crashesInTurn(5, {"a", "bad"}), crashesInTurn(4, {"a", "bad2"}, "w")), {{"a", -100}}, {"bad", "bad2"}}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against parts that are taken for the cause again after they have been released, by crashes that are already explained.
TEST(FindCrashingParts, DoesNotBlameOthersForExplainedCrashes)
{
    const CrashEvidence evidence = evidenceOf({"", crashesInTurn(6, {"a", "bad"}), {}, {}});
    EXPECT_TRUE(findCrashingParts(evidence, {"bad"}, judgedAt, QuarantineSettings{}).empty());
}

// Guards against crashes that count for ever.
TEST(FindCrashingParts, ForgetsOldCrashes)
{
    const QuarantineSettings settings;
    const CrashEvidence evidence = evidenceOf({"", crashesInTurn(3, {"a", "bad"}), {}, {}});
    EXPECT_TRUE(findCrashingParts(evidence, {}, judgedAt + settings.evidenceMaxAge, settings).empty());
}

// Guards against one crash that counts once for each entry that saw it.
TEST(RecordCrash, JoinsWhatSeveralEntriesSaw)
{
    const QuarantineSettings settings;
    CrashEvidence evidence;
    EXPECT_TRUE(recordCrash(evidence, {"u1", start, {{1, start - 50, {"a"}}}}, start, settings));
    EXPECT_TRUE(recordCrash(evidence, {"u1", start + 30, {{2, start - 20, {"b"}}}}, start + 40, settings));
    EXPECT_FALSE(recordCrash(evidence, {"u1", start + 60, {{1, start - 50, {"a"}}}}, start + 70, settings));
    ASSERT_EQ(evidence.crashes.size(), 1U);
    EXPECT_EQ(evidence.crashes[0].suspects.size(), 2U);
}

// Guards against crashes of long prompts that fill the memory of an entry, and against a fleet that goes down and pushes out the crashes of a part that recurs.
TEST(RecordCrash, KeepsARecurringPartInBoundedMemory)
{
    const QuarantineSettings settings;
    CrashEvidence evidence;
    const auto record = [&](const std::string &upstream, AK::Milliseconds at, uint64_t prompt, const Parts &parts) {
        recordCrash(evidence, {upstream, at, {{prompt, at - 50, parts}}}, at, settings);
    };
    record("u1", start, 1, {"bad"});
    record("u2", start + 100, 1, {"bad"});
    constexpr uint64_t others = 400;
    for (uint64_t i = 0; i < others; ++i) {
        Parts parts;
        for (int part = 0; part < 4'000; ++part) {
            parts.push_back(std::to_string(i) + "-" + std::to_string(part));
        }
        record("v" + std::to_string(i), start + 200, 1'000 + i, parts);
    }
    size_t remembered = 0;
    for (const Crash &crash : evidence.crashes) {
        for (const CrashSuspect &suspect : crash.suspects) {
            remembered += suspect.parts.size();
        }
    }
    EXPECT_LE(remembered, 20'000U);
    EXPECT_LE(evidence.byPart.size(), 20'000U);
    record("u3", start + 60'000, 2, {"bad"});
    EXPECT_EQ(findCrashingParts(evidence, {}, start + 60'000, settings), Parts{"bad"});
}

struct SupersededCase {
    const char *name;
    std::vector<SuspectRow> suspects;
    std::set<std::string> known;
    Parts superseded;
};

class SupersededPartsTest : public testing::TestWithParam<SupersededCase>
{
};

// Guards against the part of a session that stays quarantined although another part of its prompts is the cause, and against two causes of which one is
// released.
TEST_P(SupersededPartsTest, ExplainNothingOfTheirOwn)
{
    EXPECT_EQ(findSupersededParts(evidenceOf({"", GetParam().suspects, {}, {}}), GetParam().known, QuarantineSettings{}), GetParam().superseded);
}

INSTANTIATE_TEST_SUITE_P(
    Table, SupersededPartsTest,
    testing::Values(SupersededCase{"session", join(crashesInTurn(3, {"bad", "s1"}), crashesInTurn(2, {"bad", "s2"}, "w")), {"bad", "s1"}, {"s1"}},
                    SupersededCase{"one_more_crash", join(crashesInTurn(3, {"bad", "s1"}), crashesInTurn(1, {"bad", "s2"}, "w")), {"bad", "s1"}, {}},
                    SupersededCase{"two_causes", join(crashesInTurn(5, {"a", "bad"}), crashesInTurn(3, {"a", "bad2"}, "w")), {"bad", "bad2"}, {}},
                    SupersededCase{"same_crashes", crashesInTurn(5, {"bad", "s1"}), {"bad", "s1"}, {}}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against a memory of parts that grows with the number of prompts.
TEST(SoundParts, ForgetsTheOldest)
{
    SoundParts parts;
    for (int i = 0; i < 100'000; ++i) {
        recordSoundPart(parts, std::to_string(i), i);
    }
    EXPECT_LT(parts.newer.size() + parts.older.size(), 20'000U);
    EXPECT_FALSE(lastSound(parts, "1"));
    EXPECT_EQ(lastSound(parts, "99999"), 99'999);
}

struct SuspicionCase {
    const char *name;
    std::vector<SoundRow> sound;
    Parts parts;
    uint64_t prompt;
    bool suspected;
};

class IsSuspectedTest : public testing::TestWithParam<SuspicionCase>
{
};

// Guards against calls that crash a second upstream although another call has crashed one with the same part, and against calls with sound parts that are not
// sent again.
TEST_P(IsSuspectedTest, ByAnotherPromptWithThePart)
{
    const CrashEvidence evidence = evidenceOf({"", crashesInTurn(1, {"a", "bad"}), GetParam().sound, {}});
    EXPECT_EQ(isSuspected(evidence, GetParam().parts, GetParam().prompt, QuarantineSettings{}), GetParam().suspected);
}

INSTANTIATE_TEST_SUITE_P(Table, IsSuspectedTest,
                         testing::Values(SuspicionCase{"another_prompt", {{"a", -10}}, {"a", "bad"}, 5, true},
                                         SuspicionCase{"same_prompt", {{"a", -10}}, {"a", "bad"}, 0, false},
                                         SuspicionCase{"sound_part_only", {{"a", -10}}, {"a"}, 5, false},
                                         SuspicionCase{"other_part", {{"a", -10}}, {"a", "c"}, 5, false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
