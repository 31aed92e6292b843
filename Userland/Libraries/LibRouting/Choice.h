#pragma once

#include <AK/Random.h>
#include <LibRouting/Candidates.h>
#include <string_view>

namespace LibRouting
{

struct ChoiceSettings {
    /// The load of a candidate with an older hint counts as unknown.
    AK::Milliseconds hintMaxAge = 5'000;
    /// Added to the load of a candidate in another failure domain of the same region, as a share of its slots.
    double domainPenalty = 0.25;
    /// Added to the load of a candidate in another region.
    double regionPenalty = 1.0;
    /// Prefix affinity applies only below this load.
    double affinityLoadBound = 0.75;
};

/// Location of the entry that routes the call, and the call's prompt prefix.
struct ChoiceContext {
    std::string_view region;
    std::string_view failureDomain;
    /// First part of the prompt; empty for no affinity.
    std::string_view prefix;
};

/// Running and queued calls per slot; 0.5 when the hint is missing or older than hintMaxAge.
double loadOf(const Candidate &candidate, AK::Milliseconds now, const ChoiceSettings &settings);

/// Index of the chosen candidate; std::nullopt when there are no candidates.
/// A prompt prefix selects the candidate that has most likely cached it, if that candidate is in the own region and below affinityLoadBound. Otherwise the
/// better of two random candidates by load and distance is taken ("power of two choices"), so that callers with the same stale hints don't all select the
/// same upstream.
std::optional<size_t> chooseCandidate(const std::vector<Candidate> &candidates, const ChoiceContext &context, AK::Milliseconds now,
                                      const ChoiceSettings &settings, AK::Random &random);

/// Index of the candidate with the lowest load and distance. Only for comparison with chooseCandidate(): it sends all callers with the same stale hints to one
/// upstream.
std::optional<size_t> chooseLeastLoaded(const std::vector<Candidate> &candidates, const ChoiceContext &context, AK::Milliseconds now,
                                        const ChoiceSettings &settings);

} // namespace LibRouting
