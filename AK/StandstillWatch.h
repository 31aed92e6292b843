#pragma once

#include <AK/Clock.h>

namespace AK
{

/// Tells whether the process has stood still, because it was stopped or its host was frozen or suspended, so that what has arrived since may have waited.
class StandstillWatch
{
public:
    /// A gap between two beats above this, in ms, counts as a standstill.
    static constexpr Milliseconds longestGap = 500;

    explicit StandstillWatch(const Clock &clock);

    /// Must be called several times within longestGap while the process runs.
    void beat();

    /// Time in ms for which the answer to a call that began at `begin`, by Clock::uninterruptedTime(), may have waited: since this process last ran before a
    /// standstill in the call; 0 without one.
    Milliseconds unnoticedSince(Milliseconds begin) const;

private:
    const Clock &clock;
    Milliseconds lastBeat;
    /// Last beat before the last standstill and first one after it.
    Milliseconds stoppedAt = 0;
    Milliseconds resumedAt = 0;
};

} // namespace AK
