#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>

namespace LibConfiguration
{

/// Bounds of the delay between attempts, in ms.
struct BackoffLimits {
    AK::Milliseconds minimum = 200;
    AK::Milliseconds maximum = 5'000;
};

/// Returns the delay in ms after a failed attempt, given the previous delay (0 at first). It is uniform between `minimum` and three times the previous delay,
/// but at most `maximum` (decorrelated jitter), so that processes that failed at the same time do not retry at the same time.
AK::Milliseconds nextBackoff(const BackoffLimits &limits, AK::Milliseconds previous, AK::Random &random);

} // namespace LibConfiguration
