#include <LibGateway/Placement.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

// Weight of the old value in the moving average of failures.
constexpr double failureDecay = 0.9;
// Width of the random part of a score.
constexpr double jitterMs = 5;
// What is known of a rate limit counts as news again after this time, so that entries that have just started learn of it.
constexpr AK::Milliseconds rateLimitNewsInterval = 4'000;
// Each further failure in a row doubles the suspension, at most this often.
constexpr int maxSuspensionExponent = 3;

} // namespace

double estimatedLoad(const UpstreamLoad &load, AK::Milliseconds now, const PlacementSettings &settings)
{
    double others = 0;
    if (load.report && now - load.reportAt <= settings.reportMaxAge) {
        others = static_cast<double>(load.report->running + load.report->waiting) - load.ownInFlightAtReport;
    } else if (now - load.responseAt <= settings.reportMaxAge) {
        others = load.loadInResponse - load.ownInFlightAtResponse;
    }
    return load.ownInFlight + std::max(0.0, others);
}

double slowness(const UpstreamLoad &load, AK::Milliseconds now, const LoadEstimateSettings &settings)
{
    if (load.slowness && (!load.report || load.reportAt < load.slowness->statedAt)) {
        return slownessNow(*load.slowness, now, settings);
    }
    return load.report ? load.report->slowdown : 1.0;
}

bool recordRateLimit(UpstreamLoad &load, std::optional<double> callsPerSecond, AK::Milliseconds sentAt, AK::Milliseconds now)
{
    if (!callsPerSecond && (!isRateLimited(load) || sentAt <= load.rateLimit->toldAt)) {
        return false;
    }
    return adoptRateLimit(load, callsPerSecond, now, now);
}

bool adoptRateLimit(UpstreamLoad &load, std::optional<double> callsPerSecond, AK::Milliseconds toldAt, AK::Milliseconds now)
{
    if (load.rateLimit && toldAt <= load.rateLimit->toldAt) {
        return false;
    }
    const bool changes = callsPerSecond != (load.rateLimit ? load.rateLimit->callsPerSecond : std::nullopt);
    const bool isNews = changes || !load.rateLimit || now - load.rateLimit->learnedAt >= rateLimitNewsInterval;
    load.rateLimit = {callsPerSecond, toldAt, isNews ? now : load.rateLimit->learnedAt};
    return changes;
}

bool isRateLimited(const UpstreamLoad &load)
{
    return load.rateLimit && load.rateLimit->callsPerSecond;
}

double callsPerSecond(const UpstreamLoad &load, double coldCallsPerSecond, const PlacementSettings &settings)
{
    const double cold = settings.coldRateShare * coldCallsPerSecond;
    if (!isRateLimited(load)) {
        return cold;
    }
    const double limit = std::max(settings.leastCallsPerSecond, *load.rateLimit->callsPerSecond);
    return cold > 0 ? std::min(cold, limit) : limit;
}

bool rateAllows(UpstreamLoad &load, double callsPerSecond, double share, AK::Milliseconds now)
{
    if (callsPerSecond <= 0) {
        return true;
    }
    const double rate = callsPerSecond * share;
    // The burst and the refill of one second together stay below the limit on calls per second.
    const double burst = std::max(1.0, rate / 3);
    load.rateTokens = std::min(burst, load.rateTokens + rate * static_cast<double>(now - load.rateRefilledAt) / 1000);
    load.rateRefilledAt = now;
    return load.rateTokens >= 1;
}

void takeRateToken(UpstreamLoad &load, double callsPerSecond)
{
    if (callsPerSecond > 0) {
        load.rateTokens -= 1;
    }
}

double ownerShare(size_t reachable, size_t registered)
{
    return registered <= reachable ? 1 : static_cast<double>(reachable) / static_cast<double>(registered);
}

void recordOutcome(UpstreamLoad &load, bool failed, AK::Milliseconds now, const PlacementSettings &settings)
{
    if (failed && now < load.suspendedUntil) {
        // Calls that were in flight when the upstream was suspended fail for the same reason.
        return;
    }
    load.failureShare = failureDecay * load.failureShare + (1 - failureDecay) * (failed ? 1 : 0);
    load.failuresInRow = failed ? load.failuresInRow + 1 : 0;
    if (load.failuresInRow >= settings.failuresToSuspend) {
        const int exponent = std::min(maxSuspensionExponent, load.failuresInRow - settings.failuresToSuspend);
        load.suspendedUntil = now + (settings.suspension << exponent);
    }
}

bool suspend(UpstreamLoad &load, AK::Milliseconds now, const PlacementSettings &settings)
{
    if (now < load.suspendedUntil) {
        return false;
    }
    load.failuresInRow = std::max(load.failuresInRow, settings.failuresToSuspend);
    load.suspendedUntil = now + (settings.suspension << std::min(maxSuspensionExponent, load.failuresInRow - settings.failuresToSuspend));
    return true;
}

namespace
{

bool backlogAllows(const PlacementCandidate &candidate, double prefillMs, const PlacementSettings &settings)
{
    const double slowdown = std::max(1.0, candidate.slowdown);
    if (candidate.preferred && candidate.prefillBacklogMs == 0) {
        return true;
    }
    return slowdown * (candidate.prefillBacklogMs + prefillMs) <= (candidate.preferred ? settings.prefillBacklogMs : settings.nonPreferredBacklogMs);
}

} // namespace

