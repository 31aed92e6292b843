#pragma once

#include "EngineControl.h"
#include <LibPeers/PeerRecords.h>
#include <LibWeights/TokenBucket.h>
#include <map>
#include <memory>
#include <optional>

namespace WeightAgent
{

/// The manifest of one version and those of its chunks that were received and verified.
class HeldVersion
{
public:
    HeldVersion(std::string manifestText, WeightsManifest manifest);

    const WeightsManifest &manifest() const;
    const std::string &manifestText() const;
    size_t chunkCount() const;
    size_t heldCount() const;
    bool complete() const;
    bool has(uint32_t index) const;
    const std::string &chunk(uint32_t index) const;

    /// Reads of a chunk from the origin, one after another, that did not match the manifest.
    struct RefusedReads {
        int count = 0;
        AK::Milliseconds lastAt = 0;
    };
    RefusedReads refusedReads(uint32_t index) const;
    void noteRefusedRead(uint32_t index, AK::Milliseconds now);

    /// Stores a chunk if its SHA-256 matches the manifest.
    /// Errors: kDataLoss.
    absl::Status put(uint32_t index, std::string data);

private:
    std::string text;
    WeightsManifest parsedManifest;
    std::vector<std::optional<std::string>> chunks;
    std::map<uint32_t, RefusedReads> refused;
    size_t held = 0;
};

/// Holds the newest two versions in memory for the engine of this host and for other agents, older ones while they are needed, and the manifests of announced
/// ones. A manifest alone takes no version's place: the version before it may be the only one that can be complete in time.
class VersionStore final : public LibPeers::ChunkProvider
{
public:
    /// `uploadBytesPerSecond`: bandwidth limit for chunks sent to other agents.
    VersionStore(const AK::Clock &clock, double uploadBytesPerSecond);

    /// Takes effect with the next chunk.
    void setUploadRate(double bytesPerSecond);

    std::shared_ptr<HeldVersion> find(const std::string &model, int64_t version) const;
    std::shared_ptr<HeldVersion> add(const std::string &model, std::string manifestText, WeightsManifest manifest);

    /// Keeps the manifest of a version that is not fetched yet, for other agents and for begin().
    void announce(const std::string &model, std::string manifestText, WeightsManifest manifest);
    bool hasManifest(const std::string &model, int64_t version) const;
    /// The version with its chunks; adds one without chunks whose manifest was announced. Nothing without a manifest.
    std::shared_ptr<HeldVersion> begin(const std::string &model, int64_t version);

    std::string manifest(const std::string &model, int64_t version) override;
    std::string heldChunks(const std::string &model, int64_t version) override;
    std::string chunk(const std::string &model, int64_t version, uint32_t index) override;
    std::optional<AK::Milliseconds> reserveUpload(size_t bytes) override;

private:
    /// Drops versions that newer ones replace, but not the newest complete one, which is the only one that the engine can be given when it restarts, and not
    /// the one that was just added.
    void dropOldVersions(const HeldVersion &added);

    const AK::Clock &clock;
    double uploadBytesPerSecond;
    LibWeights::TokenBucket uploadBucket;
    AK::Milliseconds uploadsBusyUntil = 0;
    struct AnnouncedManifest {
        std::string text;
        WeightsManifest manifest;
    };

    std::map<std::pair<std::string, int64_t>, std::shared_ptr<HeldVersion>> versions;
    /// Manifests of versions that are not among `versions`.
    std::map<std::pair<std::string, int64_t>, AnnouncedManifest> announced;
};

} // namespace WeightAgent
