#pragma once

#include <LibGateway/CrashEvidence.h>

namespace LibGateway
{

/// Crashes of which each follows from a call sent after the one before: many upstreams that crash together crash once.
size_t countRounds(const std::vector<CrashEvidence::PartCrash> &crashes);

/// Parts that crash upstreams, the most certain first, beyond those `known` to do so. Load pattern: requests that share one part crash each upstream that
/// begins to write, at any entry, while others share their remaining parts and the upstreams.
std::vector<std::string> findCrashingParts(const CrashEvidence &evidence, const std::set<std::string> &known, AK::Milliseconds now,
                                           const QuarantineSettings &settings);

/// Those of the `known` parts all of whose crashes another known part explains too, which also explains others. They are no cause of their own. Load pattern:
/// sessions follow each other, and each has the same crashing part besides its own.
std::vector<std::string> findSupersededParts(const CrashEvidence &evidence, const std::set<std::string> &known, const QuarantineSettings &settings);

/// Whether a crash has hit another prompt with one of the parts that has not been answered since. Such a prompt is not sent to a second upstream.
bool isSuspected(const CrashEvidence &evidence, const std::vector<std::string> &parts, uint64_t prompt, const QuarantineSettings &settings);

} // namespace LibGateway
