#include <LibGateway/Availability.h>
#include <functional>
#include <gtest/gtest.h>

namespace
{

using namespace LibGateway;

constexpr AK::Milliseconds now = 1'000;

struct HindranceCase {
    const char *name;
    std::function<void(UpstreamConditions &)> set;
    std::optional<Hindrance> expected;
};

class HindranceTest : public testing::TestWithParam<HindranceCase>
{
};

// Guards against a condition that is overlooked, and against a cause that hides one that lasts longer.
TEST_P(HindranceTest, IsNamed)
{
    UpstreamConditions conditions;
    GetParam().set(conditions);
    EXPECT_EQ(hindranceTo(conditions, now), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(Table, HindranceTest,
                         testing::Values(HindranceCase{"none", [](auto &) {}, std::nullopt},
                                         HindranceCase{"other_service", [](auto &c) { c.sameService = false; }, Hindrance{Obstacle::OtherService}},
                                         HindranceCase{"draining", [](auto &c) { c.draining = true; }, Hindrance{Obstacle::Draining}},
                                         HindranceCase{"leaving", [](auto &c) { c.leaving = true; }, Hindrance{Obstacle::Leaving}},
                                         HindranceCase{"evacuated", [](auto &c) { c.evacuated = true; }, Hindrance{Obstacle::Evacuated}},
                                         HindranceCase{"other_region", [](auto &c) { c.regionAllowed = false; }, Hindrance{Obstacle::OtherRegion}},
                                         HindranceCase{"excluded", [](auto &c) { c.excluded = true; }, Hindrance{Obstacle::Excluded}},
                                         HindranceCase{"weights", [](auto &c) { c.weightsAllowed = false; }, Hindrance{Obstacle::Weights}},
                                         HindranceCase{"switching", [](auto &c) { c.switching = true; }, Hindrance{Obstacle::Switching}},
                                         HindranceCase{"paused", [](auto &c) { c.pausedUntil = now + 7; }, Hindrance{Obstacle::Paused, now + 7}},
                                         HindranceCase{"pause_over", [](auto &c) { c.pausedUntil = now; }, std::nullopt},
                                         HindranceCase{"paused_and_suspended",
                                                       [](auto &c) {
                                                           c.pausedUntil = now + 7;
                                                           c.suspendedUntil = now + 9;
                                                       },
                                                       Hindrance{Obstacle::Paused, now + 9}},
                                         HindranceCase{"resuming", [](auto &c) { c.resuming = true; }, Hindrance{Obstacle::Resuming}},
                                         HindranceCase{"suspended", [](auto &c) { c.suspendedUntil = now + 1; }, Hindrance{Obstacle::Suspended, now + 1}},
                                         HindranceCase{"suspension_over", [](auto &c) { c.suspendedUntil = now; }, std::nullopt},
                                         HindranceCase{"cold_rate", [](auto &c) { c.rateAllows = false; }, Hindrance{Obstacle::ColdRate}},
                                         HindranceCase{"rate_limit",
                                                       [](auto &c) {
                                                           c.rateAllows = false;
                                                           c.rateNamed = true;
                                                       },
                                                       Hindrance{Obstacle::RateLimit}},
                                         HindranceCase{"draining_and_suspended",
                                                       [](auto &c) {
                                                           c.draining = true;
                                                           c.suspendedUntil = now + 1;
                                                       },
                                                       Hindrance{Obstacle::Draining}}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against an obstacle whose name is missing in logs and metrics.
TEST(Obstacles, HaveNames)
{
    for (int value = 0; value <= static_cast<int>(Obstacle::ClientLeft); ++value) {
        EXPECT_NE(AK::nameOf(obstacleNames, static_cast<Obstacle>(value)), "?") << value;
    }
}

} // namespace
