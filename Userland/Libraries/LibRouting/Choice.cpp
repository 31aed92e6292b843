#include <LibRouting/Choice.h>

#include <AK/Hash.h>

namespace LibRouting
{

namespace
{

constexpr double unknownLoad = 0.5;

double costOf(const Candidate &candidate, const ChoiceContext &context, AK::Milliseconds now, const ChoiceSettings &settings)
{
    double cost = loadOf(candidate, now, settings);
    if (candidate.region != context.region) {
        cost += settings.regionPenalty;
    } else if (candidate.failureDomain != context.failureDomain) {
        cost += settings.domainPenalty;
    }
    return cost;
}

// Rendezvous hashing sends equal prefixes to the same candidate, which has most likely cached them.
size_t affinityCandidate(const std::vector<Candidate> &candidates, std::string_view prefix)
{
    size_t best = 0;
    uint64_t bestWeight = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const uint64_t weight = AK::rendezvousWeight(prefix, candidates[i].name);
        if (weight >= bestWeight) {
            best = i;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

double loadOf(const Candidate &candidate, AK::Milliseconds now, const ChoiceSettings &settings)
{
    if (!candidate.hint || now - candidate.hint->receivedAt > settings.hintMaxAge) {
        return unknownLoad;
    }
    return static_cast<double>(candidate.hint->inUse + candidate.hint->queued) / std::max<uint32_t>(1, candidate.hint->slots);
}

std::optional<size_t> chooseCandidate(const std::vector<Candidate> &candidates, const ChoiceContext &context, AK::Milliseconds now,
                                      const ChoiceSettings &settings, AK::Random &random)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    if (candidates.size() == 1) {
        return 0;
    }
    if (!context.prefix.empty()) {
        const size_t preferred = affinityCandidate(candidates, context.prefix);
        if (candidates[preferred].region == context.region && loadOf(candidates[preferred], now, settings) < settings.affinityLoadBound) {
            return preferred;
        }
    }
    const size_t first = AK::uniformBelow(random, candidates.size());
    size_t second = AK::uniformBelow(random, candidates.size() - 1);
    second += second >= first ? 1 : 0;
    return costOf(candidates[second], context, now, settings) < costOf(candidates[first], context, now, settings) ? second : first;
}

std::optional<size_t> chooseLeastLoaded(const std::vector<Candidate> &candidates, const ChoiceContext &context, AK::Milliseconds now,
                                        const ChoiceSettings &settings)
{
    std::optional<size_t> best;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!best || costOf(candidates[i], context, now, settings) < costOf(candidates[*best], context, now, settings)) {
            best = i;
        }
    }
    return best;
}

} // namespace LibRouting
