#include "ManifestProof.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// Versions for which reads are remembered; as many as VersionStore holds.
constexpr size_t maxVersions = 2;

std::string hashOf(const WeightsManifest &manifest)
{
    std::string text = AK::concat(manifest.version, "\n", manifest.chunkBytes);
    for (const std::string &digest : manifest.digests) {
        text += "\n" + digest;
    }
    return AK::sha256Hex(text);
}

} // namespace

bool ManifestProof::confirm(const std::string &model, const WeightsManifest &manifest)
{
    auto read = std::ranges::find_if(this->reads, [&](const Reads &other) { return other.model == model && other.version == manifest.version; });
    if (read == this->reads.end()) {
        if (this->reads.size() == maxVersions) {
            this->reads.pop_front();
        }
        read = this->reads.insert(this->reads.end(), Reads{model, manifest.version, {}});
    }
    return !read->hashes.insert(hashOf(manifest)).second;
}

} // namespace WeightAgent
