#include <AK/RecentCheck.h>

namespace AK
{

RecentCheck::RecentCheck(const Clock &clock, Milliseconds maxAge)
    : clock(&clock)
    , startedAt(clock.uninterruptedTime())
    , maxAge(maxAge)
{
}

bool RecentCheck::holds() const
{
    return this->age() <= this->maxAge;
}

Milliseconds RecentCheck::age() const
{
    return this->clock->uninterruptedTime() - this->startedAt;
}

} // namespace AK
