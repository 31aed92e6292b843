#pragma once

#include "Explain.h"

#include <AK/EnumNames.h>
#include <array>

namespace Catkinlink
{

/// Steps of a rollout of weights at one host, in their order.
enum class RolloutStep {
    /// The agent knows that the version was named.
    Known,
    /// It holds all chunks.
    Fetched,
    /// It has ordered its engine to load them.
    Ordered,
    /// The engine serves them.
    Loaded,
};

inline constexpr std::array rolloutStepNames{
    AK::EnumName{RolloutStep::Known, "known"},
    AK::EnumName{RolloutStep::Fetched, "fetched"},
    AK::EnumName{RolloutStep::Ordered, "ordered"},
    AK::EnumName{RolloutStep::Loaded, "loaded"},
};

/// When one agent reached each step, in ms after the first process learned of the version; nothing for a step that its log does not show.
struct HostTimeline {
    std::string process;
    std::array<std::optional<AK::Milliseconds>, rolloutStepNames.size()> reached;

    std::optional<AK::Milliseconds> at(RolloutStep step) const;
};

/// How one version of the weights reached the engines of the platform.
struct RolloutTimeline {
    int64_t version = 0;
    /// Wall time at which the first process learned of it, in ms since 1970.
    AK::Milliseconds namedAt = 0;
    /// By the time at which the engine served the version; hosts that never did come last.
    std::vector<HostTimeline> hosts;

    /// Time in ms at which a share of the hosts had reached a step: the first for 0, the last for 1. Nothing when not so many of them have.
    std::optional<AK::Milliseconds> whenReached(RolloutStep step, double share) const;
};

/// Reads the timeline of a version from the logs of entries and agents on the platform. A host that loads the version again, after a restart, counts once.
/// Errors: kDataLoss when no line names the version, or no agent has logged a step of it.
absl::StatusOr<RolloutTimeline> rolloutTimeline(int64_t version, std::vector<LogLine> lines);

} // namespace Catkinlink
