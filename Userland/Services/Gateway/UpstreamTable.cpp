#include "UpstreamTable.h"

#include <algorithm>

namespace Gateway
{

namespace
{

// Counts over all upstreams are made again at this interval.
constexpr AK::Milliseconds countInterval = 100;
// News of rate limits are sent with every exchange for this long.
constexpr AK::Milliseconds rateLimitNewsTime = 2'000;

} // namespace

UpstreamTable::UpstreamTable(const AK::Clock &clock, const LibFleet::FleetState &fleet, TableSettings settings, bool ownersDecide)
    : clock(clock)
    , fleet(fleet)
    , settings(std::move(settings))
    , ownersDecide(ownersDecide)
    , upstreamNotices(clock, fleet)
{
}

void UpstreamTable::setWeightsTimes(AK::Milliseconds weightsSwitchDelay, AK::Milliseconds weightsBeginLimit)
{
    this->settings.weightsSwitchDelay = weightsSwitchDelay;
    this->settings.weightsBeginLimit = weightsBeginLimit;
}

void UpstreamTable::setRegions(std::map<std::string, std::string> regionsByDomain)
{
    this->regions = std::move(regionsByDomain);
}

void UpstreamTable::setEntries(std::vector<LibFleet::EntryLocation> entriesNow)
{
    if (this->entries != entriesNow) {
        this->owners.clear();
        this->entries = std::move(entriesNow);
    }
}

std::optional<LibGateway::Hindrance> UpstreamTable::hindranceTo(const LibFleet::UpstreamRecord &record, const CallRequirements &requirements, CallStage stage)
{
    LibGateway::UpstreamConditions conditions;
    conditions.sameService = record.service == requirements.service;
    if (!conditions.sameService) {
        return LibGateway::hindranceTo(conditions, this->clock.now());
    }
    conditions.draining = record.state != LibFleet::UpstreamState::Ready;
    conditions.leaving = this->upstreamNotices.isLeaving(record);
    conditions.evacuated = this->fleet.isEvacuated(record.failureDomain);
    conditions.regionAllowed = this->regionAllowed(record, requirements);
    conditions.replaced = record.replaced;
    conditions.excluded = requirements.excluded.contains(record.id);
    const LibGateway::UpstreamLoad *load = this->knownLoad(record);
    conditions.pausedUntil = this->upstreamNotices.pausedUntil(record);
    conditions.suspendedUntil =
        std::max(load == nullptr ? 0 : load->suspendedUntil, this->upstreamNotices.misdirectedUntil(record, this->heldWeightsVersion(record)));
    if (stage != CallStage::Send) {
        conditions.resuming = this->upstreamNotices.isResuming(record, load == nullptr ? 0 : load->ownInFlight);
        const bool freshReport = this->hasFreshReport(record);
        const bool ownerJudges = stage == CallStage::Request && !freshReport;
        conditions.weightsAllowed =
            !record.isEngine || this->allowsWeights(record.service, this->heldWeightsVersion(record)) || (ownerJudges && this->ownerMayHaveWeights(record));
        conditions.switching = !ownerJudges && load != nullptr && freshReport && load->report->switching;
    }
    std::optional<LibGateway::Hindrance> hindrance = LibGateway::hindranceTo(conditions, this->clock.now());
    if (!hindrance && stage == CallStage::Choice) {
        // Counts only for an upstream that may be used otherwise, because it takes over the record's instance.
        conditions.rateAllows = this->rateAllows(record);
        conditions.rateNamed = LibGateway::isRateLimited(this->loadOf(record));
        hindrance = LibGateway::hindranceTo(conditions, this->clock.now());
    }
    return hindrance;
}

std::optional<LibGateway::Hindrance> UpstreamTable::hindranceToSend(const LibFleet::UpstreamRecord &granted, const CallRequirements &requirements)
{
    const auto registered = this->fleet.upstreams().find(granted.id);
    if (registered == this->fleet.upstreams().end()) {
        return LibGateway::Hindrance{LibGateway::Obstacle::Unregistered, 0};
    }
    if (registered->second.startTime != granted.startTime || registered->second.address != granted.address) {
        return LibGateway::Hindrance{LibGateway::Obstacle::Replaced, 0};
    }
    return this->hindranceTo(registered->second, requirements, CallStage::Send);
}

bool UpstreamTable::regionAllowed(const LibFleet::UpstreamRecord &record, const CallRequirements &requirements) const
{
    if (requirements.regions.empty() && requirements.accountRegions.empty()) {
        return true;
    }
    const std::string region = this->regionOf(record.failureDomain);
    return allowsRegion(requirements.regions, region) && allowsRegion(requirements.accountRegions, region);
}

const LibGateway::UpstreamLoad *UpstreamTable::knownLoad(const LibFleet::UpstreamRecord &record) const
{
    const auto load = this->loads.find(record.address.text());
    return load == this->loads.end() || load->second.instance != record.id ? nullptr : &load->second;
}

bool UpstreamTable::hasFreshReport(const LibFleet::UpstreamRecord &record) const
{
    const auto load = this->loads.find(record.address.text());
    return load != this->loads.end() && load->second.report && this->clock.now() - load->second.reportAt <= this->settings.placement.reportMaxAge;
}

bool UpstreamTable::allowsWeights(const std::string &service, int64_t version) const
{
    return version != 0 && version >= this->requiredWeightsVersion(service);
}

bool UpstreamTable::ownerMayHaveWeights(const LibFleet::UpstreamRecord &record)
{
    // An engine that has loaded the required weights is registered with them up to two seconds later; its owner states open slots at once.
    const auto open = this->openSlotsByEntry.find(this->ownerOf(record));
    return open == this->openSlotsByEntry.end() || open->second > 0;
}

void UpstreamTable::setOpenSlots(std::map<std::string, int> openSlots)
{
    this->openSlotsByEntry = std::move(openSlots);
}

int UpstreamTable::openSlots()
{
    if (this->clock.now() - this->openSlotsCountedAt < countInterval) {
        return this->ownOpenSlots;
    }
    this->openSlotsCountedAt = this->clock.now();
    double open = 0;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        CallRequirements anyCall;
        anyCall.service = record.service;
        if (!this->hasOwner(record) || !this->isOwn(record)) {
            continue;
        }
        const std::optional<LibGateway::Hindrance> hindrance = this->hindranceTo(record, anyCall, CallStage::Choice);
        if (!hindrance || hindrance->obstacle == LibGateway::Obstacle::ColdRate) {
            const LibGateway::PlacementCandidate candidate = this->candidateOf(record);
            open += std::max(0.0, candidate.limit - candidate.load);
        }
    }
    this->ownOpenSlots = static_cast<int>(open);
    return this->ownOpenSlots;
}

