#include <LibGateway/LoadEstimate.h>

#include <algorithm>
#include <cmath>

namespace LibGateway
{

namespace
{

// Weight of the old value in the moving average of service times.
constexpr double serviceTimeDecay = 0.9;

// Share of the calls in the last figure that still run, when service times are spread like those of independent calls.
double shareStillRunning(const SharedUpstream &upstream)
{
    if (!upstream.othersAtFigure || upstream.serviceMs <= 0) {
        return upstream.othersAtFigure ? 1 : 0;
    }
    return std::exp(-static_cast<double>(upstream.figureAge) / upstream.serviceMs);
}

} // namespace

double slownessNow(const StatedSlowness &stated, AK::Milliseconds now, const LoadEstimateSettings &settings)
{
    const double age = static_cast<double>(std::max<AK::Milliseconds>(0, now - stated.statedAt));
    const double weight = std::exp2(-age / static_cast<double>(settings.slownessHalfLife));
    return 1 + (std::clamp(stated.factor, settings.minSlowness, settings.maxSlowness) - 1) * weight;
}

void recordCall(ServiceFlow &flow, AK::Milliseconds now, const LoadEstimateSettings &settings)
{
    const double elapsed = static_cast<double>(now - flow.lastCallAt);
    flow.weightedCalls = flow.since ? flow.weightedCalls * std::exp(-elapsed / static_cast<double>(settings.rateTime)) + 1 : 1;
    flow.since = flow.since.value_or(now);
    flow.lastCallAt = now;
}

void recordServiceTime(ServiceFlow &flow, AK::Milliseconds duration)
{
    const auto sample = static_cast<double>(std::max<AK::Milliseconds>(1, duration));
    flow.serviceMs = flow.serviceMs > 0 ? serviceTimeDecay * flow.serviceMs + (1 - serviceTimeDecay) * sample : sample;
}

double callsPerMs(const ServiceFlow &flow, AK::Milliseconds now, const LoadEstimateSettings &settings)
{
    // The first calls of an entry say little about its rate.
    constexpr AK::Milliseconds leastObserved = 500;
    if (!flow.since) {
        return 0;
    }
    const auto time = static_cast<double>(settings.rateTime);
    const double weighted = flow.weightedCalls * std::exp(-static_cast<double>(now - flow.lastCallAt) / time);
    const auto observed = static_cast<double>(std::max(leastObserved, now - *flow.since));
    return weighted / (time * (1 - std::exp(-observed / time)));
}

double expectedWork(ServiceFlow &flow, std::optional<int64_t> answerTokenHint)
{
    constexpr double answerTokenDecay = 0.98;
    // Clients' estimates are rough; none may make an engine look empty or full.
    constexpr double mostWork = 4;
    if (!answerTokenHint || *answerTokenHint <= 0) {
        return 1;
    }
    const auto tokens = static_cast<double>(*answerTokenHint);
    flow.answerTokens = flow.answerTokens > 0 ? answerTokenDecay * flow.answerTokens + (1 - answerTokenDecay) * tokens : tokens;
    return std::clamp(tokens / flow.answerTokens, 1 / mostWork, mostWork);
}

bool isEnabled(const ServiceFlow &flow, AK::Milliseconds now, const LoadEstimateSettings &settings)
{
    return flow.slownessStatedAt && now - *flow.slownessStatedAt <= settings.enabledFor;
}

double othersPerMs(double ownPerMs, size_t entries, size_t upstreams)
{
    return entries <= 1 || upstreams == 0 ? 0 : ownPerMs * static_cast<double>(entries - 1) / static_cast<double>(upstreams);
}

SharedEstimate estimateOthers(const SharedUpstream &upstream)
{
    const double share = shareStillRunning(upstream);
    SharedEstimate estimate;
    estimate.stillRunning = share * std::max(0.0, upstream.othersAtFigure.value_or(0));
    estimate.sentSince = upstream.othersPerMs * upstream.serviceMs * (1 - share);
    estimate.contention = share * estimate.sentSince;
    return estimate;
}

} // namespace LibGateway
