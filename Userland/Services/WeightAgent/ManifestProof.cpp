#include "ManifestProof.h"

#include <AK/Hash.h>
#include <AK/Text.h>

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
    const bool confirmed = !this->reads[{model, manifest.version}].insert(hashOf(manifest)).second;
    while (this->reads.size() > maxVersions) {
        this->reads.erase(this->reads.begin());
    }
    return confirmed;
}

} // namespace WeightAgent
