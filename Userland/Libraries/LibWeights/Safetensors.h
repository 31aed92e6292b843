#pragma once

#include <LibWeights/Manifest.h>
#include <map>
#include <string>

namespace LibWeights
{

/// Parameters of generateFiles(). The same parameters give the same bytes in every process.
struct GeneratedWeights {
    std::string model = "model";
    std::string adapter = "base";
    std::string version = "1";
    /// Total size of the tensors in bytes, divided between two files.
    uint64_t sizeBytes = 1 << 20;
    uint32_t chunkBytes = 1 << 16;
    uint64_t seed = 1;
    /// Percentage of the tensors whose content depends on the version.
    int changePercent = 100;
};

/// Generates files in the safetensors format, by name: header length, JSON header and tensors of type U8. The header is padded with spaces to a chunk boundary,
/// so that tensors shared by two versions lie in identical chunks.
std::map<std::string, std::string> generateFiles(const GeneratedWeights &parameters);

/// Hashes the chunks of files and returns their manifest.
Manifest buildManifest(const GeneratedWeights &parameters, const std::map<std::string, std::string> &files);

} // namespace LibWeights
