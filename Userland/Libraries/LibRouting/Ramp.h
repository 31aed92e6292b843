#pragma once

#include <AK/Clock.h>
#include <cstdint>

namespace LibRouting
{

/// Slots of an upstream that has become cold.
struct Ramp {
    int slots = 0;
    AK::Milliseconds stepStartedAt = 0;
    bool completedInStep = false;
    uint64_t epoch = 0;
};

/// Starts at `coldSlots`.
Ramp startRamp(int coldSlots, uint64_t epoch, AK::Milliseconds now);

/// Doubles the slots once a step is over in which a call completed, up to the capacity; a step without one leaves them. One call makes at most one step.
void advanceRamp(Ramp &ramp, int capacity, AK::Milliseconds stepMs, AK::Milliseconds now);

} // namespace LibRouting
