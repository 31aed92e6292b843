#include <LibOnce/ClaimRateLimit.h>

#include <algorithm>

namespace LibOnce
{

bool takeToken(ClaimRateLimit &rateLimit, AK::Milliseconds now)
{
    const auto elapsed = static_cast<double>(std::max<AK::Milliseconds>(now - rateLimit.refilledAt, 0));
    rateLimit.tokens = std::min(rateLimit.perSecond, rateLimit.tokens + elapsed * rateLimit.perSecond / 1'000);
    rateLimit.refilledAt = std::max(rateLimit.refilledAt, now);
    if (rateLimit.tokens < 1) {
        return false;
    }
    rateLimit.tokens -= 1;
    return true;
}

} // namespace LibOnce
