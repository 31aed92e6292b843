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

/// The files of one version of weights with the hashes of all their chunks.
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

/// Canonical text whose SHA-256 is the root. It has one line per field, so that different manifests have different texts.
std::string canonicalText(const Manifest &manifest);

/// Root of a manifest: SHA-256 of canonicalText() in hex.
std::string rootOf(const Manifest &manifest);

/// JSON text of a manifest, as read by parseManifest().
std::string serializeManifest(const Manifest &manifest);

/// Reads a manifest. Errors: kInvalidArgument with the path of the field, its value and the limit.
absl::StatusOr<Manifest> parseManifest(std::string_view text);

/// Path of a version at the weight store: "/weights/<model>/<adapter>/<version>".
std::string weightsPath(std::string_view model, std::string_view adapter, std::string_view version);

} // namespace LibWeights
