#pragma once

#include <AK/Clock.h>
#include <cstdint>

namespace LibWeights
{

/// State of a token bucket in bytes. It may go into debt by one transfer, so that a transfer larger than the burst still passes.
struct TokenBucket {
    double tokens = 0;
    AK::Milliseconds filledAt = 0;
};

/// Takes `bytes` from the bucket at `now` and returns the time in ms to wait before sending them. The burst is a tenth of a second.
AK::Milliseconds takeTokens(TokenBucket &bucket, AK::Milliseconds now, uint64_t bytes, double bytesPerSecond);

} // namespace LibWeights
