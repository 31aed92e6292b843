#include <LibFleet/FleetState.h>

#include <algorithm>

namespace LibFleet
{

namespace
{

// Targets can be named seconds apart, and each limits the use of older versions for some seconds.
constexpr size_t maxTargetsPerModel = 16;

} // namespace

FleetState::FleetState(const AK::Clock &clock)
    : clock(clock)
{
}

std::shared_ptr<const Configuration> FleetState::configuration() const
{
    return this->current;
}

const RouteTable *FleetState::routes() const
{
    return this->table.get();
}

const std::map<std::string, UpstreamRecord> &FleetState::upstreams() const
{
    return this->upstreamsById;
}

const std::map<std::string, EntryRecord> &FleetState::entries() const
{
    return this->entriesByName;
}

bool FleetState::isEvacuated(const std::string &failureDomain) const
{
    return this->evacuated.contains(failureDomain);
}

const std::set<std::string> &FleetState::quarantinedParts() const
{
    return this->quarantined;
}

bool FleetState::weightsTargetsKnown() const
{
    return this->targetsKnown;
}

WeightsTarget FleetState::weightsTarget(const std::string &model) const
{
    const std::vector<WeightsTarget> &all = this->weightsTargets(model);
    return all.empty() ? WeightsTarget{} : all.back();
}

const std::vector<WeightsTarget> &FleetState::weightsTargets(const std::string &model) const
{
    static const std::vector<WeightsTarget> none;
    const auto found = this->targetsByModel.find(model);
    return found == this->targetsByModel.end() ? none : found->second;
}

void FleetState::setConfiguration(Configuration configuration)
{
    if (this->current && configuration.version <= this->current->version) {
        return;
    }
    this->logger.info("configuration_in_force",
                      {{"version", configuration.version},
                       {"previous", this->current ? this->current->version : 0},
                       {"routes", configuration.routes.size()},
                       {"keys", configuration.accountsByKey.size()}});
    this->current = std::make_shared<const Configuration>(std::move(configuration));
    this->table = std::make_unique<RouteTable>(*this->current);
    this->notifyObservers();
}

void FleetState::setUpstreams(std::map<std::string, UpstreamRecord> upstreams)
{
    for (const auto &[id, record] : upstreams) {
        const auto known = this->upstreamsById.find(id);
        if (known == this->upstreamsById.end()) {
            this->logger.info("upstream_added",
                              {{"upstream", id}, {"service", record.service}, {"address", record.address.text()}, {"version", record.weightsVersion}});
        } else if (known->second.state != record.state || known->second.startTime != record.startTime
                   || known->second.weightsVersion != record.weightsVersion) {
            this->logger.info(
                "upstream_changed",
                {{"upstream", id}, {"draining", record.state == UpstreamState::Draining}, {"born", record.startTime}, {"version", record.weightsVersion}});
        }
    }
    for (const auto &[id, record] : this->upstreamsById) {
        if (!upstreams.contains(id)) {
            this->logger.info("upstream_removed", {{"upstream", id}, {"service", record.service}});
        }
    }
    this->upstreamsById = std::move(upstreams);
    this->notifyObservers();
}

void FleetState::setEntries(std::map<std::string, EntryRecord> entries)
{
    this->entriesByName = std::move(entries);
    this->logger.info("entries_known", {{"count", this->entriesByName.size()}});
    this->notifyObservers();
}

void FleetState::setEvacuations(std::set<std::string> failureDomains)
{
    if (failureDomains == this->evacuated) {
        return;
    }
    this->evacuated = std::move(failureDomains);
    this->logger.info("evacuations", {{"failure_domains", this->evacuated}});
    this->notifyObservers();
}

void FleetState::setQuarantinedParts(std::set<std::string> parts)
{
    if (parts == this->quarantined) {
        return;
    }
    this->quarantined = std::move(parts);
    this->logger.info("quarantined_parts", {{"parts", this->quarantined}});
    this->notifyObservers();
}

void FleetState::setWeightsTargets(const std::map<std::string, int64_t> &versions, AK::Milliseconds initialAge)
{
    bool added = false;
    const bool ageAssumed = !this->targetsKnown;
    const AK::Milliseconds learnedAt = this->clock.uninterruptedTime() - (ageAssumed ? initialAge : 0);
    this->targetsKnown = true;
    for (const auto &[model, version] : versions) {
        std::vector<WeightsTarget> &known = this->targetsByModel[model];
        const int64_t previous = known.empty() ? 0 : known.back().version;
        if (version > previous) {
            this->logger.info("weights_named", {{"model", model}, {"version", version}, {"previous", previous}});
            known.push_back({version, learnedAt, ageAssumed});
            known.erase(known.begin(), known.end() - static_cast<std::ptrdiff_t>(std::min(known.size(), maxTargetsPerModel)));
            added = true;
        }
    }
    if (added) {
        this->notifyObservers();
    }
}

void FleetState::adoptWeightsTargetAge(const WeightsTargetAge &told)
{
    const auto known = this->targetsByModel.find(told.model);
    if (known == this->targetsByModel.end()) {
        return;
    }
    for (WeightsTarget &target : known->second) {
        const AK::Milliseconds learnedAt = this->clock.uninterruptedTime() - told.age;
        if (target.version != told.version || (!target.ageAssumed && target.learnedAt <= learnedAt)) {
            continue;
        }
        // Reports of one moment differ by the time that they take; only a process that learned late says so.
        constexpr AK::Milliseconds notableDifference = 500;
        if (target.ageAssumed || target.learnedAt - learnedAt > notableDifference) {
            this->logger.info("weights_age_adopted",
                              {{"model", told.model},
                               {"version", told.version},
                               {"age_ms", told.age},
                               {"assumed", target.ageAssumed},
                               {"previous_age_ms", this->clock.uninterruptedTime() - target.learnedAt}});
        }
        target.learnedAt = learnedAt;
        target.ageAssumed = false;
    }
}

std::vector<WeightsTargetAge> FleetState::weightsTargetAges(AK::Milliseconds maxAge) const
{
    std::vector<WeightsTargetAge> ages;
    for (const auto &[model, targets] : this->targetsByModel) {
        for (const WeightsTarget &target : targets) {
            const AK::Milliseconds age = this->clock.uninterruptedTime() - target.learnedAt;
            if (!target.ageAssumed && age <= maxAge) {
                ages.push_back({model, target.version, age});
            }
        }
    }
    return ages;
}

void FleetState::observe(std::function<void()> observer)
{
    this->observers.push_back(std::move(observer));
}

void FleetState::notifyObservers()
{
    for (const auto &observer : this->observers) {
        observer();
    }
}

} // namespace LibFleet
