#include <LibOnce/ClaimLimit.h>

#include <algorithm>

namespace LibOnce
{

bool takeToken(ClaimLimit &limit, AK::Milliseconds now)
{
    const auto elapsed = static_cast<double>(std::max<AK::Milliseconds>(now - limit.filledAt, 0));
    limit.tokens = std::min(limit.perSecond, limit.tokens + elapsed * limit.perSecond / 1'000);
    limit.filledAt = std::max(limit.filledAt, now);
    if (limit.tokens < 1) {
        return false;
    }
    limit.tokens -= 1;
    return true;
}

} // namespace LibOnce
