#include <LibFleet/FleetState.h>

#include <algorithm>

namespace LibFleet
{

namespace
{

// Targets can be named seconds apart, and each limits the use of older versions for some seconds.
constexpr size_t maxTargetsPerModel = 16;

void markReplaced(std::map<std::string, UpstreamRecord> &upstreams)
{
    std::map<std::string, int64_t> lastStart;
    for (const auto &[id, record] : upstreams) {
        int64_t &last = lastStart[record.address.text()];
        last = std::max(last, record.startTime);
    }
    for (auto &[id, record] : upstreams) {
        // Without a start time nothing shows which incarnation came later.
        record.replaced = record.startTime > 0 && record.startTime < lastStart[record.address.text()];
    }
}

} // namespace

FleetState::FleetState(const AK::Clock &clock)
    : clock(clock)
    , startedAt(clock.uninterruptedTime())
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
    markReplaced(upstreams);
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

const std::string &FleetState::storedCrashes() const
{
    return this->crashes;
}

void FleetState::setStoredCrashes(std::string text)
{
    if (text == this->crashes) {
        return;
    }
    this->crashes = std::move(text);
    this->notifyObservers();
}

void FleetState::setWeightsTargets(const std::map<std::string, int64_t> &versions, AK::Milliseconds initialAge, AK::Milliseconds unnoticed)
{
    bool added = false;
    const AK::Milliseconds sinceStart = this->clock.uninterruptedTime() - this->startedAt;
    const AK::Milliseconds age = this->targetsKnown ? std::min(unnoticed, initialAge) : initialAge + sinceStart;
    const bool ageAssumed = !this->targetsKnown || age > 0;
    const AK::Milliseconds learnedAt = this->clock.uninterruptedTime() - age;
    this->targetsKnown = true;
    for (const auto &[model, version] : versions) {
        if (version > this->weightsTarget(model).version) {
            this->addWeightsTarget(model, {version, learnedAt, ageAssumed});
            added = true;
        }
    }
    if (added) {
        this->notifyObservers();
    }
}

void FleetState::addWeightsTarget(const std::string &model, const WeightsTarget &target)
{
    std::vector<WeightsTarget> &known = this->targetsByModel[model];
    const auto next = std::find_if(known.begin(), known.end(), [&](const WeightsTarget &other) { return other.version > target.version; });
    const int64_t previous = next == known.begin() ? 0 : std::prev(next)->version;
    this->logger.info("weights_named",
                      {{"model", model},
                       {"version", target.version},
                       {"previous", previous},
                       {"superseded", next != known.end()},
                       {"age_ms", this->clock.uninterruptedTime() - target.learnedAt}});
    known.insert(next, target);
    known.erase(known.begin(), known.end() - static_cast<std::ptrdiff_t>(std::min(known.size(), maxTargetsPerModel)));
}

void FleetState::adoptWeightsTarget(const WeightsTargetAge &told)
{
    const WeightsTarget adopted{told.version, this->clock.uninterruptedTime() - told.age, told.assumed};
    std::vector<WeightsTarget> &known = this->targetsByModel[told.model];
    const auto target = std::find_if(known.begin(), known.end(), [&](const WeightsTarget &other) { return other.version == told.version; });
    if (target == known.end()) {
        this->addWeightsTarget(told.model, adopted);
        this->notifyObservers();
        return;
    }
    const bool moreCertain = target->ageAssumed && !told.assumed;
    const bool lessCertain = !target->ageAssumed && told.assumed;
    if (lessCertain || (!moreCertain && target->learnedAt <= adopted.learnedAt)) {
        return;
    }
    // Reports of one moment differ by the time that they take; only a process that learned late says so.
    constexpr AK::Milliseconds notableDifference = 500;
    if (moreCertain || target->learnedAt - adopted.learnedAt > notableDifference) {
        this->logger.info("weights_age_adopted",
                          {{"model", told.model},
                           {"version", told.version},
                           {"age_ms", told.age},
                           {"assumed", target->ageAssumed},
                           {"previous_age_ms", this->clock.uninterruptedTime() - target->learnedAt}});
    }
    *target = adopted;
}

void FleetState::adoptRecordedTargets(const std::map<std::string, int64_t> &versions, AK::Milliseconds initialAge)
{
    const AK::Milliseconds sinceStart = this->clock.uninterruptedTime() - this->startedAt;
    // A process that has run for a while hears of a naming soon, here or from the store.
    const AK::Milliseconds age = sinceStart <= initialAge ? initialAge + sinceStart : 0;
    for (const auto &[model, version] : versions) {
        if (version > this->weightsTarget(model).version) {
            this->adoptWeightsTarget({model, version, age, true});
        }
    }
}

std::map<std::string, int64_t> FleetState::newestWeightsTargets() const
{
    std::map<std::string, int64_t> newest;
    for (const auto &[model, targets] : this->targetsByModel) {
        if (!targets.empty()) {
            newest[model] = targets.back().version;
        }
    }
    return newest;
}

std::vector<WeightsTargetAge> FleetState::weightsTargetAges(AK::Milliseconds maxAge) const
{
    std::vector<WeightsTargetAge> ages;
    for (const auto &[model, targets] : this->targetsByModel) {
        for (auto target = targets.rbegin(); target != targets.rend(); ++target) {
            const AK::Milliseconds age = this->clock.uninterruptedTime() - target->learnedAt;
            ages.push_back({model, target->version, age, target->ageAssumed});
            if (age > maxAge) {
                break;
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
