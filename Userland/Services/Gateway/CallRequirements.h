#pragma once

#include <LibFleet/Configuration.h>
#include <LibGateway/Codec.h>
#include <LibGateway/QueueRules.h>
#include <set>
#include <string>
#include <vector>

namespace Gateway
{

/// What a call requires of an upstream, and its rank and deadline in the queue.
struct CallRequirements {
    std::string service;
    LibGateway::QueueRank rank;
    AK::Milliseconds arrivedAt = 0;
    int64_t promptTokens = 0;
    /// See LibGateway::CallRequest.
    std::optional<int64_t> answerTokenHint;
    /// The call is refused if it has not got a slot by this time.
    AK::Milliseconds startBy = 0;
    /// With DispatchSettings::competition: a call that starts until this time is in time, and its client leaves at the other one. Both monotonic.
    AK::Milliseconds inTimeUntil = 0;
    AK::Milliseconds clientLeavesAt = 0;
    /// Regions that the route allows; empty for any.
    std::vector<std::string> regions;
    /// Regions that the client account allows; empty for any.
    std::vector<std::string> accountRegions;
    /// Ids of upstreams that this call must not be sent to again.
    std::set<std::string> excluded;
    /// Name of the client account; empty for calls without one.
    std::string account;
};

/// Requirements of a call on a route, without its rank among others and its deadline. `account` is null for calls without one.
CallRequirements requirementsFor(const LibFleet::Route &route, const LibFleet::ClientAccount *account, const LibGateway::CallRequest &request,
                                 AK::Milliseconds arrivedAt);

/// Whether a list of allowed regions contains a region; an empty list allows any.
bool allowsRegion(const std::vector<std::string> &allowed, const std::string &region);

} // namespace Gateway
