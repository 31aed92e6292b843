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
    return out << report.cases << " cases, " << report.violations << " violations; results done " << report.done << ", not_run " << report.notRun
               << ", unknown " << report.unknown << (report.firstViolation.empty() ? "" : "; first: ") << report.firstViolation;
}

class Interleavings : public testing::TestWithParam<ExplorerBounds>
{
};

// Guards against any order of crashes, pauses, lost or late requests and store outages in which a call runs twice, a call reported as not_run did run, or a
// caller gets done with a response that no upstream sent.
TEST_P(Interleavings, RunAtMostOnce)
{
    const ExplorerReport report = explore(GetParam(), {}, window, false);
    std::cout << "preemptions " << GetParam().preemptions << ", faults " << GetParam().faults << ": " << report << std::endl;
    EXPECT_EQ(report.violations, 0) << report.firstViolation;
    EXPECT_GT(report.done, 0);
    // Without faults no request ends with not_run.
    EXPECT_EQ(report.notRun > 0, GetParam().faults > 0);
    EXPECT_GT(report.unknown, 0);
}

std::vector<ExplorerBounds> exploredBounds()
{
    // CATKINLINK_EXPLORE="P F" replaces the default bounds by P preemptions and F faults; ctest runs "0 2" as a separate test.
    if (const char *text = std::getenv("CATKINLINK_EXPLORE")) {
        char *end = nullptr;
        const auto preemptions = static_cast<int>(std::strtol(text, &end, 10));
        return {{preemptions, static_cast<int>(std::strtol(end, nullptr, 10))}};
    }
    return {{2, 0}, {1, 1}};
}

INSTANTIATE_TEST_SUITE_P(Bounds, Interleavings, testing::ValuesIn(exploredBounds()));

struct DefectCase {
    const char *name;
    StoreDefects defects;
    AK::Milliseconds window;
};

class DefectDetection : public testing::TestWithParam<DefectCase>
{
};

// Guards against an exploration that passes because it detects nothing: with one protection disabled it must find a violation.
TEST_P(DefectDetection, FindsAViolation)
{
    ExplorerReport report;
    for (const ExplorerBounds bounds : {ExplorerBounds{1, 0}, {0, 1}, {1, 1}, {0, 2}, {2, 1}, {1, 2}}) {
        report = explore(bounds, GetParam().defects, GetParam().window, true);
        if (report.violations > 0) {
            std::cout << GetParam().name << ", preemptions " << bounds.preemptions << ", faults " << bounds.faults << ": " << report << std::endl;
            break;
        }
    }
    EXPECT_GT(report.violations, 0);
}

INSTANTIATE_TEST_SUITE_P(Table, DefectDetection,
                         testing::Values(DefectCase{"no window check", {}, noWindow}, DefectCase{"create ignores existing", {true}, window},
                                         DefectCase{"replace ignores version", {false, true}, window},
                                         DefectCase{"lost responses look confirmed", {false, false, true}, window},
                                         DefectCase{"takeover of claims", {false, false, false, true}, window}));

} // namespace
