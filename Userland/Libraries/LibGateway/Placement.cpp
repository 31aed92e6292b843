#include <LibGateway/Placement.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

constexpr double failureMemory = 0.9;
// Width of the random part of a score, in relative load.
constexpr double jitter = 0.04;
constexpr int exponentLimit = 3;

} // namespace

double estimatedLoad(const UpstreamLoad &load, AK::Milliseconds now, const PlacementSettings &settings)
{
    double others = 0;
    if (load.report && now - load.reportAt <= settings.reportMaxAge) {
        others = static_cast<double>(load.report->running + load.report->waiting) - load.ownAtReport;
    } else if (now - load.answeredAt <= settings.reportMaxAge) {
        others = load.answeredLoad - load.ownAtAnswer;
    }
    return load.ownInFlight + std::max(0.0, others);
}

bool rateAllows(UpstreamLoad &load, double callsPerSecond, size_t entries, AK::Milliseconds now, const PlacementSettings &settings)
{
    if (callsPerSecond <= 0) {
        return true;
    }
    const double rate = settings.coldRateShare * callsPerSecond / static_cast<double>(std::max<size_t>(1, entries));
    // The burst and the refill of one second stay below the bound together.
    const double burst = std::max(1.0, rate / 3);
    load.rateTokens = std::min(burst, load.rateTokens + rate * static_cast<double>(now - load.rateAt) / 1000);
    load.rateAt = now;
    return load.rateTokens >= 1;
}

void countOutcome(UpstreamLoad &load, bool failed, AK::Milliseconds now, const PlacementSettings &settings)
{
    load.failureShare = failureMemory * load.failureShare + (1 - failureMemory) * (failed ? 1 : 0);
    load.failuresInRow = failed ? load.failuresInRow + 1 : 0;
    if (load.failuresInRow >= settings.failuresToSuspend) {
        const int exponent = std::min(exponentLimit, load.failuresInRow - settings.failuresToSuspend);
        load.suspendedUntil = now + (settings.suspension << exponent);
    }
}

std::optional<size_t> chooseUpstream(const std::vector<PlacementCandidate> &candidates, const PlacementSettings &settings, AK::Random &random)
{
    std::optional<size_t> chosen;
    double lowest = 0;
    std::uniform_real_distribution<double> noise(0, jitter);
    for (size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        if (candidate.load >= candidate.limit) {
            continue;
        }
        const double distance = candidate.sameDomain ? 0 : candidate.sameRegion ? settings.domainPenalty : settings.regionPenalty;
        const double score = (candidate.load + 1) * std::max(1.0, candidate.pace) / candidate.limit + distance
            + settings.failurePenalty * candidate.failureShare + noise(random);
        if (!chosen || score < lowest) {
            chosen = i;
            lowest = score;
        }
    }
    return chosen;
}

int64_t requiredWeights(const std::vector<LibFleet::WeightsTarget> &targets, AK::Milliseconds now, AK::Milliseconds switchBefore)
{
    int64_t required = 0;
    for (const LibFleet::WeightsTarget &target : targets) {
        if (now - target.learnedAt >= switchBefore) {
            required = std::max(required, target.version);
        }
    }
    return required;
}

} // namespace LibGateway
