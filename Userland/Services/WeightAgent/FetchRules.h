#pragma once

#include <AK/Clock.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace WeightAgent
{

/// An agent as a source of chunks.
struct SwarmMember {
    /// "IP:port" of its engine; the same at every agent.
    std::string name;
    std::string region;

    bool operator==(const SwarmMember &) const = default;
};

/// From where an agent may take a chunk now.
enum class FetchScope { SameRegion, AnyRegion, Origin };

struct FetchRuleSettings {
    /// Each such time without a new chunk lets the agent act for one more of those before it in the order.
    AK::Milliseconds patience = 700;
    /// Times of patience after which an agent outside the origin's region reads from the origin itself.
    int originPatience = 3;
    /// A fetch that lasts longer lets the agent act for others also while single chunks arrive: agents may disagree about who brings which.
    AK::Milliseconds usualFetch = 4'500;
    AK::Milliseconds latePatience = 300;
};

/// What the rule for one chunk depends on.
struct FetchPosition {
    bool nearOrigin = false;
    /// Rank in the order of the agents of its own region for this chunk; the first brings the chunk into the region.
    size_t regionRank = 0;
    /// Time since the agent got its last chunk.
    AK::Milliseconds stalledFor = 0;
    /// Time since the agent began to fetch the version.
    AK::Milliseconds fetchingFor = 0;
};

/// Each chunk crosses from the origin and into each region once: by the first agent in the order of the region, and by the next ones only when nothing has
/// moved for a while. Load pattern: all agents of all regions want the same version at the same moment.
FetchScope allowedScope(const FetchPosition &position, const FetchRuleSettings &settings);

/// Who reads from the origin at a time.
struct OriginUse {
    /// Agents of the origin's region that take turns in bringing chunks.
    size_t readers = 0;
    /// Reads that each of them has under way; two keep the origin's link busy between answers.
    size_t readsEach = 2;
};

/// Keeps the connections to the origin within its limit (0 for none), also while those of agents that have lost power still count there. Load pattern: all
/// hosts of a large site lose power while they fetch; with a connection from every agent the origin resets each new one, and no agent gets the manifest.
OriginUse originUse(size_t agentsNearOrigin, int maxConnections);

/// Whether an agent reads the manifest from the origin `waited` ms after it began to look for the version: one agent after another, as others get it from
/// these.
bool readsManifest(bool nearOrigin, size_t rank, AK::Milliseconds waited);

/// Rank of `self` in the order of a chunk among the members of its region. The first `readers` members take turns chunk by chunk, so that each brings as many
/// as the others; the rest follow. `key` names the version; it decides who begins.
size_t regionRank(const std::string &self, const std::string &region, const std::vector<SwarmMember> &members, const std::string &key, size_t chunk,
                  size_t readers = SIZE_MAX);

/// A version that the operator has named, as far as this agent has it.
struct VersionProgress {
    int64_t version = 0;
    /// Time until older versions must not begin any more work.
    AK::Milliseconds timeLeft = 0;
    /// Share of its chunks that are here.
    double held = 0;
};

struct BringTimes {
    /// All chunks of a version, from its naming to the last agent.
    AK::Milliseconds fetch = 4'000;
    /// Load of an engine, with the calls that it lets end.
    AK::Milliseconds load = 1'500;
};

/// The version to bring next, 0 for none: the newest, unless it would come too late for the time of an older one that can still make it. Load pattern: a
/// version is named seconds after another; dropping the first for the second leaves no engine that may work when the time of the first is over.
/// `named` holds the versions newer than that of the engine, oldest first.
int64_t versionToBring(const std::vector<VersionProgress> &named, const BringTimes &times);

/// When an engine may begin to load a version, as a delay after its chunks are complete: the loads of a service are spread over the time that is left, so
/// that capacity leaves in small parts. `rank` of `count` agents; `timeLeft` until the old version must not begin any more work.
AK::Milliseconds loadDelay(size_t rank, size_t count, AK::Milliseconds timeLeft);

} // namespace WeightAgent
