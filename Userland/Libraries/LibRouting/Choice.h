#pragma once

#include <AK/Random.h>
#include <LibRouting/Candidates.h>
#include <string_view>

namespace LibRouting
{

struct ChoiceSettings {
    /// Older hints count as unknown load.
    AK::Milliseconds hintMaxAge = 5'000;
    /// Added to the load of a candidate in another failure domain of the same region, as a share of its slots.
    double domainPenalty = 0.25;
    /// Added to the load of a candidate in another region.
    double regionPenalty = 1.0;
    /// Load up to which prefix affinity decides.
    double affinityLoadBound = 0.75;
};

/// Where the chooser stands and what it wants to send.
struct ChoiceContext {
    std::string_view region;
    std::string_view failureDomain;
    /// Beginning of the prompt; empty for no affinity.
    std::string_view prefix;
};

/// Calls in use and queued per slot; 0.5 when the hint is missing or older than hintMaxAge.
double loadOf(const Candidate &candidate, AK::Milliseconds now, const ChoiceSettings &settings);

/// Index of the chosen candidate, by two random choices on load and distance; nothing when there are none.
std::optional<size_t> chooseCandidate(const std::vector<Candidate> &candidates, const ChoiceContext &context, AK::Milliseconds now,
                                      const ChoiceSettings &settings, AK::Random &random);

/// The candidate with the least load. Kept to compare policies: it sends all callers with the same stale hints to one upstream.
std::optional<size_t> chooseLeastLoaded(const std::vector<Candidate> &candidates, const ChoiceContext &context, AK::Milliseconds now,
                                        const ChoiceSettings &settings);

} // namespace LibRouting
