#pragma once

#include "CallRequirements.h"

#include <AK/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibGateway/Placement.h>
#include <LibLog/Logger.h>
#include <map>

namespace Gateway
{

/// Identity of this entry, and the parameters by which it chooses upstreams.
struct TableSettings {
    /// Name of this entry.
    std::string name;
    std::string region;
    LibGateway::PlacementSettings placement;
    /// Upstreams with an older version of the weights get no more calls this long after a new version became known, in ms.
    AK::Milliseconds weightsSwitchDelay = 6'000;
};

/// What an entry knows about the upstreams beyond their records: their load, their owners and whether they may get a call.
class UpstreamTable
{
public:
    UpstreamTable(const AK::Clock &clock, const LibFleet::FleetState &fleet, TableSettings settings);

    void setWeightsSwitchDelay(AK::Milliseconds weightsSwitchDelay);

    /// Sets the region of each failure domain.
    void setRegions(std::map<std::string, std::string> regionsByDomain);

    /// Sets the entries that share the upstreams, this one included.
    void setEntries(std::vector<LibGateway::EntryLocation> entries);

    /// Whether a call may be sent to an upstream, regardless of free slots.
    bool mayUse(const LibFleet::UpstreamRecord &record, const CallRequirements &requirements) const;

    LibGateway::UpstreamLoad &loadOf(const LibFleet::UpstreamRecord &record);

    /// The upstream as an input of chooseUpstream().
    LibGateway::PlacementCandidate candidateOf(const LibFleet::UpstreamRecord &record);

    /// Whether this entry prefers an upstream; the entry that prefers an engine owns it.
    bool isOwn(const LibFleet::UpstreamRecord &record);
    const std::string &ownerOf(const LibFleet::UpstreamRecord &record);

    /// Whether the cold rate allows another call now. `owned`: all calls to the upstream go through this entry; otherwise each entry gets an equal share of the
    /// rate.
    bool rateAllows(const LibFleet::UpstreamRecord &record, bool owned);

    /// Version of the weights that a call must require of an upstream, 0 for any.
    int64_t expectedWeightsVersion(const LibFleet::UpstreamRecord &record) const;

    /// Prefill time of a prompt at an engine of a service, in ms; 0 when unknown.
    double prefillMs(const std::string &service, int64_t promptTokens) const;

    /// Number of entries registered in the object store, at least 1.
    size_t registeredEntries() const;

    void recordOutcome(const LibFleet::UpstreamRecord &upstream, bool failed);
    void recordResponseLoad(const LibFleet::UpstreamRecord &upstream, int running, int waiting);
    void recordReport(const LibPeers::EngineReport &report);

    /// Calls in flight that this entry knows of: those of its own clients, and those of other entries at upstreams that it owns.
    int callsInFlight() const;

private:
    const LibFleet::ServiceSpec *serviceSpec(const std::string &service) const;
    int64_t requiredWeightsVersion(const std::string &service) const;
    int64_t heldWeightsVersion(const LibFleet::UpstreamRecord &record) const;
    std::string regionOf(const std::string &failureDomain) const;

    const AK::Clock &clock;
    const LibFleet::FleetState &fleet;
    TableSettings settings;
    std::map<std::string, std::string> regions;
    std::vector<LibGateway::EntryLocation> entries;
    /// Owners by upstream id; cleared when the entries change.
    std::map<std::string, std::string> owners;
    /// By address, because the report of an agent names its upstream by address.
    std::map<std::string, LibGateway::UpstreamLoad> loads;
    LibLog::Logger logger{"dispatcher"};
};

} // namespace Gateway
