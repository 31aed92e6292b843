#include <LibFleet/StoreTimes.h>

#include <algorithm>

namespace LibFleet
{

namespace
{

// From the moment at which a watch is given up: a new connection, a list, and the way of the change to the processes that do not watch the store.
constexpr AK::Milliseconds spreadTime = 500;
// The same up to the answer of the list.
constexpr AK::Milliseconds relistTime = 300;
// The store counts each watch as a call.
constexpr AK::Milliseconds shortestWait = 500;
constexpr AK::Milliseconds longestWait = 10'000;
// The rollout itself needs about half of its time.
constexpr AK::Milliseconds rolloutParts = 2;

/// Longest wait with which a change that is made right after the connection fell silent is in force in time.
AK::Milliseconds waitFor(AK::Milliseconds inForceWithin, const StoreTimes &times)
{
    return std::max(inForceWithin, times.channelRecovery) - watchOverdueAfter - spreadTime;
}

AK::Milliseconds unboundedWait(ObjectKind kind, const StoreTimes &times)
{
    switch (kind) {
    case ObjectKind::Configuration:
        return waitFor(times.configurationChange, times);
    case ObjectKind::Upstreams:
        // Also, something must be answered so often that silent connections are not taken for an absence of the store in which leases lapse.
        return std::min(waitFor(times.upstreamRemoval, times), shortestLapse(times.leaseRenewal) - watchOverdueAfter - relistTime);
    case ObjectKind::Evacuations:
        return waitFor(times.evacuation, times);
    case ObjectKind::WeightsTargets:
        return waitFor(times.weightsRollout / rolloutParts, times);
    case ObjectKind::Entries:
    case ObjectKind::QuarantinedParts:
        // Processes also learn of these from each other.
        return longestWait;
    }
    return shortestWait;
}

} // namespace

AK::Milliseconds watchWait(ObjectKind kind, const StoreTimes &times)
{
    return std::clamp(unboundedWait(kind, times), shortestWait, longestWait);
}

} // namespace LibFleet
