#pragma once

#include <AK/Clock.h>
#include <cstdint>

namespace LibRouting
{

/// Slow start: limits the concurrent calls of an upstream whose caches and connections are cold.
struct Ramp {
    int slots = 0;
    AK::Milliseconds stepStartedAt = 0;
    /// A call has completed during the current step.
    bool completedInStep = false;
    /// Engine epoch for which the ramp was started.
    uint64_t epoch = 0;
};

/// Starts a ramp with `coldSlots` slots, at least one.
Ramp startRamp(int coldSlots, uint64_t epoch, AK::Milliseconds now);

/// Doubles the slots, up to `capacity`, at the end of a step in which a call completed; a step without a completed call leaves them unchanged.
/// Advances by at most one step, however much time has passed.
void advanceRamp(Ramp &ramp, int capacity, AK::Milliseconds stepMs, AK::Milliseconds now);

} // namespace LibRouting
