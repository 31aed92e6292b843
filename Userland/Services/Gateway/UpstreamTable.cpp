#include "UpstreamTable.h"

#include <algorithm>

namespace Gateway
{

UpstreamTable::UpstreamTable(const AK::Clock &clock, const LibFleet::FleetState &fleet, TableSettings settings)
    : clock(clock)
    , fleet(fleet)
    , settings(std::move(settings))
{
}

void UpstreamTable::setWeightsSwitchDelay(AK::Milliseconds weightsSwitchDelay)
{
    this->settings.weightsSwitchDelay = weightsSwitchDelay;
}

void UpstreamTable::setRegions(std::map<std::string, std::string> regionsByDomain)
{
    this->regions = std::move(regionsByDomain);
}

void UpstreamTable::setEntries(std::vector<LibGateway::EntryLocation> entriesNow)
{
    if (this->entries != entriesNow) {
        this->owners.clear();
        this->entries = std::move(entriesNow);
    }
}

bool UpstreamTable::mayUse(const LibFleet::UpstreamRecord &record, const CallRequirements &requirements) const
{
    const AK::Milliseconds now = this->clock.now();
    if (record.service != requirements.service || record.state != LibFleet::UpstreamState::Ready || requirements.excluded.contains(record.id)
        || this->fleet.isEvacuated(record.failureDomain)) {
        return false;
    }
    const std::string region = this->regionOf(record.failureDomain);
    if (!allowsRegion(requirements.regions, region) || !allowsRegion(requirements.accountRegions, region)) {
        return false;
    }
    if (record.isEngine) {
        const int64_t held = this->heldWeightsVersion(record);
        if (held == 0 || held < this->requiredWeightsVersion(record.service)) {
            return false;
        }
    }
    const auto load = this->loads.find(record.address.text());
    if (load == this->loads.end() || load->second.instance != record.id) {
        return true;
    }
    const bool fresh = load->second.report && now - load->second.reportAt <= this->settings.placement.reportMaxAge;
    return now >= load->second.suspendedUntil && !(fresh && load->second.report->switching);
}

LibGateway::UpstreamLoad &UpstreamTable::loadOf(const LibFleet::UpstreamRecord &record)
{
    LibGateway::UpstreamLoad &load = this->loads[record.address.text()];
    if (load.instance != record.id) {
        load.instance = record.id;
        load.failureShare = 0;
        load.failuresInRow = 0;
        load.suspendedUntil = 0;
    }
    return load;
}

LibGateway::PlacementCandidate UpstreamTable::candidateOf(const LibFleet::UpstreamRecord &record)
{
    const LibGateway::UpstreamLoad &load = this->loadOf(record);
    LibGateway::PlacementCandidate candidate;
    candidate.load = LibGateway::estimatedLoad(load, this->clock.now(), this->settings.placement);
    candidate.limit = std::max(1, record.slots);
    candidate.prefillBacklogMs = this->prefillMs(record.service, load.pendingPromptTokens);
    candidate.preferred = this->isOwn(record);
    candidate.sameRegion = this->regionOf(record.failureDomain) == this->settings.region;
    candidate.failureShare = load.failureShare;
    candidate.slowdown = load.report ? load.report->slowdown : 1.0;
    return candidate;
}

bool UpstreamTable::isOwn(const LibFleet::UpstreamRecord &record)
{
    return this->ownerOf(record) == this->settings.name;
}

const std::string &UpstreamTable::ownerOf(const LibFleet::UpstreamRecord &record)
{
    const auto [owner, added] = this->owners.try_emplace(record.id);
    if (added) {
        owner->second = LibGateway::preferredEntry(record.id, record.failureDomain, this->entries);
    }
    return owner->second;
}

bool UpstreamTable::rateAllows(const LibFleet::UpstreamRecord &record, bool owned)
{
    const LibFleet::ServiceSpec *spec = this->serviceSpec(record.service);
    const double share = owned ? LibGateway::ownerShare(this->entries.size(), this->registeredEntries()) : 1.0 / static_cast<double>(this->registeredEntries());
    return LibGateway::rateAllows(this->loadOf(record), spec == nullptr ? 0 : spec->coldCallsPerSecond, share, this->clock.now(), this->settings.placement);
}

int64_t UpstreamTable::expectedWeightsVersion(const LibFleet::UpstreamRecord &record) const
{
    return record.isEngine && this->requiredWeightsVersion(record.service) > 0 ? this->heldWeightsVersion(record) : 0;
}

double UpstreamTable::prefillMs(const std::string &service, int64_t promptTokens) const
{
    constexpr double millisecondsPerSecond = 1'000;
    const LibFleet::ServiceSpec *spec = this->serviceSpec(service);
    const double tokensPerSecond = spec != nullptr && spec->engine ? spec->engine->prefillPerSecond : 0;
    return tokensPerSecond > 0 ? static_cast<double>(promptTokens) * millisecondsPerSecond / tokensPerSecond : 0;
}

size_t UpstreamTable::registeredEntries() const
{
    return std::max<size_t>(1, this->fleet.entries().size());
}

void UpstreamTable::recordOutcome(const LibFleet::UpstreamRecord &upstream, bool failed)
{
    LibGateway::UpstreamLoad &load = this->loadOf(upstream);
    const AK::Milliseconds before = load.suspendedUntil;
    LibGateway::recordOutcome(load, failed, this->clock.now(), this->settings.placement);
    if (load.suspendedUntil != before) {
        this->logger.info("upstream_suspended", {{"upstream", upstream.id}, {"failures_in_row", load.failuresInRow}, {"failure_share", load.failureShare}});
    }
}

void UpstreamTable::recordResponseLoad(const LibFleet::UpstreamRecord &upstream, int running, int waiting)
{
    LibGateway::UpstreamLoad &load = this->loadOf(upstream);
    load.loadInResponse = running + waiting;
    load.responseAt = this->clock.now();
    load.ownInFlightAtResponse = load.ownInFlight;
}

void UpstreamTable::recordReport(const LibPeers::EngineReport &report)
{
    LibGateway::UpstreamLoad &load = this->loads[report.upstream];
    load.report = report;
    load.reportAt = this->clock.now();
    load.ownInFlightAtReport = load.ownInFlight;
}

int UpstreamTable::callsInFlight() const
{
    int count = 0;
    for (const auto &[address, load] : this->loads) {
        count += load.ownInFlight;
    }
    return count;
}

const LibFleet::ServiceSpec *UpstreamTable::serviceSpec(const std::string &service) const
{
    const auto configuration = this->fleet.configuration();
    if (!configuration) {
        return nullptr;
    }
    const auto found = configuration->services.find(service);
    return found == configuration->services.end() ? nullptr : &found->second;
}

int64_t UpstreamTable::requiredWeightsVersion(const std::string &service) const
{
    const LibFleet::ServiceSpec *spec = this->serviceSpec(service);
    if (spec == nullptr || !spec->engine) {
        return 0;
    }
    return LibGateway::requiredWeightsVersion(this->fleet.weightsTargets(spec->engine->model), this->clock.now(), this->settings.weightsSwitchDelay);
}

int64_t UpstreamTable::heldWeightsVersion(const LibFleet::UpstreamRecord &record) const
{
    const auto load = this->loads.find(record.address.text());
    if (load == this->loads.end() || !load->second.report || this->clock.now() - load->second.reportAt > this->settings.placement.reportMaxAge) {
        return record.weightsVersion;
    }
    return load->second.report->weightsVersion;
}

std::string UpstreamTable::regionOf(const std::string &failureDomain) const
{
    const auto found = this->regions.find(failureDomain);
    return found == this->regions.end() ? "" : found->second;
}

} // namespace Gateway
