#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>
#include <LibWeights/ChunkStore.h>
#include <LibWeights/Manifest.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace LibWeights
{

/// Unpacks `count` bits; chunk i is bit i % 8 of byte i / 8. Bits beyond the end of `bitmap` are false.
std::vector<bool> unpackBitmap(std::string_view bitmap, size_t count);

/// Tracks which chunks of one version are held, which are in flight, and which peers offer them. Thread-safe.
class FetchProgress
{
public:
    /// Maximum number of chunks in flight: one from each neighbour. A source sends to four agents at a time, so four fetches would just fill the downlink while
    /// every source is busy, and leave part of it idle as soon as one source is slower.
    static constexpr size_t maxInFlight = 7;

    FetchProgress(Manifest manifest, std::string manifestText, const ChunkStore &store);

    const Manifest &manifest() const;
    /// Root of the manifest, computed once.
    const std::string &root() const;
    const std::string &manifestText() const;
    const std::vector<ChunkReference> &chunks() const;

    size_t heldCount() const;
    bool complete() const;
    std::vector<bool> held() const;
    /// Bitmap of held chunks as sent to peers, in the format of unpackBitmap().
    std::string bitmap() const;

    void setOffer(const std::string &peer, std::vector<bool> offered);
    void removeOffer(const std::string &peer);
    bool hasSource(uint32_t index) const;
    /// Whether a chunk is neither held nor in flight.
    bool isNeeded(uint32_t index) const;

    /// Reserves the rarest needed chunk that the peer offers; nothing when there is none or maxInFlight is reached.
    std::optional<uint32_t> reserveRarest(const std::string &peer, AK::Random &random);

    /// Reserves one chunk. False when it is held or in flight, or maxInFlight is reached.
    bool reserve(uint32_t index);

    /// Ends a reservation. `stored` tells that the chunk is now in the store; all chunks with the same hash then count as held.
    void release(uint32_t index, bool stored);

    /// Waits until a chunk has been offered or released, at most `timeout` ms.
    void waitForChange(AK::Milliseconds timeout);

private:
    Manifest parsedManifest;
    std::string rootHash;
    std::string text;
    std::vector<ChunkReference> chunkReferences;
    mutable std::mutex mutex;
    std::condition_variable changed;
    uint64_t changes = 0;
    std::vector<bool> needed;
    std::vector<bool> heldChunks;
    size_t heldChunkCount = 0;
    size_t inFlight = 0;
    std::vector<uint32_t> sourceCounts;
    std::map<std::string, std::vector<bool>> offers;
};

} // namespace LibWeights
