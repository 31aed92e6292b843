#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace LibWeights
{

/// Agents of a region that bring chunks into it. With all agents designated, each for few chunks, the fetches share the origin's link and end together, and
/// no peer has anything to send before that. The links of 8 agents carry each chunk several times while the origin, whose link is twice that of a host,
/// sends it once.
inline constexpr size_t designatedNearOrigin = 8;

/// The same in other regions. A fetch across the link competes at its source with about seven peers, so that it takes more of them at once.
inline constexpr size_t designatedElsewhere = 24;

/// The agents that come first in the order of every key of a root: `designated` by rendezvous hash.
std::vector<std::string> designatedGroup(const std::string &root, const std::vector<std::string> &names, size_t designated);

/// Names in the order in which they are responsible for a key: first the designated group, then the others. The first is the designated fetcher.
std::vector<std::string> fetchOrder(const std::string &root, std::string_view key, const std::vector<std::string> &names, size_t designated);

/// Peers that an agent asks for chunks: `count` by rendezvous hash and the next one by name, which keeps the graph connected.
std::vector<std::string> chooseNeighbours(const std::string &self, const std::string &root, const std::vector<std::string> &names, size_t count);

/// The missing chunk that a source offers and the fewest known sources hold; ties are broken at random.
/// `wanted[i]` is set when chunk i is missing and not on its way; `holders[i]` counts its known sources.
std::optional<uint32_t> chooseRarest(const std::vector<bool> &wanted, const std::vector<bool> &offered, const std::vector<uint32_t> &holders,
                                     AK::Random &random);

/// What is known of one earlier agent in the fetch order of a chunk.
struct PredecessorView {
    bool reachable = true;
    /// Time of its last known new chunk, or of the first look at it.
    AK::Milliseconds lastProgressAt = 0;
};

/// Whether an agent may fetch a chunk that all earlier agents in the order should have fetched. `patience` covers the time that one chunk takes at the
/// origin: a designated agent that waits for a busy origin must not be doubled, or the origin's bytes grow with the load.
bool mayReplace(const std::vector<PredecessorView> &predecessors, AK::Milliseconds now, AK::Milliseconds patience);

/// Whether a source is so slow that others should be asked: below a tenth of the expected rate.
bool isTooSlow(uint64_t bytes, AK::Milliseconds duration, double expectedBytesPerSecond);

/// Time after which a fetch of `bytes` is given up; the same bound as isTooSlow(), at least `minimum`.
AK::Milliseconds fetchTimeout(uint64_t bytes, double expectedBytesPerSecond, AK::Milliseconds minimum);

} // namespace LibWeights
