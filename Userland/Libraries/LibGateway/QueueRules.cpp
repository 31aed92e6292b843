#include <LibGateway/QueueRules.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

// Weight of the old value in a moving average.
constexpr double intervalSmoothing = 0.9;
// The recorded timeout halves in about 7,000 calls, so that it follows within minutes when the clients of a route set shorter timeouts.
constexpr double timeoutDecay = 0.9999;
// A longer interval between calls or freed slots counts as this long.
constexpr AK::Milliseconds maxInterval = 1'000;

double smoothedInterval(double mean, AK::Milliseconds last, AK::Milliseconds now)
{
    return intervalSmoothing * mean + (1 - intervalSmoothing) * static_cast<double>(std::min(maxInterval, now - last));
}

} // namespace

void recordClientTimeout(ClientTimeoutRecord &record, AK::Milliseconds clientTimeout)
{
    record.longest = std::max(static_cast<double>(clientTimeout), record.longest * timeoutDecay);
}

bool isReturning(LibFleet::RouteKind kind, AK::Milliseconds clientTimeout, const ClientTimeoutRecord &record, const QueueSettings &settings)
{
    return kind == LibFleet::RouteKind::Stream && static_cast<double>(clientTimeout) < settings.returningTimeoutShare * record.longest;
}

AK::Milliseconds longestWait(LibFleet::RouteKind kind, bool returning, AK::Milliseconds targetLatency, const QueueSettings &settings)
{
    if (returning) {
        return settings.returningWaitLimit;
    }
    const double share = kind == LibFleet::RouteKind::Stream ? settings.streamWaitShare : settings.nonStreamWaitShare;
    return static_cast<AK::Milliseconds>(share * static_cast<double>(targetLatency));
}

bool isBefore(const QueueRank &left, const QueueRank &right)
{
    return left.priority != right.priority ? left.priority < right.priority : !left.returning && right.returning;
}

void recordFreedSlot(QueueIntervals &intervals, AK::Milliseconds now)
{
    intervals.freedSlots = intervals.lastSlotFreedAt > 0 ? smoothedInterval(intervals.freedSlots, intervals.lastSlotFreedAt, now) : intervals.freedSlots;
    intervals.lastSlotFreedAt = now;
}

void recordFreshCall(QueueIntervals &intervals, AK::Milliseconds now)
{
    intervals.freshCalls = smoothedInterval(intervals.freshCalls, intervals.lastFreshCallAt, now);
    intervals.lastFreshCallAt = now;
}

bool startsTooLate(const QueueIntervals &intervals, const QueueRank &rank, size_t ahead, AK::Milliseconds now, AK::Milliseconds startBy)
{
    if (rank.returning && intervals.freshCalls < intervals.freedSlots) {
        return true;
    }
    return static_cast<double>(now) + static_cast<double>(ahead) * intervals.freedSlots > static_cast<double>(startBy);
}

AK::Milliseconds retryAfter(const QueueIntervals &intervals, size_t waiting, double random, const QueueSettings &settings)
{
    const double backlog = static_cast<double>(waiting) * intervals.freedSlots;
    return settings.shortestRetryAfter + static_cast<AK::Milliseconds>(backlog + random * static_cast<double>(settings.retryAfterSpread));
}

} // namespace LibGateway
