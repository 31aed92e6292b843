#pragma once

#include <AK/Clock.h>

namespace LibOnce
{

/// Tokens for claims; a burst of one second's worth is allowed.
struct ClaimLimit {
    double perSecond = 50;
    double tokens = 50;
    AK::Milliseconds filledAt = 0;
};

/// Fills the bucket up to the monotonic time and takes one token. False when there is none.
bool takeToken(ClaimLimit &limit, AK::Milliseconds now);

} // namespace LibOnce
