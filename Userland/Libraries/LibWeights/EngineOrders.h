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

enum class OrderAction {
    /// The engine reports the wanted root: confirm it.
    ConfirmTarget,
    /// The engine still serves the previous root and may go on with it.
    ConfirmPrevious,
    /// Nothing that may answer is loaded and no order may be given yet.
    MarkUnverified,
    /// Drain and load the wanted root.
    Switch,
};

/// What the next step depends on.
struct OrderInput {
    bool ready = false;
    bool loading = false;
    std::string root;
    std::string targetRoot;
    /// Empty when the configuration names none.
    std::string previousRoot;
    /// All chunks of the target are held and verified.
    bool held = false;
    /// The wave of this agent is due.
    bool due = false;
};

OrderAction chooseOrder(const OrderInput &input);

/// Gives orders to the engine, one at a time and from one thread, and keeps EngineState. Orders follow from the configuration in force alone.
class EngineOrders
{
public:
    /// `holdsAll` tells whether all chunks of a root are held.
    EngineOrders(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                 LibMembership::MembershipView &membership, LibEngine::EngineState &state, LibEngine::AdmissionGate &gate, LibEngine::Engine &engine,
                 LibMetrics::MetricRegistry &metrics, std::function<bool(const std::string &)> holdsAll);

    /// One status poll and what follows from it. Blocks while the engine drains and loads. `stopped` ends a wait early.
    void step(const std::function<bool()> &stopped);

private:
    OrderInput describe(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service,
                        const LibEngine::EngineStatus &status) const;
    bool waveDue(const LibConfiguration::Configuration &configuration, const LibSettings::ServiceSpec &service) const;
    void confirm(const LibEngine::EngineStatus &status, AK::Milliseconds readAt);
    void publish(LibMembership::ServingState serving, const std::string &root, const std::string &target);
    void switchTo(const LibConfiguration::Configuration &configuration, const LibSettings::WeightsTarget &target, const LibEngine::EngineStatus &before,
                  const std::function<bool()> &stopped);
    bool drain(const LibSettings::WeightsTarget &target, const std::function<bool()> &stopped);
    bool stillWanted(const LibSettings::WeightsTarget &target) const;

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
    /// Counter of the fencing token and the revision in which it counts.
    uint64_t orders = 0;
    uint64_t orderRevision = 0;
    AK::Milliseconds retryAt = 0;
};

} // namespace LibWeights
