#include "CallCounters.h"

#include <algorithm>

namespace Fakes
{

CallCounters::CallCounters(const AK::Clock &clock)
    : clock(clock)
{
}

void CallCounters::count(bool write)
{
    const std::lock_guard lock(this->mutex);
    const AK::Milliseconds now = this->clock.now() / 1'000;
    if (now != this->currentSecond) {
        this->currentSecond = now;
        this->callsThisSecond = 0;
    }
    ++this->callsThisSecond;
    ++this->counts.calls;
    ++(write ? this->counts.writes : this->counts.reads);
    this->counts.peakCallsPerSecond = std::max(this->counts.peakCallsPerSecond, this->callsThisSecond);
}

void CallCounters::reset()
{
    const std::lock_guard lock(this->mutex);
    this->counts = {};
    this->callsThisSecond = 0;
}

CallCounters::Totals CallCounters::totals() const
{
    const std::lock_guard lock(this->mutex);
    return this->counts;
}

} // namespace Fakes
