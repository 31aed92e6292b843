#pragma once

#include <AK/Clock.h>
#include <cstdint>

namespace LibWeights
{

/// State of a token bucket; one token is one byte. The balance may become negative, so that a transfer larger than the burst is possible.
struct TokenBucket {
    double tokens = 0;
    AK::Milliseconds filledAt = 0;
};

/// Takes `bytes` from the bucket at `now` and returns the time in ms to wait before sending them. The burst is 0.1 s of the rate.
AK::Milliseconds takeTokens(TokenBucket &bucket, AK::Milliseconds now, uint64_t bytes, double bytesPerSecond);

} // namespace LibWeights
