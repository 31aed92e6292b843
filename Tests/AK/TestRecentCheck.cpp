#include <AK/RecentCheck.h>

#include <Clocks/SuspendedClock.h>
#include <ctime>
#include <gtest/gtest.h>

namespace
{

struct AgeCase {
    const char *name;
    AK::Milliseconds running;
    AK::Milliseconds suspended;
    AK::Milliseconds age;
    bool holds;
};

class RecentCheckTest : public testing::TestWithParam<AgeCase>
{
};

// Guards against acting on a check from before the host was suspended, whose age the monotonic clock does not count.
TEST_P(RecentCheckTest, CountsTheTimeForWhichTheHostWasSuspended)
{
    SuspendedClock clock;
    const AK::RecentCheck check(clock, 2'000);
    clock.running += GetParam().running;
    clock.suspended += GetParam().suspended;
    EXPECT_EQ(check.age(), GetParam().age);
    EXPECT_EQ(check.holds(), GetParam().holds);
}

INSTANTIATE_TEST_SUITE_P(Table, RecentCheckTest,
                         testing::Values(AgeCase{"recent", 2'000, 0, 2'000, true}, AgeCase{"old", 2'001, 0, 2'001, false},
                                         AgeCase{"suspended", 10, 4'000, 4'010, false}, AgeCase{"suspended_for_a_moment", 10, 1'000, 1'010, true}),
                         [](const auto &info) { return info.param.name; });

// Guards against a clock that stands still while the host is suspended: the operating system has one that goes on.
TEST(SystemClock, UninterruptedTimeIsThatSinceBoot)
{
    const auto sinceBoot = [] {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return static_cast<AK::Milliseconds>(time.tv_sec) * 1'000 + time.tv_nsec / 1'000'000;
    };
    const AK::SystemClock clock;
    const AK::Milliseconds before = sinceBoot();
    const AK::Milliseconds read = clock.uninterruptedTime();
    EXPECT_GE(read, before);
    EXPECT_LE(read, sinceBoot());
}

} // namespace
