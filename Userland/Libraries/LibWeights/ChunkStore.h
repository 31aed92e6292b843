#pragma once

#include <absl/status/status.h>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace LibWeights
{

/// Verified chunks by hash, shared between versions, in at most `maxBytes` of memory. Thread-safe.
class ChunkStore
{
public:
    explicit ChunkStore(size_t maxBytes);

    /// Sets the chunks that must not be evicted. Other chunks, such as those of older versions, stay until their memory is needed.
    void setPinned(std::set<std::string> hashes);

    /// Stores a chunk if its SHA-256 is `hash`.
    /// Errors: kDataLoss when the hash differs, kResourceExhausted when the pinned chunks leave no room for it.
    absl::Status put(const std::string &hash, std::string data);

    /// The chunk, or nullptr.
    std::shared_ptr<const std::string> get(const std::string &hash) const;
    bool has(const std::string &hash) const;
    size_t bytes() const;

private:
    bool makeRoom(size_t requiredBytes);

    size_t maxBytes;
    mutable std::mutex mutex;
    std::map<std::string, std::shared_ptr<const std::string>> chunks;
    std::set<std::string> pinned;
    size_t heldBytes = 0;
};

} // namespace LibWeights
