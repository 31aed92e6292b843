#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace LibWeights
{

struct ManifestFile {
    std::string name;
    uint64_t bytes = 0;
    /// SHA-256 of each chunk in hex; every chunk but the last has Manifest::chunkBytes bytes.
    std::vector<std::string> chunks;
};

/// One chunk of a manifest by its index over all files.
struct ChunkReference {
    std::string hash;
    uint32_t file = 0;
    uint64_t offset = 0;
    uint32_t bytes = 0;
};

/// The files of one version of weights and the hashes that pin every byte of them.
struct Manifest {
    std::string model;
    std::string adapter;
    std::string version;
    uint32_t chunkBytes = 0;
    std::vector<ManifestFile> files;

    /// All chunks in order of file and offset.
    std::vector<ChunkReference> chunks() const;
    uint64_t totalBytes() const;
};

/// Text that the root is the SHA-256 of. One line per field, so that no two manifests share it.
std::string canonicalText(const Manifest &manifest);

/// Root of a manifest in hex.
std::string rootOf(const Manifest &manifest);

std::string serializeManifest(const Manifest &manifest);

/// Reads a manifest. Errors: kInvalidArgument with the path of the field, its value and the limit.
absl::StatusOr<Manifest> parseManifest(std::string_view text);

/// The path of a version below the weight store: "/weights/<model>/<adapter>/<version>".
std::string weightsPath(std::string_view model, std::string_view adapter, std::string_view version);

} // namespace LibWeights
