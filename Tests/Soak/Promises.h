#pragma once

#include "History.h"

namespace Soak
{

/// A promise that was broken; `promise` is its name in the platform's rules.
struct Finding {
    std::string promise;
    std::string text;
};

struct SettledTime {
    AK::Milliseconds from = 0;
    AK::Milliseconds until = 0;
};

/// Compares what clients and upstreams saw with the promises. `settled` is the time at the end in which nothing was disturbed any more.
std::vector<Finding> checkPromises(const History &history, const SettledTime &settled);

/// Each of these checks one promise; for tests and mutants.
void checkRuns(const History &history, std::vector<Finding> &findings);
void checkResponses(const History &history, std::vector<Finding> &findings);
void checkStreams(const History &history, std::vector<Finding> &findings);
void checkLosses(const History &history, std::vector<Finding> &findings);
void checkConfigurations(const History &history, std::vector<Finding> &findings);
void checkLeavingUpstreams(const History &history, std::vector<Finding> &findings);
void checkPauses(const History &history, std::vector<Finding> &findings);
void checkAbandonedCalls(const History &history, std::vector<Finding> &findings);
void checkRecovery(const History &history, const SettledTime &settled, std::vector<Finding> &findings);

/// One line about a call, for findings.
std::string describe(const Call &call);

} // namespace Soak
