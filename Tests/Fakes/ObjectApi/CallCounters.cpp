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
    if (now != this->second) {
        this->second = now;
        this->callsThisSecond = 0;
    }
    ++this->callsThisSecond;
    ++this->sums.calls;
    ++(write ? this->sums.writes : this->sums.reads);
    this->sums.peakCallsPerSecond = std::max(this->sums.peakCallsPerSecond, this->callsThisSecond);
}

void CallCounters::reset()
{
    const std::lock_guard lock(this->mutex);
    this->sums = {};
    this->callsThisSecond = 0;
}

CallCounters::Totals CallCounters::totals() const
{
    const std::lock_guard lock(this->mutex);
    return this->sums;
}

} // namespace Fakes
