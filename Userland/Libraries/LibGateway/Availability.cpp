#include <LibGateway/Availability.h>

#include <algorithm>

namespace LibGateway
{

std::optional<Hindrance> hindranceTo(const UpstreamConditions &conditions, AK::Milliseconds now)
{
    const std::array lasting{
        std::pair{!conditions.sameService, Obstacle::OtherService}, std::pair{conditions.replaced, Obstacle::Replaced},
        std::pair{conditions.draining, Obstacle::Draining},         std::pair{conditions.leaving, Obstacle::Leaving},
        std::pair{conditions.evacuated, Obstacle::Evacuated},       std::pair{!conditions.regionAllowed, Obstacle::OtherRegion},
        std::pair{conditions.excluded, Obstacle::Excluded},         std::pair{!conditions.weightsAllowed, Obstacle::Weights},
        std::pair{conditions.switching, Obstacle::Switching},
    };
    for (const auto &[hinders, obstacle] : lasting) {
        if (hinders) {
            return Hindrance{obstacle, 0};
        }
    }
    if (now < conditions.pausedUntil) {
        return Hindrance{Obstacle::Paused, std::max(conditions.pausedUntil, conditions.suspendedUntil)};
    }
    if (now < conditions.suspendedUntil) {
        return Hindrance{Obstacle::Suspended, conditions.suspendedUntil};
    }
    if (conditions.resuming) {
        return Hindrance{Obstacle::Resuming, 0};
    }
    if (!conditions.rateAllows) {
        return Hindrance{conditions.rateNamed ? Obstacle::RateLimit : Obstacle::ColdRate, 0};
    }
    return std::nullopt;
}

bool isLackOfRoom(Obstacle obstacle)
{
    return obstacle == Obstacle::Resuming || obstacle == Obstacle::RateLimit || obstacle == Obstacle::ColdRate;
}

} // namespace LibGateway
