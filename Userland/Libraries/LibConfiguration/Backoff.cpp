#include <LibConfiguration/Backoff.h>

#include <algorithm>

namespace LibConfiguration
{

AK::Milliseconds nextBackoff(const BackoffLimits &limits, AK::Milliseconds previous, AK::Random &random)
{
    const AK::Milliseconds upper = std::clamp(3 * previous, 2 * limits.minimum, limits.maximum);
    return limits.minimum + static_cast<AK::Milliseconds>(AK::uniformBelow(random, static_cast<uint64_t>(upper - limits.minimum + 1)));
}

} // namespace LibConfiguration
