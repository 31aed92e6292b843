#pragma once

#include <absl/status/status.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace LibWeights
{

/// Verified chunks by hash, shared between versions, within a declared buffer. Thread-safe.
class ChunkStore
{
public:
    explicit ChunkStore(size_t limitBytes);

    /// Chunks that must not give way to others. Those of older versions stay while there is room.
    void setWanted(std::set<std::string> hashes);

    /// Keeps a chunk if its SHA-256 is `hash`.
    /// Errors: kDataLoss when the hash differs, kResourceExhausted when the wanted chunks exceed the buffer.
    absl::Status put(const std::string &hash, std::string data);

    /// The chunk, or nullptr.
    std::shared_ptr<const std::string> get(const std::string &hash) const;
    bool has(const std::string &hash) const;
    size_t bytes() const;

private:
    bool makeRoom(size_t needed);

    size_t limitBytes;
    mutable std::mutex mutex;
    std::map<std::string, std::shared_ptr<const std::string>> chunks;
    std::set<std::string> wanted;
    size_t heldBytes = 0;
};

} // namespace LibWeights
