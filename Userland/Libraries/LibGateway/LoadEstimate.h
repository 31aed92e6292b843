#pragma once

#include <AK/Clock.h>

namespace LibGateway
{

struct LoadEstimateSettings {
    /// Time in which the deviation of a stated slowness from 1 halves, in ms. Slow periods of a host last some 600 ms, so an older figure says little.
    AK::Milliseconds slownessHalfLife = 300;
    /// Larger figures count as this one, so that any of them decays below 1.5 within four half-lives and the upstream gets calls again.
    double maxSlowness = 8;
};

/// How long work takes on the host of an upstream, as its responses state it.
struct StatedSlowness {
    /// Relative to the usual time.
    double factor = 1;
    /// Monotonic time of the response.
    AK::Milliseconds statedAt = 0;
};

/// The stated slowness by its age: it has full weight when new and decays to 1. Load pattern: a host is slow for a fraction of a second; an upstream that gets
/// no calls meanwhile sends no newer figure.
double slownessNow(const StatedSlowness &stated, AK::Milliseconds now, const LoadEstimateSettings &settings);

} // namespace LibGateway
