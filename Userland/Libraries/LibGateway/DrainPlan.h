#pragma once

#include <AK/Clock.h>

namespace LibGateway
{

/// The steps of a planned stop, in ms from its signal.
struct DrainPlan {
    /// Calls that arrive later are rejected at once: they might not end in time.
    AK::Milliseconds acceptUntil = 0;
    /// Connections without a call are closed from then on. Clients have fetched new addresses by then.
    AK::Milliseconds closeIdleAt = 0;
    /// Each call whose response has not begun gets its final answer then.
    AK::Milliseconds answerAt = 0;
    /// The process ends, with the responses that have begun and are not complete.
    AK::Milliseconds endAt = 0;
};

/// Plans a planned stop within `gracePeriod` ms, after which the process is killed. Load pattern: clients go on sending over open connections for seconds after
/// the signal, and some of their calls last longer than what is left.
DrainPlan planDrain(AK::Milliseconds gracePeriod);

} // namespace LibGateway
