#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Catkinlink
{

/// State of one upstream of a service, as reported by an entry.
struct RolloutHost {
    /// Fields as in `GET /operator/v1/status`.
    nlohmann::json member;
    /// Version that the host is verified to serve: that of the target, that of the previous weights, or empty when it serves neither.
    std::string version;
    bool servesTarget = false;
};

/// Progress of the hosts of a service towards the target in the document in force.
struct RolloutProgress {
    std::string targetVersion;
    std::string targetRoot;
    /// Live hosts by name.
    std::vector<RolloutHost> hosts;
    /// Upstreams of the document without a live process; a rollout does not wait for them.
    std::vector<std::string> missing;
    size_t serving = 0;
    /// Why no further host will switch until an operator acts; empty while the rollout goes on or when it is done.
    std::string stopReason;

    bool done() const;
};

/// Computes the progress from the status of an entry and the document in force. The target root is empty when the service has no target.
RolloutProgress rolloutProgress(const nlohmann::json &status, const nlohmann::json &document, const std::string &service);

} // namespace Catkinlink
