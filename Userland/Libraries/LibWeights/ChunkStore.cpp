#include <LibWeights/ChunkStore.h>

#include <AK/Hash.h>
#include <AK/Text.h>

namespace LibWeights
{

ChunkStore::ChunkStore(size_t maxBytes)
    : maxBytes(maxBytes)
{
}

void ChunkStore::setPinned(std::set<std::string> hashes)
{
    const std::lock_guard lock(this->mutex);
    this->pinned = std::move(hashes);
}

// Evicts chunks that are not pinned until `requiredBytes` fit. False when they still do not.
bool ChunkStore::makeRoom(size_t requiredBytes)
{
    for (auto chunk = this->chunks.begin(); chunk != this->chunks.end() && this->heldBytes + requiredBytes > this->maxBytes;) {
        if (this->pinned.contains(chunk->first)) {
            ++chunk;
            continue;
        }
        this->heldBytes -= chunk->second->size();
        chunk = this->chunks.erase(chunk);
    }
    return this->heldBytes + requiredBytes <= this->maxBytes;
}

absl::Status ChunkStore::put(const std::string &hash, std::string data)
{
    // Hashes outside the lock, so that uploads are not blocked meanwhile.
    if (const std::string actual = AK::sha256Hex(data); actual != hash) {
        return absl::DataLossError(AK::concat("chunk of ", data.size(), " bytes has hash ", actual, ", the manifest says ", hash));
    }
    const std::lock_guard lock(this->mutex);
    if (this->chunks.contains(hash)) {
        return absl::OkStatus();
    }
    if (!this->makeRoom(data.size())) {
        return absl::ResourceExhaustedError(
            AK::concat("chunk of ", data.size(), " bytes does not fit the weight buffer of ", this->maxBytes, " bytes, ", this->heldBytes, " are held"));
    }
    this->heldBytes += data.size();
    this->chunks.emplace(hash, std::make_shared<const std::string>(std::move(data)));
    return absl::OkStatus();
}

std::shared_ptr<const std::string> ChunkStore::get(const std::string &hash) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->chunks.find(hash);
    return found == this->chunks.end() ? nullptr : found->second;
}

bool ChunkStore::has(const std::string &hash) const
{
    const std::lock_guard lock(this->mutex);
    return this->chunks.contains(hash);
}

size_t ChunkStore::bytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->heldBytes;
}

} // namespace LibWeights
