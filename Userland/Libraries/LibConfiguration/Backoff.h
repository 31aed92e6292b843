#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>

namespace LibConfiguration
{

/// Bounds of the waits between attempts, in ms.
struct BackoffLimits {
    AK::Milliseconds first = 200;
    AK::Milliseconds most = 5'000;
};

/// The wait after a failed attempt, given the wait before it (0 at first): uniform between `first` and three times the previous one, at most `most`. The
/// spread keeps processes that failed together from coming back together.
AK::Milliseconds nextBackoff(const BackoffLimits &limits, AK::Milliseconds previous, AK::Random &random);

} // namespace LibConfiguration
