#include <AK/StandstillWatch.h>
#include <Clocks/SuspendedClock.h>
#include <gtest/gtest.h>

namespace
{

constexpr AK::Milliseconds beatInterval = 200;

struct StandstillCase {
    const char *name;
    /// Time in ms for which the process stands still, by a stop of the process and by a suspension of its host.
    AK::Milliseconds stopped;
    AK::Milliseconds suspended;
    /// Beats after it, and the time since the last of them, in ms.
    int beats;
    AK::Milliseconds sinceBeat;
    /// The call began after the standstill.
    bool begunAfter;
    AK::Milliseconds unnoticed;
};

class StandstillWatchTest : public testing::TestWithParam<StandstillCase>
{
};

// Guards against news that waited while the process stood still and are taken for news of this moment.
TEST_P(StandstillWatchTest, CountsFromTheLastBeatBefore)
{
    SuspendedClock clock;
    AK::StandstillWatch watch(clock);
    clock.running += beatInterval;
    watch.beat();
    const AK::Milliseconds begunBefore = clock.uninterruptedTime();
    clock.running += GetParam().stopped;
    clock.suspended += GetParam().suspended;
    const AK::Milliseconds begin = GetParam().begunAfter ? clock.uninterruptedTime() : begunBefore;
    for (int i = 0; i < GetParam().beats; ++i) {
        clock.running += i > 0 ? beatInterval : 0;
        watch.beat();
    }
    clock.running += GetParam().sinceBeat;
    EXPECT_EQ(watch.unnoticedSince(begin), GetParam().unnoticed);
}

INSTANTIATE_TEST_SUITE_P(
    Table, StandstillWatchTest,
    testing::Values(StandstillCase{"running", beatInterval, 0, 1, 10, false, 0}, StandstillCase{"before_the_next_beat", 3'000, 0, 0, 0, false, 3'000},
                    StandstillCase{"suspended", 0, 3'000, 0, 0, false, 3'000}, StandstillCase{"after_a_beat", 3'000, 0, 1, 100, false, 3'100},
                    StandstillCase{"after_six_beats", 3'000, 0, 6, 50, false, 4'050}, StandstillCase{"begun_after_it", 3'000, 0, 1, 100, true, 0},
                    StandstillCase{"begun_before_the_next_beat", 3'000, 0, 0, 0, true, 0}, StandstillCase{"never_stopped", 0, 0, 0, 0, false, 0}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
