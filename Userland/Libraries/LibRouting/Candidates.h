#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibMembership/MembershipView.h>
#include <optional>
#include <string>
#include <vector>

namespace LibRouting
{

/// Load of an upstream as its agent reported it.
struct LoadHint {
    uint32_t slots = 0;
    uint32_t inUse = 0;
    uint32_t queued = 0;
    bool warm = false;
    /// Monotonic time at which the hint arrived, in ms.
    AK::Milliseconds receivedAt = 0;
};

/// An upstream that may receive a call.
struct Candidate {
    std::string name;
    AK::Endpoint rpcAddress;
    std::string region;
    std::string failureDomain;
    /// Engines: the exact weights that must answer.
    std::string weightsRoot;
    /// Version that belongs to the root, for the caller.
    std::string version;
    std::optional<LoadHint> hint;
};

/// The upstreams of a service that are in service, alive and, for engines, verified to serve the target or, while a rollout goes on, the previous weights.
std::vector<Candidate> candidatesOf(const LibConfiguration::Configuration &configuration, const std::vector<LibMembership::Member> &members,
                                    const std::string &service, AK::Milliseconds wallTime);

} // namespace LibRouting
