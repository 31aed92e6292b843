#pragma once

#include "FetchRules.h"
#include <AK/Random.h>
#include <optional>

namespace WeightAgent
{

/// Rates on which the schedule of the reads from the origin is based.
struct OriginLink {
    /// Bandwidth of the origin's link in Mbit/s, 0 when the configuration does not name it.
    double originMbps = 0;
    /// Bandwidth of an agent's link in Mbit/s, 0 when unknown.
    double agentMbps = 0;
    uint32_t chunkBytes = 0;

    bool operator==(const OriginLink &) const = default;
};

/// Whether the reads from the origin follow a ReadPlan. Without known rates allowedScope() decides.
bool isScheduled(const OriginLink &link);

/// Time of one chunk on the origin's link in ms.
double chunkLinkTime(const OriginLink &link);

/// Concurrency that fills the origin's link with a reserve, and no more: the first chunks then leave the origin early, so that agents can send them on while it
/// sends the others. Load pattern: dozens of agents of the origin's region fetch at once; with reads of all of them no chunk is complete until nearly all are.
OriginConcurrency scheduledConcurrency(size_t agentsInOriginRegion, int maxConnections, const OriginLink &link);

/// Rank of an agent for a chunk. `position` is its place in the order of the `count` agents of the region. Chunks are dealt to `readers` lanes; each group of
/// as many agents rotates over them, so that the agents that replace a failed group also share its chunks.
size_t laneRank(size_t position, size_t count, size_t chunk, size_t readers);

/// When each chunk should have left the origin, as one agent sees it. Each reader takes the missing chunks of its lane in ascending order.
struct ReadPlan {
    /// Time at which the first planned chunk starts.
    AK::Milliseconds startAt = 0;
    /// Time of one chunk on the origin's link in ms.
    double chunkTime = 0;
    /// Position in the read order, by chunk.
    std::vector<size_t> positions;
    /// Chunks that this agent holds or knows to be offered by a peer.
    std::vector<bool> seen;
    /// Time of the last new chunk, by lane.
    std::vector<AK::Milliseconds> progressAt;
    /// Lanes that this agent has taken over.
    std::vector<bool> takenOver;
    /// Number of positions up to the last one that was seen since the start of the plan.
    size_t front = 0;
};

/// A plan that starts now, for the chunks that have not been seen yet.
ReadPlan startPlan(std::vector<bool> seen, double chunkTime, size_t lanes, AK::Milliseconds now);

/// Notes the chunks that were seen by now. When the latest of them in the read order comes later than planned, the origin's link is slower than configured or
/// shared, and the whole plan is moved: all chunks behind it are late for the same reason, and reading them twice would take yet longer. A lane in which
/// another agent delivers is given back.
void noteSeen(ReadPlan &plan, const std::vector<bool> &seen, AK::Milliseconds now);

/// Notes a chunk that this agent has read from the origin in place of another one; it goes on with the other chunks of the lane.
void noteTakenOver(ReadPlan &plan, uint32_t chunk, AK::Milliseconds now);

/// Time in ms since a chunk should have been seen, including a reserve; negative before that, and while its lane makes progress.
AK::Milliseconds overdueTime(const ReadPlan &plan, uint32_t chunk, AK::Milliseconds now);

/// Whether the lane of a chunk has been taken over by this agent.
bool isTakenOver(const ReadPlan &plan, uint32_t chunk);

/// Whether chunks are missing and none has been seen for so long that the origin may be away.
bool isStalled(const ReadPlan &plan, AK::Milliseconds now);

/// Input of the rule for one chunk.
struct ScheduledPosition {
    bool inOriginRegion = false;
    /// Rank among the agents of its region for this chunk.
    size_t regionRank = 0;
    /// See overdueTime().
    AK::Milliseconds overdue = -1;
    /// A known peer offers the chunk.
    bool offered = false;
    /// This agent has taken over the lane of the chunk.
    bool takenOver = false;
};

/// Lets the agent of rank 0 read a chunk, and those of higher ranks one after another once this chunk is overdue, whatever else has arrived. Load pattern: the
/// reader of a few chunks crashes or hangs while the others go on, so that the fetch as a whole does not stall.
FetchScope scheduledScope(const ScheduledPosition &position);

/// The chunk to read next: the first of `own`, or of the others the first that is overdue, else any. An agent that goes on with a lane reads in random order,
/// so that it seldom reads a chunk at the same time as another successor, or as a reader that is slow or has come back.
std::optional<uint32_t> chooseRead(const ReadPlan &plan, const std::vector<bool> &allowed, bool own, AK::Milliseconds now, AK::Random &random);

/// Time in ms between two connection attempts to an origin that is away. Two agents of a region find its return quickly, and the other readers before their
/// chunks are overdue; the others stand by in case these have failed. Load pattern: all agents of a site wait for the same origin.
AK::Milliseconds probeInterval(size_t rank, size_t readers);

} // namespace WeightAgent
