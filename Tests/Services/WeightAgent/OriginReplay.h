#pragma once

#include <WeightAgent/OriginSchedule.h>

/// A fetch by all agents of the origin's region in simulated time.
namespace OriginReplayTest
{

enum class Rule { Unscheduled, Scheduled };

struct Replay {
    size_t hosts = 0;
    /// Time from the start of the fetch until the origin is away, and until it is back.
    AK::Milliseconds awayFrom = 0;
    AK::Milliseconds awayUntil = 0;
    /// Number of readers that hang from the start.
    size_t hungReaders = 0;
};

struct Outcome {
    /// Time at which each chunk was held by some agent, and at which the first agent held all; the end of the replay if never.
    AK::Milliseconds wholeCopyAt = 0;
    AK::Milliseconds firstAgentAt = 0;
    AK::Milliseconds lastAgentAt = 0;
    /// Bytes sent by the origin, in copies of the version.
    double copiesSent = 0;
    int readsTimedOut = 0;
};

Outcome replay(const Replay &plan, Rule rule);

inline const WeightAgent::OriginLink replayLink{9.9, 7.6, 32'768};
inline constexpr size_t replayChunks = 64;

} // namespace OriginReplayTest
