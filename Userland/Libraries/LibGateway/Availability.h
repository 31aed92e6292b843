#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <array>
#include <optional>

namespace LibGateway
{

/// Why an upstream gets no new call now.
enum class Obstacle {
    /// The upstream belongs to another service than the call's.
    OtherService,
    /// No registration names the upstream any more.
    Unregistered,
    /// Another incarnation is registered under its id or at its address, or it is registered at another address.
    Replaced,
    /// Its registration says that it is draining.
    Draining,
    /// It has said in a response that it is leaving.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// The route or the client account does not allow its region.
    OtherRegion,
    /// The call has been sent to it before.
    Excluded,
    /// It has asked this entry for a pause.
    Paused,
    /// Too many calls in a row failed.
    Suspended,
    /// It holds older weights than required.
    Weights,
    /// It is loading weights, or about to.
    Switching,
    /// The slot was granted too long ago to be used.
    SlotExpired,
    /// The deadline of the call has passed.
    DeadlinePassed,
    /// Its pause is over, and this entry has as many calls there as it may have so soon after it.
    Resuming,
    /// The calls per second that it names itself are used up.
    RateLimit,
    /// The calls per second that it may get while cold are used up.
    ColdRate,
    /// The client has closed its connection.
    ClientLeft,
};

inline constexpr std::array obstacleNames{
    AK::EnumName{Obstacle::OtherService, "other_service"},
    AK::EnumName{Obstacle::Unregistered, "unregistered"},
    AK::EnumName{Obstacle::Replaced, "replaced"},
    AK::EnumName{Obstacle::Draining, "draining"},
    AK::EnumName{Obstacle::Leaving, "leaving"},
    AK::EnumName{Obstacle::Evacuated, "evacuated"},
    AK::EnumName{Obstacle::OtherRegion, "other_region"},
    AK::EnumName{Obstacle::Excluded, "excluded"},
    AK::EnumName{Obstacle::Paused, "paused"},
    AK::EnumName{Obstacle::Suspended, "suspended"},
    AK::EnumName{Obstacle::Weights, "weights"},
    AK::EnumName{Obstacle::Switching, "switching"},
    AK::EnumName{Obstacle::SlotExpired, "slot_expired"},
    AK::EnumName{Obstacle::DeadlinePassed, "deadline_passed"},
    AK::EnumName{Obstacle::Resuming, "resuming"},
    AK::EnumName{Obstacle::RateLimit, "rate_limit"},
    AK::EnumName{Obstacle::ColdRate, "cold_rate"},
    AK::EnumName{Obstacle::ClientLeft, "client_left"},
};

/// What keeps a call from an upstream, and for how long.
struct Hindrance {
    Obstacle obstacle = Obstacle::OtherService;
    /// Monotonic time at which the obstacle ends by itself; 0 when that depends on something else.
    AK::Milliseconds until = 0;

    bool operator==(const Hindrance &) const = default;
};

/// What an entry knows of an upstream with regard to one call.
struct UpstreamConditions {
    bool sameService = true;
    /// A later incarnation is registered at its address.
    bool replaced = false;
    bool draining = false;
    bool leaving = false;
    bool evacuated = false;
    bool regionAllowed = true;
    bool excluded = false;
    AK::Milliseconds pausedUntil = 0;
    AK::Milliseconds suspendedUntil = 0;
    bool weightsAllowed = true;
    bool switching = false;
    /// This entry has as many calls there as it may have after a pause.
    bool resuming = false;
    bool rateAllows = true;
    /// The rate is one that the upstream names itself, not that of a cold start.
    bool rateNamed = false;
};

/// What keeps the call from the upstream; nothing when it may be sent there now. Of several obstacles the one that lasts longest is named: those that only
/// another upstream or call gets round come before those that end by themselves.
std::optional<Hindrance> hindranceTo(const UpstreamConditions &conditions, AK::Milliseconds now);

/// Whether the upstream takes calls and only has no room at this moment, so that waiting for it makes sense.
bool isLackOfRoom(Obstacle obstacle);

} // namespace LibGateway
