#include <LibGateway/Misdirection.h>
#include <gtest/gtest.h>
#include <vector>

namespace
{

using namespace LibGateway;

constexpr size_t maxEntries = 3;
constexpr ExpectedUpstream expected{5, 2};

struct MisdirectionCase {
    const char *name;
    /// Times of refusals.
    std::vector<AK::Milliseconds> refusedAt;
    /// What the next call expects.
    ExpectedUpstream next;
    AK::Milliseconds until;
};

class MisdirectionTest : public testing::TestWithParam<MisdirectionCase>
{
};

// Guards against calls that are sent again and again to an incarnation that is gone, each at the cost of a retry, and against an upstream that stays without
// calls although there is news of it.
TEST_P(MisdirectionTest, PausesWhatWasExpected)
{
    const MisdirectionCase &row = GetParam();
    Misdirections misdirections;
    for (const AK::Milliseconds at : row.refusedAt) {
        recordMisdirection(misdirections, "u", expected, at, maxEntries);
    }
    EXPECT_EQ(misdirectedUntil(misdirections, "u", row.next), row.until);
}

INSTANTIATE_TEST_SUITE_P(Table, MisdirectionTest,
                         testing::Values(MisdirectionCase{"never", {}, expected, 0}, MisdirectionCase{"once", {1'000}, expected, 1'500},
                                         MisdirectionCase{"two_calls_in_flight", {1'000, 1'010}, expected, 1'500},
                                         MisdirectionCase{"again_after_the_pause", {1'000, 1'500}, expected, 2'500},
                                         MisdirectionCase{"at_most_four_seconds", {0, 500, 1'500, 3'500, 7'500, 11'500}, expected, 15'500},
                                         MisdirectionCase{"a_later_start", {1'000}, {6, 2}, 0}, MisdirectionCase{"other_weights", {1'000}, {5, 3}, 0}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against memory that grows with each upstream that has ever been replaced.
TEST(Misdirections, KeepTheLatest)
{
    Misdirections misdirections;
    for (const char *upstream : {"a", "b", "c", "d"}) {
        recordMisdirection(misdirections, upstream, expected, *upstream, maxEntries);
    }
    EXPECT_EQ(misdirections.size(), maxEntries);
    EXPECT_FALSE(misdirections.contains("a"));
}

} // namespace
