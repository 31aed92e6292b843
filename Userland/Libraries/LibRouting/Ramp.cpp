#include <LibRouting/Ramp.h>

#include <algorithm>

namespace LibRouting
{

Ramp startRamp(int coldSlots, uint64_t epoch, AK::Milliseconds now)
{
    return {std::max(1, coldSlots), now, false, epoch};
}

void advanceRamp(Ramp &ramp, int capacity, AK::Milliseconds stepMs, AK::Milliseconds now)
{
    ramp.slots = std::min(ramp.slots, std::max(1, capacity));
    if (now - ramp.stepStartedAt < stepMs) {
        return;
    }
    if (ramp.completedInStep) {
        ramp.slots = std::min(std::max(1, capacity), ramp.slots * 2);
    }
    ramp.completedInStep = false;
    ramp.stepStartedAt = now;
}

} // namespace LibRouting
