#pragma once

#include <LibSettings/SiteDocument.h>
#include <string>
#include <vector>

namespace LibWeights
{

/// State of one agent of a service in a rollout.
struct WaveMember {
    std::string name;
    /// False when it has left or is dead; the rollout then does not wait for it.
    bool present = true;
    /// Root that its engine was verified to serve.
    std::string root;
    /// Calls since its engine switched to `root`, and how many of them failed.
    uint32_t calls = 0;
    uint32_t errors = 0;
};

/// Whether an agent may drain its engine and load `root` now. Agents are ordered by hash of (root, name) and divided into waves of `waveShare` of them.
/// Permitted when the rollout is not paused, every present agent of the earlier waves serves the root, and no earlier wave has a share of failed calls above
/// the limit of the policy.
bool maySwitch(const std::string &self, const std::string &root, const std::vector<WaveMember> &members, const LibSettings::RolloutPolicy &policy);

} // namespace LibWeights
