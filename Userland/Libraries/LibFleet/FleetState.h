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
    /// Monotonic time at which the cold start ends.
    AK::Milliseconds coldUntil = 0;
    /// Wall time of its start in ms; distinguishes restarts under the same id. 0 when the upstream does not report it.
    int64_t startTime = 0;
    /// Version of the weights that it holds completely, 0 for none.
    int64_t weightsVersion = 0;
    bool isEngine = false;
    /// A later incarnation is registered at the same address, so that this one is gone although its lease lasts. Set by FleetState.
    bool replaced = false;
};

/// An entry: a process of the system that accepts calls of clients.
struct EntryRecord {
    std::string name;
    AK::Endpoint rpcAddress;
    AK::Endpoint clientAddress;
    std::string region;
    std::string failureDomain;
    /// Newest target version that it knew by model, when it wrote the record.
    std::map<std::string, int64_t> weightsTargets;
};

/// A version of a model's weights that the operator named as the target, and when this process or another one first learned of it.
struct WeightsTarget {
    int64_t version = 0;
    /// Time by AK::Clock::uninterruptedTime().
    AK::Milliseconds learnedAt = 0;
    /// The version was named before this process started or while it heard nothing of the store, and no other one has told how long ago.
    bool ageAssumed = false;
};

/// What a process tells others of a target.
struct WeightsTargetAge {
    std::string model;
    int64_t version = 0;
    /// Time in ms since a process first learned of it.
    AK::Milliseconds age = 0;
    /// See WeightsTarget::ageAssumed.
    bool assumed = false;
};

/// Name of the object among the quarantined parts that holds crashes. Names of parts are hexadecimal, so none has it.
inline constexpr const char *storedCrashesName = "crashes";

/// The state of the deployment as this process knows it. Updated from the object feeds; read by the services.
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
    /// Parts of prompts that crash upstreams; calls with one of them are rejected.
    const std::set<std::string> &quarantinedParts() const;
    /// Crashes that may still show such a part, as an entry wrote them; empty when there are none.
    const std::string &storedCrashes() const;
    /// Whether the targets have been read. Until then a model without a target may still have one.
    bool weightsTargetsKnown() const;
    /// The newest target of a model; version 0 when it has none.
    WeightsTarget weightsTarget(const std::string &model) const;
    /// The newest targets of a model, oldest first. Each limits how long older versions may be used, also after a newer target has been named.
    const std::vector<WeightsTarget> &weightsTargets(const std::string &model) const;

    /// Puts a configuration in force unless it is older than the one in force.
    void setConfiguration(Configuration configuration);
    void setUpstreams(std::map<std::string, UpstreamRecord> upstreams);
    void setEntries(std::map<std::string, EntryRecord> entries);
    void setEvacuations(std::set<std::string> failureDomains);
    void setQuarantinedParts(std::set<std::string> parts);
    void setStoredCrashes(std::string text);
    /// Adds targets that are newer than the known ones. `initialAge` is the assumed age at the start of this process, in ms, of targets that it finds first.
    /// `unnoticed`: time in ms for which a naming may have gone unnoticed; it is taken for the age of the new targets, up to `initialAge`.
    void setWeightsTargets(const std::map<std::string, int64_t> &versions, AK::Milliseconds initialAge, AK::Milliseconds unnoticed = 0);

    /// Takes over targets that an entry has recorded in the store. The operator's own object may name an older version after a late write, and only these
    /// records outlive a loss of power of all hosts. `initialAge`: see setWeightsTargets().
    void adoptRecordedTargets(const std::map<std::string, int64_t> &versions, AK::Milliseconds initialAge);

    /// Takes over what another process knows of a target. The first to learn of it is closest to the operator; a process that stood still, was cut off or has
    /// been restarted learns late, and never of a target that a newer one had replaced by then, because the store lists the newest alone.
    void adoptWeightsTarget(const WeightsTargetAge &told);

    /// The newest target version of each model.
    std::map<std::string, int64_t> newestWeightsTargets() const;

    /// The targets of all models that became known within `maxAge` ms, and of each model the newest one before those: a process that starts must not take the
    /// weights before it for usable.
    std::vector<WeightsTargetAge> weightsTargetAges(AK::Milliseconds maxAge) const;

    /// Registers a function that is called after each change.
    void observe(std::function<void()> observer);

private:
    void addWeightsTarget(const std::string &model, const WeightsTarget &target);
    void notifyObservers();

    const AK::Clock &clock;
    AK::Milliseconds startedAt;
    std::shared_ptr<const Configuration> current;
    std::unique_ptr<RouteTable> table;
    std::map<std::string, UpstreamRecord> upstreamsById;
    std::map<std::string, EntryRecord> entriesByName;
    std::set<std::string> evacuated;
    std::set<std::string> quarantined;
    std::string crashes;
    std::map<std::string, std::vector<WeightsTarget>> targetsByModel;
    bool targetsKnown = false;
    std::vector<std::function<void()>> observers;
    LibLog::Logger logger{"fleet"};
};

} // namespace LibFleet
