#pragma once

#include "FaultPlan.h"
#include "Promises.h"
#include <LibFiber/Loop.h>

namespace Soak
{

struct RunSettings {
    uint64_t seed = 1;
    AK::Milliseconds duration = 40'000;
    size_t entries = 4;
    size_t clientsPerEntry = 8;
    bool faults = true;
    /// Names of rows of faultRows that are left out.
    std::set<std::string> without;
    std::string daemon;
    /// Settings and logs of the processes; must exist.
    std::string folder;
};

struct RunResult {
    /// Why the run has no result; empty when it has one.
    std::string problem;
    std::vector<Finding> findings;
    History history;
};

/// Starts a site, disturbs it, and checks what its clients and upstreams saw.
RunResult runSoak(const RunSettings &settings);

} // namespace Soak
