#pragma once

#include <AK/Clock.h>

namespace AK
{

/// Tells whether the process has just stood still, because it was stopped or its host was frozen or suspended, so that what arrives now may have waited.
class StandstillWatch
{
public:
    /// A gap between two beats above this, in ms, counts as a standstill.
    static constexpr Milliseconds longestGap = 500;
    /// Time in ms in which a process that goes on has read what arrived meanwhile.
    static constexpr Milliseconds catchUpTime = 500;

    explicit StandstillWatch(const Clock &clock);

    /// Must be called several times within longestGap while the process runs.
    void beat();

    /// Time in ms since this process last ran before a standstill that has ended within catchUpTime; 0 without one.
    Milliseconds unnoticed() const;

private:
    const Clock &clock;
    Milliseconds lastBeat;
    /// Last beat before the last standstill and first one after it.
    Milliseconds stoppedAt = 0;
    Milliseconds resumedAt = 0;
};

} // namespace AK
