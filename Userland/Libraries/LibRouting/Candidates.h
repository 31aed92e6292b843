#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibMembership/MembershipView.h>
#include <optional>
#include <string>
#include <vector>

namespace LibRouting
{

/// Load of an upstream as reported by its agent.
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
    /// Engines: root hash of the weights that must serve the call.
    std::string weightsRoot;
    /// Version of these weights, reported to the caller.
    std::string version;
    std::optional<LoadHint> hint;
};

/// The upstreams of a service that may receive calls: in service, alive and, for engines, verified to serve the target weights or, during a rollout, the
/// previous ones. `wallTime` decides whether a restriction has expired.
std::vector<Candidate> candidatesOf(const LibConfiguration::Configuration &configuration, const std::vector<LibMembership::Member> &members,
                                    const std::string &service, AK::Milliseconds wallTime);

} // namespace LibRouting
