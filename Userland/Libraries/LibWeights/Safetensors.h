#pragma once

#include <LibWeights/Manifest.h>
#include <map>
#include <string>

namespace LibWeights
{

/// What the generator makes. The same parameters give the same bytes in every process.
struct GeneratedWeights {
    std::string model = "model";
    std::string adapter = "base";
    std::string version = "1";
    /// Bytes of tensors in all, divided over two files.
    uint64_t sizeBytes = 1 << 20;
    uint32_t chunkBytes = 1 << 16;
    uint64_t seed = 1;
    /// Share of the tensors, in percent, whose content depends on the version.
    int changePercent = 100;
};

/// Files in the safetensors format by name: header length, JSON header and tensors of type U8. The header is padded with spaces to a chunk boundary, so that
/// tensors which two versions share lie in the same chunks.
std::map<std::string, std::string> generateFiles(const GeneratedWeights &parameters);

/// The manifest of files.
Manifest buildManifest(const GeneratedWeights &parameters, const std::map<std::string, std::string> &files);

} // namespace LibWeights
