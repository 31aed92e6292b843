#pragma once

#include <AK/Clock.h>

namespace LibPeers
{

/// Keep-alives are sent at this interval over a connection over which the sender holds slots. The kernel's own probes show only that the peer's kernel is
/// there.
inline constexpr AK::Milliseconds keepAliveInterval = 1'000;
/// A connection on which keep-alives are due and nothing has arrived for this many intervals is closed, which releases its slots. Load pattern: an entry
/// vanishes without a reset, and its calls would count at the upstreams for good.
inline constexpr int maxSilentIntervals = 4;

} // namespace LibPeers
