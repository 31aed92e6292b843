#pragma once

#include <AK/Clock.h>

namespace AK
{

/// The time of a check whose result may be acted on only for a while. The time between a check and the act that rests on it has no bound: a fiber waits, the
/// process is stopped, or the host is suspended. It counts by the clock that goes on meanwhile.
class RecentCheck
{
public:
    /// Must be constructed before the check reads anything. `maxAge`: how long its result may be used, in ms.
    RecentCheck(const Clock &clock, Milliseconds maxAge);

    /// Whether the result may still be used. Must be asked right before the act, with nothing between that can wait.
    bool holds() const;

    /// Time since the check began, in ms.
    Milliseconds age() const;

private:
    const Clock *clock;
    Milliseconds startedAt;
    Milliseconds maxAge;
};

} // namespace AK
