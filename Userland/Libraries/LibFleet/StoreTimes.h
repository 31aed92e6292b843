#pragma once

#include <AK/Clock.h>

namespace LibFleet
{

/// Times that the deployment states for what lies in the store, in ms.
struct StoreTimes {
    /// Interval at which an upstream renews its lease.
    AK::Milliseconds leaseRenewal = 1'200;

    bool operator==(const StoreTimes &) const = default;
};

} // namespace LibFleet
