#include <LibWeights/FetchProgress.h>

#include <LibWeights/ChunkChoice.h>
#include <chrono>

namespace LibWeights
{

std::vector<bool> unpackBitmap(std::string_view bitmap, size_t count)
{
    std::vector<bool> bits(count, false);
    for (size_t i = 0; i < count && i / 8 < bitmap.size(); ++i) {
        bits[i] = ((static_cast<unsigned char>(bitmap[i / 8]) >> (i % 8)) & 1) != 0;
    }
    return bits;
}

FetchProgress::FetchProgress(Manifest manifest, std::string manifestText, const ChunkStore &store)
    : parsedManifest(std::move(manifest))
    , rootHash(rootOf(this->parsedManifest))
    , text(std::move(manifestText))
    , chunkReferences(this->parsedManifest.chunks())
    , needed(this->chunkReferences.size(), true)
    , heldChunks(this->chunkReferences.size(), false)
    , sourceCounts(this->chunkReferences.size(), 0)
{
    for (size_t i = 0; i < this->chunkReferences.size(); ++i) {
        if (store.has(this->chunkReferences[i].hash)) {
            this->needed[i] = false;
            this->heldChunks[i] = true;
            ++this->heldChunkCount;
        }
    }
}

const Manifest &FetchProgress::manifest() const
{
    return this->parsedManifest;
}

const std::string &FetchProgress::root() const
{
    return this->rootHash;
}

const std::string &FetchProgress::manifestText() const
{
    return this->text;
}

const std::vector<ChunkReference> &FetchProgress::chunks() const
{
    return this->chunkReferences;
}

size_t FetchProgress::heldCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->heldChunkCount;
}

bool FetchProgress::complete() const
{
    return this->heldCount() == this->chunkReferences.size();
}

std::vector<bool> FetchProgress::held() const
{
    const std::lock_guard lock(this->mutex);
    return this->heldChunks;
}

std::string FetchProgress::bitmap() const
{
    const std::lock_guard lock(this->mutex);
    std::string packed((this->heldChunks.size() + 7) / 8, '\0');
    for (size_t i = 0; i < this->heldChunks.size(); ++i) {
        if (this->heldChunks[i]) {
            packed[i / 8] = static_cast<char>(packed[i / 8] | (1 << (i % 8)));
        }
    }
    return packed;
}

void FetchProgress::setOffer(const std::string &peer, std::vector<bool> offered)
{
    const std::lock_guard lock(this->mutex);
    std::vector<bool> &previous = this->offers[peer];
    previous.resize(this->chunkReferences.size(), false);
    offered.resize(this->chunkReferences.size(), false);
    bool grown = false;
    for (size_t i = 0; i < offered.size(); ++i) {
        this->sourceCounts[i] += static_cast<uint32_t>(offered[i]) - static_cast<uint32_t>(previous[i]);
        grown = grown || (offered[i] && !previous[i]);
    }
    previous = std::move(offered);
    if (grown) {
        ++this->changes;
        this->changed.notify_all();
    }
}

void FetchProgress::removeOffer(const std::string &peer)
{
    this->setOffer(peer, {});
    const std::lock_guard lock(this->mutex);
    this->offers.erase(peer);
}

bool FetchProgress::hasSource(uint32_t index) const
{
    const std::lock_guard lock(this->mutex);
    return this->sourceCounts[index] > 0;
}

bool FetchProgress::isNeeded(uint32_t index) const
{
    const std::lock_guard lock(this->mutex);
    return this->needed[index];
}

std::optional<uint32_t> FetchProgress::reserveRarest(const std::string &peer, AK::Random &random)
{
    const std::lock_guard lock(this->mutex);
    const auto offer = this->offers.find(peer);
    if (offer == this->offers.end() || this->inFlight >= maxInFlight) {
        return std::nullopt;
    }
    const auto chosen = chooseRarest(this->needed, offer->second, this->sourceCounts, random);
    if (chosen) {
        this->needed[*chosen] = false;
        ++this->inFlight;
    }
    return chosen;
}

bool FetchProgress::reserve(uint32_t index)
{
    const std::lock_guard lock(this->mutex);
    if (!this->needed[index] || this->inFlight >= maxInFlight) {
        return false;
    }
    this->needed[index] = false;
    ++this->inFlight;
    return true;
}

void FetchProgress::release(uint32_t index, bool stored)
{
    const std::lock_guard lock(this->mutex);
    --this->inFlight;
    this->needed[index] = !stored;
    const std::string &hash = this->chunkReferences[index].hash;
    for (size_t i = 0; stored && i < this->chunkReferences.size(); ++i) {
        if (!this->heldChunks[i] && this->chunkReferences[i].hash == hash) {
            this->heldChunks[i] = true;
            this->needed[i] = false;
            ++this->heldChunkCount;
        }
    }
    ++this->changes;
    this->changed.notify_all();
}

void FetchProgress::waitForChange(AK::Milliseconds timeout)
{
    std::unique_lock lock(this->mutex);
    const uint64_t seen = this->changes;
    this->changed.wait_for(lock, std::chrono::milliseconds(timeout), [&] { return this->changes != seen; });
}

} // namespace LibWeights
