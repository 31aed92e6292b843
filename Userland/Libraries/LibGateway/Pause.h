#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>

namespace LibGateway
{

struct PauseSettings {
    /// A longer pause is cut to this. An upstream that still wants no calls refuses the first one after it and is paused again.
    AK::Milliseconds longest = 600'000;
    /// Each entry takes up its calls again after a random part of this time. Load pattern: a pause ends at the same moment at all entries.
    AK::Milliseconds resumeSpread = 300;
    /// Time after that in which the calls of an entry at the upstream may grow from one to all of its slots.
    AK::Milliseconds resumeTime = 1'000;
};

/// The pause that an upstream has asked of this entry.
struct Pause {
    /// Monotonic time before which the upstream gets nothing new.
    AK::Milliseconds until = 0;
    /// Monotonic time at which this entry takes up its calls again.
    AK::Milliseconds resumesAt = 0;
};

/// Records that an upstream has asked for a pause of `duration` ms. Of several pauses the one that ends last holds, because the upstream may count each of
/// them. Returns whether the end has changed.
bool recordPause(Pause &pause, AK::Milliseconds duration, AK::Milliseconds now, const PauseSettings &settings, AK::Random &random);

/// Calls of this entry that may be at an upstream of `slots` slots now: none during the pause, and one more with each part of `resumeTime` after it.
int callsAllowed(const Pause &pause, int slots, AK::Milliseconds now, const PauseSettings &settings);

/// Whether the pause and the time after it are over, so that the record can be dropped.
bool isOver(const Pause &pause, AK::Milliseconds now, const PauseSettings &settings);

/// Time after which a client should retry that was refused because all upstreams are paused until `firstEnd`, in ms. `random` is in [0, 1).
AK::Milliseconds retryAfterPause(AK::Milliseconds firstEnd, AK::Milliseconds now, double random, const PauseSettings &settings);

} // namespace LibGateway
