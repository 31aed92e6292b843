#include <LibWeights/TokenBucket.h>

#include <algorithm>
#include <cmath>

namespace LibWeights
{

AK::Milliseconds takeTokens(TokenBucket &bucket, AK::Milliseconds now, uint64_t bytes, double bytesPerSecond)
{
    constexpr double burstSeconds = 0.1;
    const double rate = std::max(1.0, bytesPerSecond);
    bucket.tokens = std::min(rate * burstSeconds, bucket.tokens + rate * static_cast<double>(now - bucket.filledAt) / 1000);
    bucket.filledAt = now;
    bucket.tokens -= static_cast<double>(bytes);
    return bucket.tokens >= 0 ? 0 : static_cast<AK::Milliseconds>(std::ceil(-bucket.tokens * 1000 / rate));
}

} // namespace LibWeights