std::optional<size_t> chooseUpstream(const std::vector<PlacementCandidate> &candidates, double prefillMs, bool ignoreBacklog, const PlacementSettings &settings,
                                     AK::Random &random)
{
    std::optional<size_t> chosen;
    double lowestScore = 0;
    std::uniform_real_distribution<double> noise(0, jitterMs);
    for (size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        const double slowdown = std::max(1.0, candidate.slowdown);
        const int limit = candidate.preferred ? candidate.limit : std::max(1, candidate.limit - settings.nonPreferredReserve);
        if (candidate.load >= limit || (!ignoreBacklog && !backlogAllows(candidate, prefillMs, settings))) {
            continue;
        }
        const double distance = (candidate.preferred ? 0 : settings.nonPreferredPenaltyMs) + (candidate.sameRegion ? 0 : settings.regionPenaltyMs);
        const double workMs = candidate.weighsWork ? prefillMs + settings.loadPenaltyMs * candidate.extraWork : 0;
        const double score = slowdown * (candidate.prefillBacklogMs + settings.loadPenaltyMs * candidate.load + workMs) + distance
            + settings.failurePenaltyMs * candidate.failureShare + noise(random);
        if (!chosen || score < lowestScore) {
            chosen = i;
            lowestScore = score;
        }
    }
    return chosen;
}

namespace
{

// A slow upstream gets fewer calls in the proportion of its slowness, so it is never left without any.
double estimatedWork(const PlacementCandidate &candidate, const PlacementSettings &settings)
{
    return settings.loadPenaltyMs * candidate.slowdown * (1 + candidate.load + candidate.sentSince) + (candidate.sameRegion ? 0 : settings.regionPenaltyMs)
        + settings.failurePenaltyMs * candidate.failureShare;
}

// Moves `count` random elements to the front and removes the others.
void keepRandom(std::vector<size_t> &indexes, size_t count, AK::Random &random)
{
    for (size_t i = 0; i < std::min(count, indexes.size()); ++i) {
        std::swap(indexes[i], indexes[i + AK::uniformBelow(random, indexes.size() - i)]);
    }
    indexes.resize(std::min(count, indexes.size()));
}

} // namespace

std::optional<size_t> chooseSharedUpstream(const std::vector<PlacementCandidate> &candidates, const PlacementSettings &settings,
                                           const LoadEstimateSettings &estimate, AK::Random &random)
{
    std::vector<size_t> near;
    std::vector<size_t> far;
    double contention = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].load < candidates[i].limit) {
            (candidates[i].sameRegion ? near : far).push_back(i);
            contention += candidates[i].contention;
        }
    }
    if (contention > estimate.contentionToDraw * static_cast<double>(near.size() + far.size())) {
        keepRandom(near, 2, random);
        keepRandom(far, near.empty() ? 2 : 1, random);
    }
    near.insert(near.end(), far.begin(), far.end());
    keepRandom(near, near.size(), random);
    const auto least = std::min_element(near.begin(), near.end(), [&](size_t left, size_t right) {
        return estimatedWork(candidates[left], settings) < estimatedWork(candidates[right], settings);
    });
    return least == near.end() ? std::nullopt : std::optional(*least);
}

void estimateShared(PlacementCandidate &candidate, const UpstreamLoad &load, const ServiceFlow &flow, double othersPerMs, AK::Milliseconds now,
                    const PlacementSettings &settings, const LoadEstimateSettings &estimate)
{
    candidate.estimated = true;
    candidate.slowdown = slowness(load, now, estimate);
    SharedUpstream upstream;
    upstream.figureAge = now - load.responseAt;
    // A figure that is too old must not keep calls from an upstream, which would then send no newer one.
    if (load.responseAt > 0 && upstream.figureAge <= settings.reportMaxAge) {
        upstream.othersAtFigure = load.loadInResponse - load.ownInFlightAtResponse;
    }
    upstream.othersPerMs = othersPerMs;
    upstream.serviceMs = flow.serviceMs * std::max(1.0, candidate.slowdown);
    const SharedEstimate others = estimateOthers(upstream);
    candidate.load = load.ownInFlight + others.stillRunning;
    candidate.sentSince = others.sentSince;
    candidate.contention = others.contention;
}

std::string preferredEntry(const std::string &upstream, const std::string &failureDomain, const std::vector<LibFleet::EntryLocation> &entries)
{
    const std::vector<LibFleet::EntryLocation> ranked = LibFleet::rankOwners(upstream, failureDomain, entries);
    return ranked.empty() ? "" : ranked.front().name;
}

int64_t requiredWeightsVersion(const std::vector<LibFleet::WeightsTarget> &targets, AK::Milliseconds now, AK::Milliseconds weightsSwitchDelay)
{
    int64_t required = 0;
    for (const LibFleet::WeightsTarget &target : targets) {
        if (now - target.learnedAt >= weightsSwitchDelay) {
            required = std::max(required, target.version);
        }
    }
    return required;
}

AK::Milliseconds timeToBegin(const std::vector<LibFleet::WeightsTarget> &targets, int64_t held, AK::Milliseconds now, AK::Milliseconds beginLimit)
{
    // A version may be named meanwhile, or another process may tell that one was named earlier than this one knows.
    constexpr AK::Milliseconds recheckInterval = 300;
    AK::Milliseconds left = recheckInterval;
    for (const LibFleet::WeightsTarget &target : targets) {
        if (target.version > held) {
            left = std::min(left, beginLimit - (now - target.learnedAt));
        }
    }
    return left;
}

} // namespace LibGateway
