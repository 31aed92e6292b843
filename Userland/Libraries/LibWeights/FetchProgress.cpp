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
    : description(std::move(manifest))
    , rootHash(rootOf(this->description))
    , text(std::move(manifestText))
    , references(this->description.chunks())
    , wanted(this->references.size(), true)
    , heldChunks(this->references.size(), false)
    , holders(this->references.size(), 0)
{
    for (size_t i = 0; i < this->references.size(); ++i) {
        if (store.has(this->references[i].hash)) {
            this->wanted[i] = false;
            this->heldChunks[i] = true;
            ++this->heldTotal;
        }
    }
}

const Manifest &FetchProgress::manifest() const
{
    return this->description;
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
    return this->references;
}

size_t FetchProgress::heldCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->heldTotal;
}

bool FetchProgress::complete() const
{
    return this->heldCount() == this->references.size();
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
    std::vector<bool> &known = this->offers[peer];
    known.resize(this->references.size(), false);
    offered.resize(this->references.size(), false);
    bool grown = false;
    for (size_t i = 0; i < offered.size(); ++i) {
        this->holders[i] += static_cast<uint32_t>(offered[i]) - static_cast<uint32_t>(known[i]);
        grown = grown || (offered[i] && !known[i]);
    }
    known = std::move(offered);
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
    return this->holders[index] > 0;
}

bool FetchProgress::isWanted(uint32_t index) const
{
    const std::lock_guard lock(this->mutex);
    return this->wanted[index];
}

std::optional<uint32_t> FetchProgress::takeRarest(const std::string &peer, AK::Random &random)
{
    const std::lock_guard lock(this->mutex);
    const auto offer = this->offers.find(peer);
    if (offer == this->offers.end() || this->inFlight >= fetchLimit) {
        return std::nullopt;
    }
    const auto chosen = chooseRarest(this->wanted, offer->second, this->holders, random);
    if (chosen) {
        this->wanted[*chosen] = false;
        ++this->inFlight;
    }
    return chosen;
}

bool FetchProgress::take(uint32_t index)
{
    const std::lock_guard lock(this->mutex);
    if (!this->wanted[index] || this->inFlight >= fetchLimit) {
        return false;
    }
    this->wanted[index] = false;
    ++this->inFlight;
    return true;
}

void FetchProgress::release(uint32_t index, bool arrived)
{
    const std::lock_guard lock(this->mutex);
    --this->inFlight;
    this->wanted[index] = !arrived;
    const std::string &hash = this->references[index].hash;
    for (size_t i = 0; arrived && i < this->references.size(); ++i) {
        if (!this->heldChunks[i] && this->references[i].hash == hash) {
            this->heldChunks[i] = true;
            this->wanted[i] = false;
            ++this->heldTotal;
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
