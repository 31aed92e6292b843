#include <LibGateway/Placement.h>

#include <AK/Hash.h>
#include <algorithm>

namespace LibGateway
{

namespace
{

constexpr double failureMemory = 0.9;
// Width of the random part of a score.
constexpr double jitterMs = 5;
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

bool rateAllows(UpstreamLoad &load, double callsPerSecond, double share, AK::Milliseconds now, const PlacementSettings &settings)
{
    if (callsPerSecond <= 0) {
        return true;
    }
    const double rate = settings.coldRateShare * callsPerSecond * share;
    // The burst and the refill of one second stay below the bound together.
    const double burst = std::max(1.0, rate / 3);
    load.rateTokens = std::min(burst, load.rateTokens + rate * static_cast<double>(now - load.rateAt) / 1000);
    load.rateAt = now;
    return load.rateTokens >= 1;
}

double ownerShare(size_t reachable, size_t registered)
{
    return registered <= reachable ? 1 : static_cast<double>(reachable) / static_cast<double>(registered);
}

void countOutcome(UpstreamLoad &load, bool failed, AK::Milliseconds now, const PlacementSettings &settings)
{
    if (failed && now < load.suspendedUntil) {
        // Calls that were in flight when the upstream failed say nothing new.
        return;
    }
    load.failureShare = failureMemory * load.failureShare + (1 - failureMemory) * (failed ? 1 : 0);
    load.failuresInRow = failed ? load.failuresInRow + 1 : 0;
    if (load.failuresInRow >= settings.failuresToSuspend) {
        const int exponent = std::min(exponentLimit, load.failuresInRow - settings.failuresToSuspend);
        load.suspendedUntil = now + (settings.suspension << exponent);
    }
}

namespace
{

bool backlogAllows(const PlacementCandidate &candidate, double promptMs, const PlacementSettings &settings)
{
    const double pace = std::max(1.0, candidate.pace);
    if (candidate.preferred && candidate.promptBacklogMs == 0) {
        return true;
    }
    return pace * (candidate.promptBacklogMs + promptMs) <= (candidate.preferred ? settings.promptBacklogMs : settings.foreignBacklogMs);
}

} // namespace

std::optional<size_t> chooseUpstream(const std::vector<PlacementCandidate> &candidates, double promptMs, bool anyBacklog, const PlacementSettings &settings,
                                     AK::Random &random)
{
    std::optional<size_t> chosen;
    double lowest = 0;
    std::uniform_real_distribution<double> noise(0, jitterMs);
    for (size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        const double pace = std::max(1.0, candidate.pace);
        const int limit = candidate.preferred ? candidate.limit : std::max(1, candidate.limit - settings.foreignReserve);
        if (candidate.load >= limit || (!anyBacklog && !backlogAllows(candidate, promptMs, settings))) {
            continue;
        }
        const double distance = (candidate.preferred ? 0 : settings.foreignPenaltyMs) + (candidate.sameRegion ? 0 : settings.regionPenaltyMs);
        const double score = pace * (candidate.promptBacklogMs + settings.loadPenaltyMs * candidate.load) + distance
            + settings.failurePenaltyMs * candidate.failureShare + noise(random);
        if (!chosen || score < lowest) {
            chosen = i;
            lowest = score;
        }
    }
    return chosen;
}

std::string preferredEntry(const std::string &upstream, const std::string &failureDomain, const std::vector<EntryLocation> &entries)
{
    const bool anyNear = std::any_of(entries.begin(), entries.end(), [&](const EntryLocation &entry) { return entry.failureDomain == failureDomain; });
    const EntryLocation *preferred = nullptr;
    uint64_t greatest = 0;
    for (const EntryLocation &entry : entries) {
        const uint64_t weight = AK::rendezvousWeight(upstream, entry.name);
        if ((!anyNear || entry.failureDomain == failureDomain) && (preferred == nullptr || weight > greatest)) {
            preferred = &entry;
            greatest = weight;
        }
    }
    return preferred == nullptr ? "" : preferred->name;
}

int64_t requiredWeights(const std::vector<LibFleet::WeightsTarget> &targets, AK::Milliseconds now, AK::Milliseconds weightsSwitchDelay)
{
    int64_t required = 0;
    for (const LibFleet::WeightsTarget &target : targets) {
        if (now - target.learnedAt >= weightsSwitchDelay) {
            required = std::max(required, target.version);
        }
    }
    return required;
}

} // namespace LibGateway
