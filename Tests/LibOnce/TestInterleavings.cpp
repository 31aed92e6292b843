#include "Explorer.h"
#include <cstdlib>
#include <gtest/gtest.h>
#include <iostream>

namespace
{

constexpr AK::Milliseconds window = 2'000;
constexpr AK::Milliseconds noWindow = AK::Milliseconds{1'000} * 365 * 24 * 3'600'000;

std::ostream &operator<<(std::ostream &out, const ExplorerReport &report)
{
    return out << report.cases << " cases, " << report.violations << " violations; callers told done " << report.done << ", not_run " << report.notRun
               << ", unknown " << report.unknown << (report.firstViolation.empty() ? "" : "; first: ") << report.firstViolation;
}

class Interleavings : public testing::TestWithParam<ExplorerBounds>
{
};

// Guards against any order of crash, pause, lost or late request and store outage in which a call runs twice, "not_run" is false or "done" has another answer.
TEST_P(Interleavings, RunAtMostOnce)
{
    const ExplorerReport report = explore(GetParam(), {}, window, false);
    std::cout << "preemptions " << GetParam().preemptions << ", faults " << GetParam().faults << ": " << report << std::endl;
    EXPECT_EQ(report.violations, 0) << report.firstViolation;
    EXPECT_GT(report.done, 0);
    // Without faults nothing is refused.
    EXPECT_EQ(report.notRun > 0, GetParam().faults > 0);
    EXPECT_GT(report.unknown, 0);
}

std::vector<ExplorerBounds> exploredBounds()
{
    // CATKINLINK_EXPLORE="P F" explores other bounds than the default; ctest runs "0 2" as a test of its own.
    if (const char *text = std::getenv("CATKINLINK_EXPLORE")) {
        char *end = nullptr;
        const auto preemptions = static_cast<int>(std::strtol(text, &end, 10));
        return {{preemptions, static_cast<int>(std::strtol(end, nullptr, 10))}};
    }
    return {{2, 0}, {1, 1}};
}

INSTANTIATE_TEST_SUITE_P(Bounds, Interleavings, testing::ValuesIn(exploredBounds()));

struct WeaknessCase {
    const char *name;
    StoreWeakness weakness;
    AK::Milliseconds window;
};

class WeakenedProtocol : public testing::TestWithParam<WeaknessCase>
{
};

// Guards against an exploration that passes because it cannot see a fault: with one mechanism switched off it must find a violation.
TEST_P(WeakenedProtocol, IsFoundOut)
{
    ExplorerReport report;
    for (const ExplorerBounds bounds : {ExplorerBounds{1, 0}, {0, 1}, {1, 1}, {0, 2}, {2, 1}, {1, 2}}) {
        report = explore(bounds, GetParam().weakness, GetParam().window, true);
        if (report.violations > 0) {
            std::cout << GetParam().name << ", preemptions " << bounds.preemptions << ", faults " << bounds.faults << ": " << report << std::endl;
            break;
        }
    }
    EXPECT_GT(report.violations, 0);
}

INSTANTIATE_TEST_SUITE_P(Table, WeakenedProtocol,
                         testing::Values(WeaknessCase{"no window check", {}, noWindow}, WeaknessCase{"create ignores existing", {true}, window},
                                         WeaknessCase{"replace ignores version", {false, true}, window},
                                         WeaknessCase{"lost answers look confirmed", {false, false, true}, window},
                                         WeaknessCase{"takeover of claims", {false, false, false, true}, window}));

} // namespace