LibGateway::UpstreamLoad &UpstreamTable::loadOf(const LibFleet::UpstreamRecord &record)
{
    LibGateway::UpstreamLoad &load = this->loads[record.address.text()];
    if (load.instance != record.id) {
        load.instance = record.id;
        load.failureShare = 0;
        load.failuresInRow = 0;
        load.suspendedUntil = 0;
        load.rateLimit.reset();
        load.slowness.reset();
    }
    return load;
}

size_t UpstreamTable::enginesOf(const std::string &owner)
{
    if (this->clock.now() - this->enginesCountedAt >= countInterval) {
        this->enginesCountedAt = this->clock.now();
        this->engineCounts.clear();
        for (const auto &[id, record] : this->fleet.upstreams()) {
            if (record.isEngine && record.state == LibFleet::UpstreamState::Ready && !this->fleet.isEvacuated(record.failureDomain)) {
                ++this->engineCounts[this->ownerOf(record)];
            }
        }
    }
    return this->engineCounts[owner];
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

bool UpstreamTable::hasOwner(const LibFleet::UpstreamRecord &record) const
{
    const LibGateway::UpstreamLoad *load = this->knownLoad(record);
    return this->ownersDecide && (record.isEngine || (load != nullptr && LibGateway::isRateLimited(*load)));
}

bool UpstreamTable::rateAllows(const LibFleet::UpstreamRecord &record)
{
    const double share =
        this->hasOwner(record) ? LibGateway::ownerShare(this->entries.size(), this->registeredEntries()) : 1.0 / static_cast<double>(this->registeredEntries());
    return LibGateway::rateAllows(this->loadOf(record), this->callsPerSecond(record), share, this->clock.now());
}

void UpstreamTable::takeRateToken(const LibFleet::UpstreamRecord &record)
{
    LibGateway::takeRateToken(this->loadOf(record), this->callsPerSecond(record));
}

double UpstreamTable::callsPerSecond(const LibFleet::UpstreamRecord &record)
{
    const LibFleet::ServiceSpec *spec = this->serviceSpec(record.service);
    return LibGateway::callsPerSecond(this->loadOf(record), spec == nullptr ? 0 : spec->coldCallsPerSecond, this->settings.placement);
}

int64_t UpstreamTable::expectedWeightsVersion(const LibFleet::UpstreamRecord &record, int64_t held) const
{
    return record.isEngine && this->requiredWeightsVersion(record.service) > 0 ? held : 0;
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

void UpstreamTable::suspend(const LibFleet::UpstreamRecord &upstream)
{
    LibGateway::UpstreamLoad &load = this->loadOf(upstream);
    if (LibGateway::suspend(load, this->clock.now(), this->settings.placement)) {
        this->logger.info("upstream_suspended", {{"upstream", upstream.id}, {"failures_in_row", load.failuresInRow}, {"failure_share", load.failureShare}});
    }
}

void UpstreamTable::recordRateLimit(const LibFleet::UpstreamRecord &upstream, std::optional<double> callsPerSecond, AK::Milliseconds sentAt)
{
    if (LibGateway::recordRateLimit(this->loadOf(upstream), callsPerSecond, sentAt, this->clock.now())) {
        this->logRateLimit(upstream.id, callsPerSecond, "response");
    }
}

UpstreamNotices &UpstreamTable::notices()
{
    return this->upstreamNotices;
}

void UpstreamTable::addRateLimits(LibPeers::NodeState &state) const
{
    const AK::Milliseconds now = this->clock.now();
    for (const auto &[address, load] : this->loads) {
        if (load.rateLimit && now - load.rateLimit->learnedAt <= rateLimitNewsTime) {
            state.rateLimits.push_back({load.instance, load.rateLimit->callsPerSecond, now - load.rateLimit->toldAt});
        }
    }
}

void UpstreamTable::adoptRateLimits(const LibPeers::NodeState &state)
{
    const AK::Milliseconds now = this->clock.now();
    for (const LibPeers::RateLimitReport &report : state.rateLimits) {
        const auto record = this->fleet.upstreams().find(report.upstream);
        if (record != this->fleet.upstreams().end() && LibGateway::adoptRateLimit(this->loadOf(record->second), report.callsPerSecond, now - report.age, now)) {
            this->logRateLimit(report.upstream, report.callsPerSecond, state.name);
        }
    }
}

void UpstreamTable::logRateLimit(const std::string &upstream, std::optional<double> callsPerSecond, std::string_view from) const
{
    this->logger.info("upstream_limited",
                      {{"upstream", upstream}, {"calls_per_second", callsPerSecond.value_or(0)}, {"ended", !callsPerSecond}, {"from", from}});
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
    return LibGateway::requiredWeightsVersion(this->weightsTargets(service), this->clock.uninterruptedTime(), this->settings.weightsSwitchDelay);
}

const std::vector<LibFleet::WeightsTarget> &UpstreamTable::weightsTargets(const std::string &service) const
{
    static const std::vector<LibFleet::WeightsTarget> none;
    const LibFleet::ServiceSpec *spec = this->serviceSpec(service);
    return spec == nullptr || !spec->engine ? none : this->fleet.weightsTargets(spec->engine->model);
}

AK::Milliseconds UpstreamTable::timeToBegin(const LibFleet::UpstreamRecord &record, int64_t granted) const
{
    static const std::vector<LibFleet::WeightsTarget> none;
    const int64_t held = this->heldWeightsVersion(record);
    // An engine without weights is loading, so a call that has not begun yet begins on the newer ones.
    const std::vector<LibFleet::WeightsTarget> &targets = record.isEngine && held != 0 ? this->weightsTargets(record.service) : none;
    return LibGateway::timeToBegin(targets, std::max(held, granted), this->clock.uninterruptedTime(), this->settings.weightsBeginLimit);
}

bool UpstreamTable::mayStillWait(const LibFleet::UpstreamRecord &record, AK::Milliseconds sentAt) const
{
    // What a report says was read up to this long before it arrives: an agent passes on a status that is up to 600 ms old, in an exchange that takes as long.
    constexpr AK::Milliseconds reportDelay = 1'200;
    const auto load = this->loads.find(record.address.text());
    if (load == this->loads.end() || !load->second.report) {
        return true;
    }
    return load->second.reportAt < sentAt + reportDelay || load->second.report->waiting > 0;
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
