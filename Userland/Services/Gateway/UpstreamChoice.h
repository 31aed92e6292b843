#pragma once

#include "CallRequirements.h"
#include "Grant.h"
#include "UpstreamTable.h"

#include <AK/Random.h>

namespace Gateway
{

/// Result of looking for an upstream for a call.
struct UpstreamChoice {
    /// nullptr when none may get the call now. Valid until the upstreams change.
    const LibFleet::UpstreamRecord *upstream = nullptr;
    /// Estimated calls at the chosen upstream.
    double load = 0;
    /// Some upstream may get the call, now or when it has room.
    bool anyUsable = false;
};

/// Chooses among the upstreams that this entry decides on: for a call of its clients those that it owns or that have no owner, for a call of another entry
/// those that it owns. See LibGateway::chooseUpstream() for `ignoreBacklog`, and chooseSharedUpstream() for upstreams whose load is estimated.
UpstreamChoice chooseUpstream(UpstreamTable &table, const LibFleet::FleetState &fleet, const CallRequirements &requirements, GrantKind kind, bool ignoreBacklog,
                              const TableSettings &settings, AK::Random &random);

} // namespace Gateway
