#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Catkinlink
{

/// One upstream of a service as an entry reports it.
struct RolloutHost {
    /// Fields as in `GET /operator/v1/status`.
    nlohmann::json member;
    /// The version that it was verified to serve: of the target, of the previous weights, or empty when it serves neither.
    std::string version;
    bool servesTarget = false;
};

/// How far the hosts of a service are with the target of the document in force.
struct RolloutProgress {
    std::string targetVersion;
    std::string targetRoot;
    /// Live hosts by name.
    std::vector<RolloutHost> hosts;
    /// Upstreams of the document without a live process; a rollout does not wait for them.
    std::vector<std::string> missing;
    size_t serving = 0;
    /// Why no further host will switch without an operator; empty while the rollout goes on or is done.
    std::string stopped;

    bool done() const;
};

/// Reads the progress from the status of an entry and the document in force. A service without a target has no target root.
RolloutProgress rolloutProgress(const nlohmann::json &status, const nlohmann::json &document, const std::string &service);

} // namespace Catkinlink
