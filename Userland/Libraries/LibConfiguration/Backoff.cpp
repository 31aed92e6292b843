#include <LibConfiguration/Backoff.h>

#include <algorithm>

namespace LibConfiguration
{

AK::Milliseconds nextBackoff(const BackoffLimits &limits, AK::Milliseconds previous, AK::Random &random)
{
    const AK::Milliseconds upper = std::clamp(3 * previous, 2 * limits.first, limits.most);
    return limits.first + static_cast<AK::Milliseconds>(AK::uniformBelow(random, static_cast<uint64_t>(upper - limits.first + 1)));
}

} // namespace LibConfiguration
