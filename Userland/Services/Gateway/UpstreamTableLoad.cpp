#include "UpstreamTable.h"

#include <algorithm>

namespace Gateway
{

namespace
{

// Counts over all upstreams are made again at this interval.
constexpr AK::Milliseconds countInterval = 100;

} // namespace

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
    candidate.slowdown = LibGateway::slowness(load, this->clock.now(), this->settings.estimate);
    candidate.weighsWork = record.isEngine && this->isEnabled(record.service);
    candidate.extraWork = load.ownExtraWork;
    if (this->isEstimated(record)) {
        const LibGateway::ServiceFlow &flow = this->sharedServices[record.service].flow;
        const double own = LibGateway::callsPerMs(flow, this->clock.now(), this->settings.estimate);
        LibGateway::estimateShared(candidate, load, flow, LibGateway::othersPerMs(own, this->entries.size(), this->upstreamsOf(record.service)),
                                   this->clock.now(), this->settings.placement, this->settings.estimate);
    }
    return candidate;
}

bool UpstreamTable::isEnabled(const std::string &service) const
{
    const auto shared = this->sharedServices.find(service);
    return shared != this->sharedServices.end() && LibGateway::isEnabled(shared->second.flow, this->clock.now(), this->settings.estimate);
}

bool UpstreamTable::isEstimated(const LibFleet::UpstreamRecord &record) const
{
    return !record.isEngine && !this->hasOwner(record) && this->isEnabled(record.service);
}

double UpstreamTable::expectedWork(const std::string &service, std::optional<int64_t> answerTokenHint)
{
    return LibGateway::expectedWork(this->sharedServices[service].flow, answerTokenHint);
}

size_t UpstreamTable::upstreamsOf(const std::string &service)
{
    SharedService &shared = this->sharedServices[service];
    if (shared.upstreams == 0 || this->clock.now() - shared.countedAt >= countInterval) {
        shared.countedAt = this->clock.now();
        shared.upstreams = static_cast<size_t>(std::count_if(this->fleet.upstreams().begin(), this->fleet.upstreams().end(), [&](const auto &upstream) {
            const LibFleet::UpstreamRecord &record = upstream.second;
            return record.service == service && record.state == LibFleet::UpstreamState::Ready && !this->fleet.isEvacuated(record.failureDomain);
        }));
    }
    return shared.upstreams;
}

LibGateway::PlacementCandidate UpstreamTable::remoteCandidateOf(const LibFleet::UpstreamRecord &record)
{
    LibGateway::PlacementCandidate candidate = this->candidateOf(record);
    // The owner decides by its own backlog and load, which it knows better.
    candidate.prefillBacklogMs = 0;
    candidate.preferred = true;
    const std::string &owner = this->ownerOf(record);
    if (const auto open = this->openSlotsByEntry.find(owner); open != this->openSlotsByEntry.end() && !this->hasFreshReport(record)) {
        candidate.load = candidate.limit - static_cast<double>(open->second) / static_cast<double>(std::max<size_t>(1, this->enginesOf(owner)));
    }
    return candidate;
}

void UpstreamTable::recordResponseLoad(const LibFleet::UpstreamRecord &upstream, int running, int waiting, std::optional<double> slowness)
{
    LibGateway::UpstreamLoad &load = this->loadOf(upstream);
    load.loadInResponse = running + waiting;
    load.responseAt = this->clock.now();
    load.ownInFlightAtResponse = load.ownInFlight;
    if (slowness) {
        load.slowness = {*slowness, load.responseAt};
        this->sharedServices[upstream.service].flow.slownessStatedAt = load.responseAt;
    }
}

void UpstreamTable::recordSend(const std::string &service)
{
    LibGateway::recordCall(this->sharedServices[service].flow, this->clock.now(), this->settings.estimate);
}

void UpstreamTable::recordServiceTime(const LibFleet::UpstreamRecord &upstream, AK::Milliseconds duration)
{
    LibGateway::recordServiceTime(this->sharedServices[upstream.service].flow, duration);
}

void UpstreamTable::exportLoad(LibMetrics::MetricRegistry &metrics) const
{
    struct Overview {
        double slowness = 0;
        AK::Milliseconds figureAge = 0;
    };
    std::map<std::string, Overview> services;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        const LibGateway::UpstreamLoad *load = this->knownLoad(record);
        if (load != nullptr && load->slowness && record.state == LibFleet::UpstreamState::Ready) {
            Overview &overview = services[record.service];
            overview.slowness = std::max(overview.slowness, LibGateway::slowness(*load, this->clock.now(), this->settings.estimate));
            overview.figureAge = std::max(overview.figureAge, this->clock.now() - load->responseAt);
        }
    }
    for (const auto &[service, shared] : this->sharedServices) {
        if (!shared.flow.slownessStatedAt) {
            continue;
        }
        metrics.set("catkinlink_load_estimated", {{"service", service}}, this->isEnabled(service) ? 1 : 0);
        metrics.set("catkinlink_upstream_slowness_max", {{"service", service}}, services[service].slowness);
        metrics.set("catkinlink_load_figure_age_max_ms", {{"service", service}}, static_cast<double>(services[service].figureAge));
    }
}

void UpstreamTable::recordReport(const LibPeers::EngineReport &report)
{
    LibGateway::UpstreamLoad &load = this->loads[report.upstream];
    load.report = report;
    load.reportAt = this->clock.now();
    load.ownInFlightAtReport = load.ownInFlight;
}

} // namespace Gateway
