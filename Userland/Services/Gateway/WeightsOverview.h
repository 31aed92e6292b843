#pragma once

#include "UpstreamTable.h"

#include <LibMetrics/MetricRegistry.h>

namespace Gateway
{

/// Writes which version of the weights calls require now, by service, and how old this process takes each naming to be, by model.
void exportWeights(const UpstreamTable &table, const LibFleet::FleetState &fleet, const AK::Clock &clock, LibMetrics::MetricRegistry &metrics);

} // namespace Gateway
