#pragma once

#include <LibFleet/Configuration.h>
#include <LibLog/Logger.h>
#include <functional>
#include <set>

namespace LibFleet
{

enum class UpstreamState { Ready, Draining };

/// An upstream as it registered itself.
struct UpstreamRecord {
    std::string id;
    std::string service;
    AK::Endpoint address;
    std::string failureDomain;
    UpstreamState state = UpstreamState::Ready;
    int slots = 0;
    /// Monotonic time until which the upstream is cold.
    AK::Milliseconds coldUntil = 0;
    /// Wall time of its start in ms; tells two lives under one id apart. 0 when it does not say.
    int64_t startTime = 0;
    /// Complete weights that it holds, 0 for none.
    int64_t weightsVersion = 0;
    bool isEngine = false;
};

/// A process of the system that takes calls of clients.
struct EntryRecord {
    std::string name;
    AK::Endpoint rpcAddress;
    AK::Endpoint clientAddress;
    std::string region;
    std::string failureDomain;
};

/// The named weights of a model and when this process learned of them.
struct WeightsTarget {
    int64_t version = 0;
    AK::Milliseconds learnedAt = 0;
};

/// What this process believes of the deployment. Filled from the object feeds; read by the services.
class FleetState
{
public:
    explicit FleetState(const AK::Clock &clock);

    /// The configuration in force, or nullptr before the first one.
    std::shared_ptr<const Configuration> configuration() const;
    const RouteTable *routes() const;
    const std::map<std::string, UpstreamRecord> &upstreams() const;
    const std::map<std::string, EntryRecord> &entries() const;
    bool isEvacuated(const std::string &failureDomain) const;
    /// Whether it is known which weights are named; before, no named version means nothing.
    bool weightsTargetsKnown() const;
    /// The newest target of a model; version 0 when none is named.
    WeightsTarget weightsTarget(const std::string &model) const;
    /// The newest targets of a model, oldest first. Each bounds how long older versions may be used, also when a newer one has been named meanwhile.
    const std::vector<WeightsTarget> &weightsTargets(const std::string &model) const;

    /// Puts a configuration in force unless it is older than the one in force.
    void setConfiguration(Configuration configuration);
    void setUpstreams(std::map<std::string, UpstreamRecord> upstreams);
    void setEntries(std::map<std::string, EntryRecord> entries);
    void setEvacuations(std::set<std::string> failureDomains);
    /// `firstAge`: what is taken as the age of targets that were named before this process started.
    void setWeightsTargets(const std::map<std::string, int64_t> &versions, AK::Milliseconds firstAge);

    /// Calls `observer` after each change.
    void observe(std::function<void()> observer);

private:
    void changed();

    const AK::Clock &clock;
    std::shared_ptr<const Configuration> current;
    std::unique_ptr<RouteTable> table;
    std::map<std::string, UpstreamRecord> upstreamsById;
    std::map<std::string, EntryRecord> entriesByName;
    std::set<std::string> evacuated;
    std::map<std::string, std::vector<WeightsTarget>> targets;
    bool targetsKnown = false;
    std::vector<std::function<void()>> observers;
    LibLog::Logger logger{"fleet"};
};

} // namespace LibFleet
