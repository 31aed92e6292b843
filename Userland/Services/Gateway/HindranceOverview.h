#pragma once

#include "CallRequirements.h"
#include "UpstreamTable.h"

#include <LibMetrics/MetricRegistry.h>

namespace Gateway
{

/// When the first pause ends, if all upstreams that the call may use are paused; monotonic time in ms.
std::optional<AK::Milliseconds> firstPauseEnd(UpstreamTable &table, const LibFleet::FleetState &fleet, const CallRequirements &requirements);

/// Writes how many upstreams get no calls now, by reason.
void exportHindrances(UpstreamTable &table, const LibFleet::FleetState &fleet, LibMetrics::MetricRegistry &metrics);

} // namespace Gateway
