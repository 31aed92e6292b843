#pragma once

#include "EngineControl.h"
#include <map>
#include <set>
#include <utility>

namespace WeightAgent
{

/// The manifests that were read from the origin, which may send corrupt or truncated answers. A manifest has no hash of its own, so it counts only when two
/// reads agree; until then no chunk is read by it and no other agent gets it. Load pattern: one agent reads the manifest, and all others get it from there.
class ManifestProof
{
public:
    /// Notes a manifest that has just been read from the origin. True when an earlier read gave the same version, chunk size and digests.
    bool confirm(const std::string &model, const WeightsManifest &manifest);

private:
    /// Hashes of the manifests read, by model and version.
    std::map<std::pair<std::string, int64_t>, std::set<std::string>> reads;
};

} // namespace WeightAgent
