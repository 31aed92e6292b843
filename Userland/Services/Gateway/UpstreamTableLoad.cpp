#include "UpstreamTable.h"

#include <algorithm>

namespace Gateway
{

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
    candidate.slowdown = LibGateway::slowness(load, this->clock.now(), {});
    return candidate;
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
