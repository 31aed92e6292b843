#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace LibWeights
{

/// Number of agents of the origin's region that are designated to fetch chunks into it. If all agents were designated, each for a few chunks, their fetches
/// would share the origin's link and finish at the same time, and no peer could send anything before that. The links of 8 agents send each chunk on several
/// times while the origin, whose link has twice the bandwidth of a host's, sends it once.
inline constexpr size_t designatedInOriginRegion = 8;

/// The same for other regions. A fetch across the region link competes at its source with about seven peers, so that more concurrent fetches are needed.
inline constexpr size_t designatedInOtherRegions = 24;

/// The `designated` agents that are responsible for the chunks of a root, chosen by rendezvous hash. They come first in fetchOrder() of every key.
std::vector<std::string> designatedGroup(const std::string &root, const std::vector<std::string> &names, size_t designated);

/// Names in the order in which they are responsible for a key: first the designated group, then the others. The first is the designated fetcher.
std::vector<std::string> fetchOrder(const std::string &root, std::string_view key, const std::vector<std::string> &names, size_t designated);

/// Peers from which an agent fetches chunks: `count` by rendezvous hash and the agent's successor by name, which keeps the graph connected.
std::vector<std::string> chooseNeighbours(const std::string &self, const std::string &root, const std::vector<std::string> &names, size_t count);

/// The needed chunk with the fewest known sources among those that one source offers; ties are broken at random.
/// `needed[i]` is set when chunk i is missing and not in flight; `sourceCounts[i]` is the number of its known sources.
std::optional<uint32_t> chooseRarest(const std::vector<bool> &needed, const std::vector<bool> &offered, const std::vector<uint32_t> &sourceCounts,
                                     AK::Random &random);

/// State of an agent that comes earlier in the fetch order of a chunk.
struct PredecessorState {
    bool reachable = true;
    /// Time at which it was last seen to have received a chunk, or of the first poll.
    AK::Milliseconds lastProgressAt = 0;
};

/// Whether an agent may fetch a chunk in place of all earlier agents in the fetch order: each is unreachable or has been idle for `idleTimeout` ms. The timeout
/// covers the time to fetch one chunk from the origin. A designated fetcher that waits for a busy origin must not be replaced, or the bytes sent by the origin
/// grow with its load.
bool mayReplace(const std::vector<PredecessorState> &predecessors, AK::Milliseconds now, AK::Milliseconds idleTimeout);

/// Whether a source is so slow that it should be dropped: below a tenth of the expected rate.
bool isTooSlow(uint64_t bytes, AK::Milliseconds duration, double expectedBytesPerSecond);

/// Timeout in ms for a fetch of `bytes`: the bound of isTooSlow(), but at least `minimum`.
AK::Milliseconds fetchTimeout(uint64_t bytes, double expectedBytesPerSecond, AK::Milliseconds minimum);

} // namespace LibWeights
