#include <LibFleet/RestoredCopy.h>
#include <gtest/gtest.h>

namespace
{

using LibFleet::ObjectPage;
using LibFleet::StoredObject;

constexpr AK::Milliseconds grace = 2'300;
constexpr AK::Milliseconds start = 100'000;

struct RepeatCase {
    const char *name;
    /// Whether another process marks the object as kept though the store lacks it, or as unused though the store has it.
    bool lapsed;
    /// Whether the object is stored, in use, between the two pages.
    bool storedBetween;
    bool inForceAfterRepeat;
};

class RepeatedMarkTest : public testing::TestWithParam<RepeatCase>
{
};

// Guards against processes that repeat each other's marks: an upstream that was gone stayed in use for as long as others changed.
TEST_P(RepeatedMarkTest, IsTakenOverOnce)
{
    const RepeatCase &row = GetParam();
    LibFleet::RestoredCopy restored;
    const StoredObject marked{"x", "state", false, row.lapsed, row.lapsed ? 0 : 5, !row.lapsed};
    LibFleet::ObjectSnapshot snapshot;
    snapshot.replace({20, row.lapsed ? std::vector<StoredObject>{} : std::vector<StoredObject>{{"x", "state", false, false, 5}}});
    restored.adopt({20, {marked}}, start, grace);
    EXPECT_EQ(restored.merge(snapshot, start).contains("x"), row.lapsed);
    EXPECT_EQ(restored.merge(snapshot, start + grace).contains("x"), !row.lapsed);
    AK::Milliseconds now = start + grace;
    if (row.storedBetween) {
        LibFleet::ObjectSnapshot stored;
        stored.replace({21, {{"x", "state", false, false, 21}}});
        restored.merge(stored, now);
    }
    // Another process that learned of the mark later still has it.
    for (int i = 0; i < 10; ++i) {
        now += grace / 10;
        restored.adopt({22 + i, {marked}}, now, grace);
    }
    EXPECT_EQ(restored.merge(snapshot, now).contains("x"), row.inForceAfterRepeat);
}

INSTANTIATE_TEST_SUITE_P(Table, RepeatedMarkTest,
                         testing::Values(RepeatCase{"lapsed", true, false, false}, RepeatCase{"out_of_date", false, false, true},
                                         RepeatCase{"lapsed_once_more", true, true, true}),
                         [](const auto &info) { return info.param.name; });

struct GraceLeftCase {
    const char *name;
    bool lapsed;
    AK::Milliseconds told;
    AK::Milliseconds kept;
};

class GraceLeftTest : public testing::TestWithParam<GraceLeftCase>
{
};

// Guards against grace times that add up: each process that learned of a mark began the whole time anew.
TEST_P(GraceLeftTest, EndsWithThatOfTheSender)
{
    const bool lapsed = GetParam().lapsed;
    LibFleet::RestoredCopy restored;
    LibFleet::ObjectSnapshot snapshot;
    snapshot.replace({20, lapsed ? std::vector<StoredObject>{} : std::vector<StoredObject>{{"x", "state", false, false, 5}}});
    restored.adopt({20, {{"x", "state", false, lapsed, lapsed ? 0 : 5, !lapsed, GetParam().told}}}, start, grace);
    EXPECT_EQ(restored.merge(snapshot, start + GetParam().kept - 1).contains("x"), lapsed);
    EXPECT_EQ(restored.merge(snapshot, start + GetParam().kept).contains("x"), !lapsed);
}

INSTANTIATE_TEST_SUITE_P(Table, GraceLeftTest,
                         testing::Values(GraceLeftCase{"lapsed", true, 700, 700}, GraceLeftCase{"out_of_date", false, 700, 700},
                                         GraceLeftCase{"older_build", true, 0, grace}, GraceLeftCase{"longer_than_the_grace", true, 90'000, grace}),
                         [](const auto &info) { return info.param.name; });

} // namespace
