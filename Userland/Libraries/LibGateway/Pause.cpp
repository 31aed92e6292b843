#include <LibGateway/Pause.h>

#include <algorithm>
#include <limits>

namespace LibGateway
{

bool recordPause(Pause &pause, AK::Milliseconds duration, AK::Milliseconds now, const PauseSettings &settings, AK::Random &random)
{
    const AK::Milliseconds until = now + std::clamp<AK::Milliseconds>(duration, 0, settings.longest);
    if (until <= std::max(now, pause.until)) {
        return false;
    }
    pause.until = until;
    pause.resumesAt = until + std::uniform_int_distribution<AK::Milliseconds>(0, settings.resumeSpread)(random);
    return true;
}

int callsAllowed(const Pause &pause, int slots, AK::Milliseconds now, const PauseSettings &settings)
{
    if (now < pause.resumesAt) {
        return 0;
    }
    if (isOver(pause, now, settings)) {
        return std::numeric_limits<int>::max();
    }
    const double share = static_cast<double>(now - pause.resumesAt) / static_cast<double>(settings.resumeTime);
    return 1 + static_cast<int>(share * std::max(0, slots - 1));
}

bool isOver(const Pause &pause, AK::Milliseconds now, const PauseSettings &settings)
{
    return now >= pause.resumesAt + settings.resumeTime;
}

AK::Milliseconds retryAfterPause(AK::Milliseconds firstEnd, AK::Milliseconds now, double random, const PauseSettings &settings)
{
    const double spread = random * static_cast<double>(settings.resumeSpread + settings.resumeTime);
    return std::max<AK::Milliseconds>(0, firstEnd - now) + static_cast<AK::Milliseconds>(spread);
}

} // namespace LibGateway
