#pragma once

#include <AK/Clock.h>

namespace LibOnce
{

/// Token bucket that limits the rate of new claims. Its capacity is the tokens of one second, which is the largest burst.
struct ClaimRateLimit {
    double perSecond = 50;
    double tokens = 50;
    AK::Milliseconds refilledAt = 0;
};

/// Refills the bucket up to the monotonic time `now` and takes one token. Returns false when no token is left.
bool takeToken(ClaimRateLimit &rateLimit, AK::Milliseconds now);

} // namespace LibOnce
