#pragma once

#include "CallRequirements.h"
#include "UpstreamNotices.h"

#include <AK/Clock.h>
#include <LibFleet/FleetState.h>
#include <LibGateway/Availability.h>
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
    LibGateway::LoadEstimateSettings estimate;
    /// Upstreams with an older version of the weights get no more calls this long after a new version became known, in ms.
    AK::Milliseconds weightsSwitchDelay = 6'000;
    /// Calls that have not begun at such an upstream are withdrawn this long after a new version became known, in ms.
    AK::Milliseconds weightsBeginLimit = 7'000;
};

/// Who decides at which point of a call whether an upstream may get it.
enum class CallStage {
    /// This entry chooses the upstream.
    Choice,
    /// The owner of the upstream is asked for a slot. It judges rates, and weights that only a report of the engine shows.
    Request,
    /// The slot is held and the request is about to be written. Rates and weights were settled with the slot.
    Send,
};

/// What an entry knows about the upstreams beyond their records: their load, their owners and whether they may get a call.
class UpstreamTable
{
public:
    /// `ownersDecide`: other entries can be asked for slots at the upstreams that they own.
    UpstreamTable(const AK::Clock &clock, const LibFleet::FleetState &fleet, TableSettings settings, bool ownersDecide);

    /// See TableSettings.
    void setWeightsTimes(AK::Milliseconds weightsSwitchDelay, AK::Milliseconds weightsBeginLimit);

    /// Sets the region of each failure domain.
    void setRegions(std::map<std::string, std::string> regionsByDomain);

    /// Sets the entries that share the upstreams, this one included.
    void setEntries(std::vector<LibFleet::EntryLocation> entries);

    /// What keeps a call from an upstream, apart from the number of calls there; nothing when the upstream may get the call now. Every way on which a call
    /// reaches an upstream asks this.
    std::optional<LibGateway::Hindrance> hindranceTo(const LibFleet::UpstreamRecord &record, const CallRequirements &requirements, CallStage stage);

    /// The same right before the request is written, for the record that was granted. `granted` may differ from what is registered by now.
    std::optional<LibGateway::Hindrance> hindranceToSend(const LibFleet::UpstreamRecord &granted, const CallRequirements &requirements);

    /// Time in ms from now within which a call must begin at an engine that held the version `granted` when it got the call; see LibGateway::timeToBegin().
    AK::Milliseconds timeToBegin(const LibFleet::UpstreamRecord &record, int64_t granted) const;

    /// Whether a call that was sent at `sentAt` (monotonic ms) may still wait at its engine: no report that has arrived since shows that nothing waits there.
    bool mayStillWait(const LibFleet::UpstreamRecord &record, AK::Milliseconds sentAt) const;

    /// Whether calls may use a version of the weights of a service.
    bool allowsWeights(const std::string &service, int64_t version) const;

    /// Sets the open slots that each other entry states for the engines that it owns, by its name.
    void setOpenSlots(std::map<std::string, int> openSlotsByEntry);

    /// Number of calls that the engines which this entry owns could take now.
    int openSlots();

    /// Counts a call that was granted to an upstream against its rate, if one is in force.
    void takeRateToken(const LibFleet::UpstreamRecord &record);

    LibGateway::UpstreamLoad &loadOf(const LibFleet::UpstreamRecord &record);

    /// The upstream as an input of chooseUpstream().
    LibGateway::PlacementCandidate candidateOf(const LibFleet::UpstreamRecord &record);

    /// An upstream of another entry as an input of chooseUpstream(): its load is the mean of the engines that its owner owns, when the owner states it.
    LibGateway::PlacementCandidate remoteCandidateOf(const LibFleet::UpstreamRecord &record);

    /// Whether this entry prefers an upstream; the entry that prefers an engine owns it.
    bool isOwn(const LibFleet::UpstreamRecord &record);
    const std::string &ownerOf(const LibFleet::UpstreamRecord &record);

    /// Whether one entry decides on all calls to the upstream: an engine, or an upstream that has named a rate limit. Entries that each kept an equal share of
    /// a low limit would exceed it together.
    bool hasOwner(const LibFleet::UpstreamRecord &record) const;

    /// Version of the weights that a call must require of an upstream which holds the version `held`, 0 for any.
    int64_t expectedWeightsVersion(const LibFleet::UpstreamRecord &record, int64_t held) const;

    /// Version of the weights that an upstream holds by the newest report, or by its registration without one.
    int64_t heldWeightsVersion(const LibFleet::UpstreamRecord &record) const;

    /// The oldest version of the weights on which calls of a service may begin now, 0 for any.
    int64_t requiredWeightsVersion(const std::string &service) const;

