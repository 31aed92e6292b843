#pragma once

#include <AK/Clock.h>
#include <cstdint>
#include <optional>

namespace WeightAgent
{

/// What the status calls show of the engine on this host.
struct EngineContact {
    /// Wall time of its start in ms, 0 when it does not report one.
    int64_t startTime = 0;
    /// Number of load commands that it has accepted since its start.
    int64_t commandSequence = 0;
    /// Time of the first answer after the last status call without one. Nothing while it does not answer.
    std::optional<AK::Milliseconds> answeringSince;
};

/// A call that changes the staging area or loads from it, and that ended without an answer. The engine may execute it later.
struct UnansweredCall {
    /// Version that it stages or loads; nothing when another process made it.
    std::optional<int64_t> version;
    AK::Milliseconds endedAt = 0;
    /// EngineContact::startTime when it ended.
    int64_t engineStart = 0;
    /// Sequence that a load command expects; the engine refuses the command once it has accepted another one. Nothing for other calls.
    std::optional<int64_t> expectedSequence;
};

/// Whether the engine may still execute a call. Load pattern: an engine that hangs, or that has just started and is slow, executes calls after their senders
/// have given up, and a new version is named meanwhile. Times in ms by the monotonic clock.
bool mayStillRun(const UnansweredCall &call, const EngineContact &contact, AK::Milliseconds now);

} // namespace WeightAgent
