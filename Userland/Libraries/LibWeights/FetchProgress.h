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

/// Bit i of byte i/8 as a vector of `count` bits.
std::vector<bool> unpackBitmap(std::string_view bitmap, size_t count);

/// Which chunks of one version are held, on their way, and offered by whom. Thread-safe.
class FetchProgress
{
public:
    /// At most this many chunks are on their way at once: one from each neighbour. A source sends to four agents at a time, so four fetches would just fill
    /// the downlink while every source is busy and leave it idle as soon as one is slower.
    static constexpr size_t fetchLimit = 7;

    FetchProgress(Manifest manifest, std::string manifestText, const ChunkStore &store);

    const Manifest &manifest() const;
    /// Root of the manifest, calculated once.
    const std::string &root() const;
    const std::string &manifestText() const;
    const std::vector<ChunkReference> &chunks() const;

    size_t heldCount() const;
    bool complete() const;
    std::vector<bool> held() const;
    /// Bitmap of held chunks as it goes over the wire.
    std::string bitmap() const;

    void setOffer(const std::string &peer, std::vector<bool> offered);
    void removeOffer(const std::string &peer);
    bool hasSource(uint32_t index) const;
    bool isWanted(uint32_t index) const;

    /// Reserves the rarest wanted chunk that the peer offers; nothing when there is none or the fetch limit is reached.
    std::optional<uint32_t> takeRarest(const std::string &peer, AK::Random &random);

    /// Reserves one chunk. False when it is held or on its way, or the fetch limit is reached.
    bool take(uint32_t index);

    /// Ends a reservation. `arrived` tells that the store now holds the chunk; all chunks of the same hash are then held.
    void release(uint32_t index, bool arrived);

    /// Waits until something may have become possible, at most `timeout` ms.
    void waitForChange(AK::Milliseconds timeout);

private:
    Manifest description;
    std::string rootHash;
    std::string text;
    std::vector<ChunkReference> references;
    mutable std::mutex mutex;
    std::condition_variable changed;
    uint64_t changes = 0;
    std::vector<bool> wanted;
    std::vector<bool> heldChunks;
    size_t heldTotal = 0;
    size_t inFlight = 0;
    std::vector<uint32_t> holders;
    std::map<std::string, std::vector<bool>> offers;
};

} // namespace LibWeights
