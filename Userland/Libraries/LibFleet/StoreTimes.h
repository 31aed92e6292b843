#pragma once

#include <AK/Clock.h>
#include <LibFleet/ObjectFeed.h>

namespace LibFleet
{

/// Times that the deployment states for what lies in the store, in ms.
struct StoreTimes {
    /// Interval at which an upstream renews its lease.
    AK::Milliseconds leaseRenewal = 1'200;
    /// From the store's acknowledgement of a change until it must be in force everywhere.
    AK::Milliseconds configurationChange = 2'000;
    AK::Milliseconds upstreamRemoval = 2'000;
    AK::Milliseconds evacuation = 5'000;
    AK::Milliseconds weightsRollout = 8'000;
    /// From a fault of a process's connections until the times above hold for it again.
    AK::Milliseconds channelRecovery = 3'000;

    bool operator==(const StoreTimes &) const = default;
};

/// A watch without an answer this long after its wait time, in ms, is given up: its connection has gone silent.
inline constexpr AK::Milliseconds watchOverdueAfter = 500;

/// Time for which a watch of a kind may wait for a change, in ms. Load pattern: connections to the store fall silent without a reset while new ones work, which
/// only an overdue answer shows; a change that was made since then must still be in force everywhere in time.
AK::Milliseconds watchWait(ObjectKind kind, const StoreTimes &times);

} // namespace LibFleet
