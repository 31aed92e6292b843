#include <AK/StandstillWatch.h>

namespace AK
{

StandstillWatch::StandstillWatch(const Clock &clock)
    : clock(clock)
    , lastBeat(clock.uninterruptedTime())
{
}

void StandstillWatch::beat()
{
    const Milliseconds now = this->clock.uninterruptedTime();
    if (now - this->lastBeat > longestGap) {
        this->stoppedAt = this->lastBeat;
        this->resumedAt = now;
    }
    this->lastBeat = now;
}

Milliseconds StandstillWatch::unnoticedSince(Milliseconds begin) const
{
    const Milliseconds now = this->clock.uninterruptedTime();
    // The first beat after a standstill may come later than what has arrived.
    if (now - this->lastBeat > longestGap && begin - this->lastBeat <= longestGap) {
        return now - this->lastBeat;
    }
    return this->resumedAt > this->stoppedAt && begin < this->resumedAt ? now - this->stoppedAt : 0;
}

} // namespace AK
