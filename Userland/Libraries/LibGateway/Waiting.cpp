#include <LibGateway/Waiting.h>

#include <algorithm>

namespace LibGateway
{

namespace
{

constexpr double paceMemory = 0.9;
// Halves in about 7,000 calls, so that a route whose clients become less patient is judged anew within minutes.
constexpr double patienceMemory = 0.9999;
// A longer pause between calls or free places counts as this long.
constexpr AK::Milliseconds pauseLimit = 1'000;

double moved(double mean, AK::Milliseconds last, AK::Milliseconds now)
{
    return paceMemory * mean + (1 - paceMemory) * static_cast<double>(std::min(pauseLimit, now - last));
}

} // namespace

void observePatience(PatienceRecord &record, AK::Milliseconds patience)
{
    record.longest = std::max(static_cast<double>(patience), record.longest * patienceMemory);
}

bool isReturning(LibFleet::RouteKind kind, AK::Milliseconds patience, const PatienceRecord &record, const WaitingSettings &settings)
{
    return kind == LibFleet::RouteKind::Stream && static_cast<double>(patience) < settings.returningShare * record.longest;
}

AK::Milliseconds longestWait(LibFleet::RouteKind kind, bool returning, AK::Milliseconds targetLatency, const WaitingSettings &settings)
{
    if (returning) {
        return settings.returningWait;
    }
    const double share = kind == LibFleet::RouteKind::Stream ? settings.streamWait : settings.plainWait;
    return static_cast<AK::Milliseconds>(share * static_cast<double>(targetLatency));
}

bool isBefore(const WaitingPlace &left, const WaitingPlace &right)
{
    return left.priority != right.priority ? left.priority < right.priority : !left.returning && right.returning;
}

void countFreed(LinePace &pace, AK::Milliseconds now)
{
    pace.freed = pace.lastFreedAt > 0 ? moved(pace.freed, pace.lastFreedAt, now) : pace.freed;
    pace.lastFreedAt = now;
}

void countFresh(LinePace &pace, AK::Milliseconds now)
{
    pace.fresh = moved(pace.fresh, pace.lastFreshAt, now);
    pace.lastFreshAt = now;
}

bool startsTooLate(const LinePace &pace, const WaitingPlace &place, size_t ahead, AK::Milliseconds now, AK::Milliseconds startBy)
{
    if (place.returning && pace.fresh < pace.freed) {
        return true;
    }
    return static_cast<double>(now) + static_cast<double>(ahead) * pace.freed > static_cast<double>(startBy);
}

AK::Milliseconds retryAfter(const LinePace &pace, size_t waiting, double random, const WaitingSettings &settings)
{
    const double backlog = static_cast<double>(waiting) * pace.freed;
    return settings.shortestRetryAfter + static_cast<AK::Milliseconds>(backlog + random * static_cast<double>(settings.retryAfterSpread));
}

} // namespace LibGateway
