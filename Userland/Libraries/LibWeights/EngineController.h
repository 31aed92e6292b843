#pragma once

#include <AK/Clock.h>
#include <LibConfiguration/ConfigurationView.h>
#include <LibEngine/Engine.h>
#include <LibEngine/EngineState.h>
#include <LibLog/Logger.h>
#include <LibMembership/MembershipView.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/ProcessSettings.h>
#include <functional>
#include <optional>
#include <string>

namespace LibWeights
{

enum class EngineAction {
    /// The engine serves the target root: confirm it.
    ConfirmTarget,
    /// The engine still serves the previous root and may continue to: confirm it.
    ConfirmPrevious,
    /// Neither of the two roots is served, and no load command may be sent yet.
    MarkUnverified,
    /// Drain the engine and load the target root.
    Switch,
};

/// Input of chooseEngineAction().
struct EngineActionInput {
    bool ready = false;
    bool loading = false;
    std::string root;
    std::string targetRoot;
    /// Empty when the configuration names no previous version.
    std::string previousRoot;
    /// All chunks of the target are held and verified.
    bool targetHeld = false;
    /// The rollout wave of this agent may load.
    bool waveDue = false;
};

/// Chooses the next action for the engine from its status and the configuration.
EngineAction chooseEngineAction(const EngineActionInput &input);

/// Makes the engine load the weights that the configuration in force names, and maintains EngineState. Sends one load command at a time. Not thread-safe: one
/// thread calls step().
class EngineController
{
public:
    /// `holdsAll` tells whether all chunks of a root are held.
    EngineController(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                     LibMembership::MembershipView &membership, LibEngine::EngineState &state, LibEngine::AdmissionGate &gate, LibEngine::Engine &engine,
                     LibMetrics::MetricRegistry &metrics, std::function<bool(const std::string &)> holdsAll);

    /// Polls the engine status once and acts on it. Blocks while the engine drains and loads; returns early when `stopped` becomes true.
    void step(const std::function<bool()> &stopped);

private:
    EngineActionInput actionInput(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service,
                                  const LibEngine::EngineStatus &status) const;
    bool isWaveDue(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service) const;
    void confirm(const LibEngine::EngineStatus &status, AK::Milliseconds readAt);
    void publishState(LibMembership::ServingState serving, const std::string &root, const std::string &target);
    void switchTo(const LibConfiguration::Configuration &configuration, const LibSettings::WeightsTarget &target, const LibEngine::EngineStatus &statusBefore,
                  const std::function<bool()> &stopped);
    bool drain(const LibSettings::WeightsTarget &target, const std::function<bool()> &stopped);
    bool isStillTarget(const LibSettings::WeightsTarget &target) const;

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibMembership::MembershipView &membership;
    LibEngine::EngineState &state;
    LibEngine::AdmissionGate &gate;
    LibEngine::Engine &engine;
    LibMetrics::MetricRegistry &metrics;
    std::function<bool(const std::string &)> holdsAll;
    LibLog::Logger logger{"engine-orders"};
    bool gateClosed = false;
    /// Counter part of the fencing token, and the configuration revision for which it counts.
    uint64_t commandCount = 0;
    uint64_t commandRevision = 0;
    AK::Milliseconds retryAt = 0;
};

} // namespace LibWeights