    /// Prefill time of a prompt at an engine of a service, in ms; 0 when unknown.
    double prefillMs(const std::string &service, int64_t promptTokens) const;

    /// Number of entries registered in the object store, at least 1.
    size_t registeredEntries() const;

    void recordOutcome(const LibFleet::UpstreamRecord &upstream, bool failed);
    void suspend(const LibFleet::UpstreamRecord &upstream);
    /// `slowness`: see LibGateway::ResponseInfo::Load.
    void recordResponseLoad(const LibFleet::UpstreamRecord &upstream, int running, int waiting, std::optional<double> slowness);
    /// Counts a call that this entry sends to a service, and the time after which an upstream has responded to one, in ms.
    void recordSend(const std::string &service);
    /// See LibGateway::expectedWork().
    double expectedWork(const std::string &service, std::optional<int64_t> answerTokenHint);
    void recordServiceTime(const LibFleet::UpstreamRecord &upstream, AK::Milliseconds duration);
    void recordReport(const LibPeers::EngineReport &report);
    /// Records which limit the response to a call has named, if any. `sentAt`: monotonic time at which the call was sent.
    void recordRateLimit(const LibFleet::UpstreamRecord &upstream, std::optional<double> callsPerSecond, AK::Milliseconds sentAt);

    /// Writes per service whether calls are placed by estimates, and the slowness and the age of the load figures of its upstreams.
    void exportLoad(LibMetrics::MetricRegistry &metrics) const;

    /// What the upstreams have said about new calls.
    UpstreamNotices &notices();

    /// Adds the rate limits of which this entry had news lately to the state that other entries get.
    void addRateLimits(LibPeers::NodeState &state) const;
    void adoptRateLimits(const LibPeers::NodeState &state);

    /// Calls in flight that this entry knows of: those of its own clients, and those of other entries at upstreams that it owns.
    int callsInFlight() const;

private:
    /// What is known of a service whose upstreams several entries share.
    struct SharedService {
        LibGateway::ServiceFlow flow;
        /// Upstreams that may get calls, and the monotonic time of the count.
        size_t upstreams = 0;
        AK::Milliseconds countedAt = 0;
    };

    /// Whether an upstream of the service has stated its slowness lately.
    bool isEnabled(const std::string &service) const;
    /// Whether the load of the upstream is estimated: its service is enabled for it and no entry decides on all calls there.
    bool isEstimated(const LibFleet::UpstreamRecord &record) const;
    size_t upstreamsOf(const std::string &service);
    /// Whether the rate of the upstream allows another call now: the whole rate for an upstream that has an owner, else an equal share for each entry.
    bool rateAllows(const LibFleet::UpstreamRecord &record);
    /// Calls per second that the upstream may get from all entries, 0 for any number.
    double callsPerSecond(const LibFleet::UpstreamRecord &record);
    /// Whether the owner of an engine without a fresh report may hold one with the required weights.
    bool ownerMayHaveWeights(const LibFleet::UpstreamRecord &record);
    void logRateLimit(const std::string &upstream, std::optional<double> callsPerSecond, std::string_view from) const;
    const LibFleet::ServiceSpec *serviceSpec(const std::string &service) const;
    bool regionAllowed(const LibFleet::UpstreamRecord &record, const CallRequirements &requirements) const;
    const LibGateway::UpstreamLoad *knownLoad(const LibFleet::UpstreamRecord &record) const;
    bool hasFreshReport(const LibFleet::UpstreamRecord &record) const;
    /// Engines of each owner.
    size_t enginesOf(const std::string &owner);
    /// Versions of the weights that the operator has named for the model of a service; empty when it has none.
    const std::vector<LibFleet::WeightsTarget> &weightsTargets(const std::string &service) const;
    std::string regionOf(const std::string &failureDomain) const;

    const AK::Clock &clock;
    const LibFleet::FleetState &fleet;
    TableSettings settings;
    bool ownersDecide;
    std::map<std::string, std::string> regions;
    std::vector<LibFleet::EntryLocation> entries;
    /// Owners by upstream id; cleared when the entries change.
    std::map<std::string, std::string> owners;
    std::map<std::string, int> openSlotsByEntry;
    /// Number of engines by owner, and the monotonic time of the count.
    std::map<std::string, size_t> engineCounts;
    AK::Milliseconds enginesCountedAt = 0;
    int ownOpenSlots = 0;
    AK::Milliseconds openSlotsCountedAt = 0;
    /// By address, because the report of an agent names its upstream by address.
    std::map<std::string, LibGateway::UpstreamLoad> loads;
    std::map<std::string, SharedService> sharedServices;
    UpstreamNotices upstreamNotices;
    LibLog::Logger logger{"dispatcher"};
};

} // namespace Gateway
