#pragma once

#include "EngineControl.h"
#include <deque>
#include <set>
#include <string>

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
    struct Reads {
        std::string model;
        int64_t version = 0;
        /// Hashes of the manifests read.
        std::set<std::string> hashes;
    };

    /// The oldest first.
    std::deque<Reads> reads;
};

} // namespace WeightAgent
