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

Milliseconds StandstillWatch::unnoticed() const
{
    const Milliseconds now = this->clock.uninterruptedTime();
    // The first beat after a standstill may come later than what has arrived.
    if (now - this->lastBeat > longestGap) {
        return now - this->lastBeat;
    }
    const bool justResumed = this->resumedAt > this->stoppedAt && now - this->resumedAt <= catchUpTime;
    return justResumed ? now - this->stoppedAt : 0;
}

} // namespace AK
