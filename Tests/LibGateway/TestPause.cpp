#include <LibGateway/Pause.h>
#include <gtest/gtest.h>
#include <vector>

namespace
{

using namespace LibGateway;

constexpr unsigned seed = 1;

struct PauseRequest {
    AK::Milliseconds at;
    AK::Milliseconds duration;
};

struct PauseCase {
    const char *name;
    std::vector<PauseRequest> requests;
    AK::Milliseconds until;
};

class PauseTest : public testing::TestWithParam<PauseCase>
{
};

// Guards against a pause that a later, shorter one cuts short, and against one that never ends because of an enormous value.
TEST_P(PauseTest, TheOneThatEndsLastHolds)
{
    const PauseSettings settings;
    AK::Random random(seed);
    Pause pause;
    for (const PauseRequest &request : GetParam().requests) {
        recordPause(pause, request.duration, request.at, settings, random);
    }
    EXPECT_EQ(pause.until, GetParam().until);
    if (pause.until > 0) {
        EXPECT_EQ(callsAllowed(pause, 8, pause.until - 1, settings), 0);
        EXPECT_GE(pause.resumesAt, pause.until);
        EXPECT_LE(pause.resumesAt, pause.until + settings.resumeSpread);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, PauseTest,
                         testing::Values(PauseCase{"one", {{1'000, 500}}, 1'500}, PauseCase{"none", {{1'000, 0}}, 0},
                                         PauseCase{"longer_one_later", {{1'000, 500}, {1'100, 900}}, 2'000},
                                         PauseCase{"shorter_one_later", {{1'000, 500}, {1'100, 100}}, 1'500},
                                         PauseCase{"zero_later", {{1'000, 500}, {1'100, 0}}, 1'500},
                                         PauseCase{"two_in_a_row", {{1'000, 500}, {1'600, 300}}, 1'900},
                                         PauseCase{"enormous", {{1'000, INT64_MAX}}, 1'000 + PauseSettings().longest}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against all calls at once at the end of a pause.
TEST(Pause, EndsWithFewCalls)
{
    constexpr int slots = 21;
    const PauseSettings settings;
    AK::Random random(seed);
    Pause pause;
    recordPause(pause, 500, 1'000, settings, random);
    EXPECT_EQ(callsAllowed(pause, slots, pause.resumesAt, settings), 1);
    EXPECT_EQ(callsAllowed(pause, slots, pause.resumesAt + settings.resumeTime / 2, settings), 11);
    EXPECT_FALSE(isOver(pause, pause.resumesAt + settings.resumeTime - 1, settings));
    EXPECT_TRUE(isOver(pause, pause.resumesAt + settings.resumeTime, settings));
    EXPECT_GT(callsAllowed(pause, slots, pause.resumesAt + settings.resumeTime, settings), slots);
    EXPECT_GT(callsAllowed(Pause(), slots, 10'000, settings), slots) << "without a pause";
}

// Guards against clients that return while all upstreams are still paused, and all at the same moment.
TEST(Pause, SpreadsTheReturnOfClientsAfterTheFirstEnd)
{
    const PauseSettings settings;
    EXPECT_EQ(retryAfterPause(3'000, 1'000, 0, settings), 2'000);
    EXPECT_EQ(retryAfterPause(3'000, 1'000, 0.5, settings), 2'000 + (settings.resumeSpread + settings.resumeTime) / 2);
    EXPECT_EQ(retryAfterPause(900, 1'000, 0, settings), 0);
}

} // namespace
