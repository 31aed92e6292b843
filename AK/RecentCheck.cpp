#include <AK/RecentCheck.h>

namespace AK
{

RecentCheck::RecentCheck(const Clock &clock, Milliseconds maxAge)
    : clock(&clock)
    , startedAt(clock.now())
    , maxAge(maxAge)
{
}

bool RecentCheck::holds() const
{
    return this->age() <= this->maxAge;
}

Milliseconds RecentCheck::age() const
{
    return this->clock->now() - this->startedAt;
}

} // namespace AK
