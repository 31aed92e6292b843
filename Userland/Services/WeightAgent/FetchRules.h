#pragma once

#include <AK/Clock.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace WeightAgent
{

/// An agent that takes part in the distribution of weights.
struct SwarmMember {
    /// "IP:port" of its engine; every agent knows it by this name.
    std::string name;
    std::string region;

    bool operator==(const SwarmMember &) const = default;
};

/// Sources from which an agent may currently fetch a chunk; each value includes the sources before it.
enum class FetchScope { SameRegion, AnyRegion, Origin };

struct FetchRuleSettings {
    /// Each such period without a new chunk lets the agent replace one more agent of lower rank.
    AK::Milliseconds stallInterval = 700;
    /// Number of stall intervals after which an agent outside the origin's region reads from the origin itself.
    int originFallbackIntervals = 3;
    /// A fetch that takes longer lets the agent replace others even while single chunks arrive: agents may disagree about the ranks.
    AK::Milliseconds expectedFetchTime = 4'500;
    /// Each such period beyond expectedFetchTime counts like one stall interval.
    AK::Milliseconds overdueInterval = 300;
};

/// Input of the rule for one chunk.
struct FetchPosition {
    bool inOriginRegion = false;
    /// Rank among the agents of its region for this chunk; the agent of rank 0 fetches the chunk into the region.
    size_t regionRank = 0;
    /// Time since the agent received its last chunk.
    AK::Milliseconds stalledFor = 0;
    /// Time since the agent started to fetch the version.
    AK::Milliseconds fetchingFor = 0;
};

/// Lets each chunk be read from the origin once and enter each region once: the agent of rank 0 fetches it, and agents of higher ranks do so only when the
/// fetch has stalled or is overdue. Load pattern: all agents of all regions fetch the same version at the same moment.
FetchScope allowedScope(const FetchPosition &position, const FetchRuleSettings &settings);

/// Time in ms until a chunk is read from the origin again after `refused` reads, one after another, that did not match the manifest. It doubles with each, so
/// that a chunk that stays corrupt there costs few bytes. Load pattern: with time all agents replace those of lower rank and read the same corrupt chunk.
AK::Milliseconds refusedReadDelay(int refused);

/// Concurrency of reads from the origin.
struct OriginConcurrency {
    /// Agents of the origin's region among which the chunks are distributed.
    size_t readers = 0;
    /// Concurrent reads of each of them; two keep the origin's link busy between responses.
    size_t readsPerReader = 2;
};

/// Keeps the connections to the origin within `maxConnections` (0 for no limit), even while the origin still counts connections of agents that have lost
/// power. Load pattern: all hosts of a large site lose power while they fetch; with a connection from every agent the origin resets each new one, and no
/// agent gets the manifest.
OriginConcurrency originConcurrency(size_t agentsInOriginRegion, int maxConnections);

/// Whether an agent may read the manifest from the origin `elapsed` ms after it first looked for the version. Agents become eligible one after another by
/// rank, so that most get the manifest from other agents.
bool mayReadManifestFromOrigin(bool inOriginRegion, size_t rank, AK::Milliseconds elapsed);

/// Rank of `self` for a chunk among the members of its region. Members are ordered by the rendezvous hash of `key`, which names the version. The first
/// `readers` members rotate with the chunk index, so that each is first for an equal share of the chunks; the others keep their place behind them.
size_t regionRank(const std::string &self, const std::string &region, const std::vector<SwarmMember> &members, const std::string &key, size_t chunk,
                  size_t readers = SIZE_MAX);

/// A target version set by the operator and the state of its fetch.
struct VersionProgress {
    int64_t version = 0;
    /// Time until engines with older versions must not start any more calls.
    AK::Milliseconds timeLeft = 0;
    /// Share of its chunks that this agent holds, 0 to 1.
    double heldShare = 0;
};

struct DurationEstimates {
    /// Time to distribute all chunks of a version to all agents.
    AK::Milliseconds fetch = 4'000;
    /// Time to load an engine, including the drain of its calls.
    AK::Milliseconds load = 1'500;
};

/// The version to fetch next, 0 for none: the newest, unless it would miss the time limit of an older target that can still be met. Load pattern: the operator
/// sets a second version seconds after the first; abandoning the first leaves no engine that may serve calls once its time limit has passed.
/// `targets` holds the versions newer than the loaded one, oldest first.
int64_t chooseVersionToFetch(const std::vector<VersionProgress> &targets, const DurationEstimates &estimates);

/// Delay in ms between the completion of the chunks of a version and the load of the engine. The loads of a service are spread over the remaining time, so
/// that only a small part of its capacity is unavailable at a time. `rank` is the position among `count` agents, `timeLeft` the time until engines with the
/// old version must not start any more calls.
AK::Milliseconds loadDelay(size_t rank, size_t count, AK::Milliseconds timeLeft);

} // namespace WeightAgent
