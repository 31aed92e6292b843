#pragma once

#include "Demand.h"

#include <AK/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibGateway/Placement.h>
#include <LibLog/Logger.h>
#include <map>

namespace Gateway
{

/// Where this entry stands and by what it chooses upstreams.
struct TableSettings {
    /// Name of this entry.
    std::string name;
    std::string region;
    LibGateway::PlacementSettings placement;
    /// ms after a new version became known at which the older one gets no more calls.
    AK::Milliseconds weightsSwitchDelay = 6'000;
};

/// What an entry knows of the upstreams beyond their records: their load, their owners and whether they may get a call.
class UpstreamTable
{
public:
    UpstreamTable(const AK::Clock &clock, const LibFleet::FleetState &fleet, TableSettings settings);

    void setWeightsSwitchDelay(AK::Milliseconds weightsSwitchDelay);

    /// Regions by failure domain.
    void setRegions(std::map<std::string, std::string> regionsByDomain);

    /// The entries that share the upstreams now, this one among them.
    void setEntries(std::vector<LibGateway::EntryLocation> entries);

    /// Whether an upstream may get a call, full or not.
    bool mayUse(const LibFleet::UpstreamRecord &record, const Demand &demand) const;

    LibGateway::UpstreamLoad &loadOf(const LibFleet::UpstreamRecord &record);

    /// What chooseUpstream() needs of an upstream.
    LibGateway::PlacementCandidate candidateOf(const LibFleet::UpstreamRecord &record);

    /// Whether this entry prefers an upstream, and owns it when it is an engine.
    bool isOwn(const LibFleet::UpstreamRecord &record);
    const std::string &ownerOf(const LibFleet::UpstreamRecord &record);

    /// Whether the cold rate allows another call now. `owned`: this entry alone places calls there.
    bool rateAllows(const LibFleet::UpstreamRecord &record, bool owned);

    /// Weights that a call to an upstream must name, 0 for any.
    int64_t versionToAsk(const LibFleet::UpstreamRecord &record) const;

    /// Time that an engine of a service needs to read a prompt, in ms; 0 when unknown.
    double promptMs(const std::string &service, int64_t promptTokens) const;

    /// Entries that the store names, at least 1.
    size_t registeredEntries() const;

    void countOutcome(const LibFleet::UpstreamRecord &upstream, bool failed);
    void countAnswer(const LibFleet::UpstreamRecord &upstream, int running, int waiting);
    void recordReport(const LibPeers::EngineReport &report);

    /// Calls that this entry has placed, those of other entries among them.
    int callsInFlight() const;

private:
    const LibFleet::ServiceSpec *serviceSpec(const std::string &service) const;
    int64_t requiredWeights(const std::string &service) const;
    int64_t heldWeights(const LibFleet::UpstreamRecord &record) const;
    std::string regionOf(const std::string &failureDomain) const;

    const AK::Clock &clock;
    const LibFleet::FleetState &fleet;
    TableSettings settings;
    std::map<std::string, std::string> regions;
    std::vector<LibGateway::EntryLocation> entries;
    /// Owners by id of the upstream, for the present entries.
    std::map<std::string, std::string> owners;
    /// By address, so that the report of an agent finds its upstream.
    std::map<std::string, LibGateway::UpstreamLoad> loads;
    LibLog::Logger logger{"dispatcher"};
};

} // namespace Gateway
