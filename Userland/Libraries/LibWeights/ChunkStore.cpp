#include <LibWeights/ChunkStore.h>

#include <AK/Hash.h>
#include <AK/Text.h>

namespace LibWeights
{

ChunkStore::ChunkStore(size_t limitBytes)
    : limitBytes(limitBytes)
{
}

void ChunkStore::setWanted(std::set<std::string> hashes)
{
    const std::lock_guard lock(this->mutex);
    this->wanted = std::move(hashes);
}

bool ChunkStore::makeRoom(size_t needed)
{
    for (auto chunk = this->chunks.begin(); chunk != this->chunks.end() && this->heldBytes + needed > this->limitBytes;) {
        if (this->wanted.contains(chunk->first)) {
            ++chunk;
            continue;
        }
        this->heldBytes -= chunk->second->size();
        chunk = this->chunks.erase(chunk);
    }
    return this->heldBytes + needed <= this->limitBytes;
}

absl::Status ChunkStore::put(const std::string &hash, std::string data)
{
    // Hashing outside the lock lets uploads go on meanwhile.
    if (const std::string actual = AK::sha256Hex(data); actual != hash) {
        return absl::DataLossError(AK::concat("chunk of ", data.size(), " bytes has hash ", actual, ", the manifest says ", hash));
    }
    const std::lock_guard lock(this->mutex);
    if (this->chunks.contains(hash)) {
        return absl::OkStatus();
    }
    if (!this->makeRoom(data.size())) {
        return absl::ResourceExhaustedError(
            AK::concat("chunk of ", data.size(), " bytes does not fit the weight buffer of ", this->limitBytes, " bytes, ", this->heldBytes, " are held"));
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
