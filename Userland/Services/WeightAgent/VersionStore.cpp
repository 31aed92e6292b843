#include "VersionStore.h"

#include <AK/Hash.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// The current version and its successor; a third would not fit the memory of a small host.
constexpr size_t maxVersions = 2;
constexpr size_t maxAnnounced = 4;
// Longest time that a chunk is queued for upload; with a longer queue the request is refused, and the peer asks another agent.
constexpr AK::Milliseconds maxUploadWait = 250;

} // namespace

HeldVersion::HeldVersion(std::string manifestText, WeightsManifest manifest)
    : text(std::move(manifestText))
    , parsedManifest(std::move(manifest))
    , chunks(this->parsedManifest.digests.size())
{
}

const WeightsManifest &HeldVersion::manifest() const
{
    return this->parsedManifest;
}

const std::string &HeldVersion::manifestText() const
{
    return this->text;
}

size_t HeldVersion::chunkCount() const
{
    return this->chunks.size();
}

size_t HeldVersion::heldCount() const
{
    return this->held;
}

bool HeldVersion::complete() const
{
    return this->held == this->chunks.size();
}

bool HeldVersion::has(uint32_t index) const
{
    return index < this->chunks.size() && this->chunks[index].has_value();
}

const std::string &HeldVersion::chunk(uint32_t index) const
{
    return *this->chunks[index];
}

HeldVersion::RefusedReads HeldVersion::refusedReads(uint32_t index) const
{
    const auto found = this->refused.find(index);
    return found == this->refused.end() ? RefusedReads() : found->second;
}

void HeldVersion::noteRefusedRead(uint32_t index, AK::Milliseconds now)
{
    RefusedReads &reads = this->refused[index];
    ++reads.count;
    reads.lastAt = now;
}

absl::Status HeldVersion::put(uint32_t index, std::string data)
{
    if (index >= this->chunks.size() || AK::sha256Hex(data) != this->parsedManifest.digests[index]) {
        return absl::DataLossError(absl::StrCat("chunk ", index, " does not match the hash in the manifest of version ", this->parsedManifest.version));
    }
    if (!this->chunks[index]) {
        this->chunks[index] = std::move(data);
        ++this->held;
    }
    return absl::OkStatus();
}

VersionStore::VersionStore(const AK::Clock &clock, double uploadBytesPerSecond)
    : clock(clock)
    , uploadBytesPerSecond(uploadBytesPerSecond)
{
}

std::optional<AK::Milliseconds> VersionStore::reserveUpload(size_t bytes)
{
    const AK::Milliseconds now = this->clock.now();
    if (this->uploadsBusyUntil - now > maxUploadWait) {
        return std::nullopt;
    }
    const AK::Milliseconds wait = LibWeights::takeTokens(this->uploadBucket, now, bytes, this->uploadBytesPerSecond);
    this->uploadsBusyUntil = now + wait;
    return wait;
}

void VersionStore::setUploadRate(double bytesPerSecond)
{
    this->uploadBytesPerSecond = bytesPerSecond;
}

std::shared_ptr<HeldVersion> VersionStore::find(const std::string &model, int64_t version) const
{
    const auto found = this->versions.find({model, version});
    return found == this->versions.end() ? nullptr : found->second;
}

std::shared_ptr<HeldVersion> VersionStore::add(const std::string &model, std::string manifestText, WeightsManifest manifest)
{
    const int64_t version = manifest.version;
    auto held = std::make_shared<HeldVersion>(std::move(manifestText), std::move(manifest));
    this->versions[{model, version}] = held;
    this->dropOldVersions(*held);
    return held;
}

void VersionStore::dropOldVersions(const HeldVersion &added)
{
    size_t newer = 0;
    bool newerComplete = false;
    for (auto entry = this->versions.end(); entry != this->versions.begin();) {
        --entry;
        const bool complete = entry->second->complete();
        const bool newestComplete = complete && !newerComplete;
        if (newer >= maxVersions && !newestComplete && entry->second.get() != &added) {
            entry = this->versions.erase(entry);
        }
        newerComplete = newerComplete || complete;
        ++newer;
    }
}

void VersionStore::announce(const std::string &model, std::string manifestText, WeightsManifest manifest)
{
    const int64_t version = manifest.version;
    this->announced[{model, version}] = {std::move(manifestText), std::move(manifest)};
    if (this->announced.size() > maxAnnounced) {
        this->announced.erase(this->announced.begin());
    }
}

bool VersionStore::hasManifest(const std::string &model, int64_t version) const
{
    return this->versions.contains({model, version}) || this->announced.contains({model, version});
}

std::shared_ptr<HeldVersion> VersionStore::begin(const std::string &model, int64_t version)
{
    auto manifest = this->announced.extract({model, version});
    return manifest.empty() ? this->find(model, version) : this->add(model, std::move(manifest.mapped().text), std::move(manifest.mapped().manifest));
}

std::string VersionStore::manifest(const std::string &model, int64_t version)
{
    const auto held = this->find(model, version);
    const auto found = this->announced.find({model, version});
    return held ? held->manifestText() : found == this->announced.end() ? "" : found->second.text;
}

std::string VersionStore::heldChunks(const std::string &model, int64_t version)
{
    const auto held = this->find(model, version);
    if (!held) {
        return "";
    }
    std::string bits((held->chunkCount() + 7) / 8, '\0');
    for (uint32_t i = 0; i < held->chunkCount(); ++i) {
        if (held->has(i)) {
            bits[i / 8] = static_cast<char>(static_cast<unsigned char>(bits[i / 8]) | (1U << (i % 8)));
        }
    }
    return bits;
}

std::string VersionStore::chunk(const std::string &model, int64_t version, uint32_t index)
{
    const auto held = this->find(model, version);
    return held && held->has(index) ? held->chunk(index) : "";
}

} // namespace WeightAgent
