#pragma once

#include <AK/Random.h>
#include <LibFleet/FleetState.h>
#include <LibFleet/Partners.h>
#include <LibGateway/LoadEstimate.h>
#include <LibPeers/PeerRecords.h>
#include <optional>
#include <vector>

namespace LibGateway
{

/// A limit that an upstream names in its responses, or has ceased to name.
struct NamedRateLimit {
    /// Calls that it takes from all entries together; nothing when it names no limit any more.
    std::optional<double> callsPerSecond;
    /// Monotonic time of the newest response that told so, at whichever entry.
    AK::Milliseconds toldAt = 0;
    /// Monotonic time at which this entry last had news of it.
    AK::Milliseconds learnedAt = 0;
};

/// What this entry knows about one upstream beyond its record.
struct UpstreamLoad {
    /// Instance that this describes. For another instance at the same address the failure counts start from zero.
    std::string instance;
    /// Calls of this entry in flight at the upstream.
    int ownInFlight = 0;
    /// Their work beyond that of as many mean calls; a mean call counts as 1.
    double ownExtraWork = 0;
    /// Prompt tokens of those that have not sent their first event.
    int64_t pendingPromptTokens = 0;
    /// Newest report of its agent, and the calls of this entry in flight when it arrived.
    std::optional<LibPeers::EngineReport> report;
    AK::Milliseconds reportAt = 0;
    int ownInFlightAtReport = 0;
    /// Load that the upstream stated in its newest response, and the calls of this entry in flight when it arrived.
    int loadInResponse = 0;
    AK::Milliseconds responseAt = 0;
    int ownInFlightAtResponse = 0;
    std::optional<StatedSlowness> slowness;
    /// Moving average of the share of calls that failed, 0 to 1.
    double failureShare = 0;
    int failuresInRow = 0;
    /// No calls before this time, after failures.
    AK::Milliseconds suspendedUntil = 0;
    std::optional<NamedRateLimit> rateLimit;
    /// Token bucket of the rate in force: calls allowed now, and the time of the last refill.
    double rateTokens = 0;
    AK::Milliseconds rateRefilledAt = 0;
};

struct PlacementSettings {
    /// Older reports are ignored.
    AK::Milliseconds reportMaxAge = 1'000;
    /// Penalty for each call that runs at an upstream, in ms of delay.
    double loadPenaltyMs = 12;
    /// Penalty for an upstream that another entry prefers, because this entry does not know all calls there.
    double nonPreferredPenaltyMs = 15;
    /// Penalty for an upstream in another region, for the network latency.
    double regionPenaltyMs = 40;
    /// Penalty for an upstream that fails all calls; scaled by its failure share.
    double failurePenaltyMs = 400;
    /// Prefill time of the unread prompts that an engine may have, the new one included. A longer prompt is sent only to an engine without unread prompts.
    /// More would delay the running streams beyond their gap target, because the engine's next pass also reads the prompts.
    double prefillBacklogMs = 130;
    /// The same for an upstream without an owner that another entry prefers, whose unread prompts this entry does not know. Load pattern: an engine returns
    /// empty and every entry sends calls to it at once.
    double nonPreferredBacklogMs = 60;
    /// Slots that an entry leaves free at an upstream without an owner that another entry prefers, for calls of other entries that it does not know yet.
    int nonPreferredReserve = 3;
    /// Failures in a row after which an upstream is suspended.
    int failuresToSuspend = 3;
    /// Length of the first suspension; each further failure in a row doubles it, up to a factor of 8.
    AK::Milliseconds suspension = 1'000;
    /// Share of the configured cold rate that is used.
    double coldRateShare = 0.9;
    /// Calls per second that an upstream gets at least, whatever limit it names; its responses show when the limit ends.
    double leastCallsPerSecond = 0.25;
};

/// Estimated calls at the upstream, of this entry and of all others.
double estimatedLoad(const UpstreamLoad &load, AK::Milliseconds now, const PlacementSettings &settings);

/// Time that work takes at an upstream, relative to the usual time: what its host states in responses or its agent reports, whichever is newer.
double slowness(const UpstreamLoad &load, AK::Milliseconds now, const LoadEstimateSettings &settings);

/// Records what the response to a call that was sent at `sentAt` tells of the upstream's rate limit. A response without one ends the limit, unless the call was
/// sent before the limit was last named. Returns whether the limit has changed.
bool recordRateLimit(UpstreamLoad &load, std::optional<double> callsPerSecond, AK::Milliseconds sentAt, AK::Milliseconds now);

/// Takes over what another entry knows of the rate limit, if it is newer.
bool adoptRateLimit(UpstreamLoad &load, std::optional<double> callsPerSecond, AK::Milliseconds toldAt, AK::Milliseconds now);

/// Whether the upstream has named a limit that is in force.
bool isRateLimited(const UpstreamLoad &load);

/// Calls per second that an upstream may get from all entries: the configured cold rate, or the limit that it names if that is lower; 0 for any number. The
/// cold rate always applies, because an upstream may become cold without reporting it; it is above what a warm engine completes. Load patterns: a failure
/// domain returns cold under full load; upstreams in need ask for fewer calls.
double callsPerSecond(const UpstreamLoad &load, double coldCallsPerSecond, const PlacementSettings &settings);

/// Refills the token bucket of an upstream and returns whether a call may be sent now. `share` is the share of this entry in the rate, 0 to 1.
bool rateAllows(UpstreamLoad &load, double callsPerSecond, double share, AK::Milliseconds now);

/// Takes the token of a call from the bucket that rateAllows() refills; nothing while no rate is in force, because nothing refills the bucket then.
void takeRateToken(UpstreamLoad &load, double callsPerSecond);

/// Share of an entry in the cold rate of an upstream that it owns: the share of the registered entries that it reaches, itself included. Entries that do not
/// reach each other may own the same upstream; their shares add up to 1.
double ownerShare(size_t reachable, size_t registered);

/// Records the outcome of a call and suspends the upstream after too many failures in a row. Load pattern: an upstream crashes with many calls in flight,
/// which all fail at once and count as one crash.
void recordOutcome(UpstreamLoad &load, bool failed, AK::Milliseconds now, const PlacementSettings &settings);

/// Suspends the upstream at once. Returns false when it is suspended already. Load pattern: an address belongs to a server that is no upstream.
bool suspend(UpstreamLoad &load, AK::Milliseconds now, const PlacementSettings &settings);

/// One upstream that may be chosen for a call.
struct PlacementCandidate {
    double load = 0;
    int limit = 1;
    /// Prefill time of the prompts that wait there, in ms.
    double prefillBacklogMs = 0;
    /// This entry prefers the upstream; see preferredEntry().
    bool preferred = false;
    bool sameRegion = false;
    double failureShare = 0;
    /// Time that the engine takes relative to its configured speed; 1 is as configured, 2 takes twice as long.
    double slowdown = 1;
    /// Work of the calls there beyond that of as many mean calls, and whether it and the prompt of the call count.
    double extraWork = 0;
    bool weighsWork = false;
    /// The load of an upstream without an owner is estimated: `load` holds the calls that are known to run there.
    bool estimated = false;
    /// See SharedEstimate.
    double sentSince = 0;
    double contention = 0;
};

/// Index of the candidate with the least expected time to the first event, or nothing when all are full. Load pattern: prompts that an engine reads in the
/// same pass delay its streams and each other, also at moderate load.
/// `prefillMs` is the prefill time of the call's prompt. With `ignoreBacklog` the limits on unread prompts don't apply, so that a call that has waited long
/// gets a slot even if its prompt must wait at the engine.
std::optional<size_t> chooseUpstream(const std::vector<PlacementCandidate> &candidates, double prefillMs, bool ignoreBacklog, const PlacementSettings &settings,
                                     AK::Random &random);

/// The same for upstreams without an owner whose load is estimated: the one with the least estimated work among all, or under contention among two random ones
/// of this region and one elsewhere. Only known calls make an upstream full. Load pattern: many entries see the same upstream as the least loaded one,
/// some hundred ms late, and all send to it.
std::optional<size_t> chooseSharedUpstream(const std::vector<PlacementCandidate> &candidates, const PlacementSettings &settings,
                                           const LoadEstimateSettings &estimate, AK::Random &random);

/// Takes over the load of an upstream that other entries use too. `othersPerMs`: see LibGateway::othersPerMs().
void estimateShared(PlacementCandidate &candidate, const UpstreamLoad &load, const ServiceFlow &flow, double othersPerMs, AK::Milliseconds now,
                    const PlacementSettings &settings, const LoadEstimateSettings &estimate);

/// The entry that prefers an upstream, the first of LibFleet::rankOwners(); empty without entries. Entries
/// learn of each other's calls with a delay; with one preferred entry per upstream, most of its calls come from an entry that knows them all. Load pattern:
/// several entries choose the same least loaded upstream at once.
std::string preferredEntry(const std::string &upstream, const std::string &failureDomain, const std::vector<LibFleet::EntryLocation> &entries);

/// The oldest weights version that may serve new calls now, 0 for any: the newest one that has been known for `weightsSwitchDelay` ms or longer. Load pattern:
/// a version is announced before its predecessor has arrived, and the predecessor's delay still counts.
int64_t requiredWeightsVersion(const std::vector<LibFleet::WeightsTarget> &targets, AK::Milliseconds now, AK::Milliseconds weightsSwitchDelay);

/// Time in ms from now within which a call must begin on weights of the version `held`, negative when it has passed: by then a newer version has been known for
/// `beginLimit` ms. When that is later, it is the time after which to ask again. Load pattern: engines hang, or their
/// hosts stand still, with calls that they have not begun while new weights are named.
AK::Milliseconds timeToBegin(const std::vector<LibFleet::WeightsTarget> &targets, int64_t held, AK::Milliseconds now, AK::Milliseconds beginLimit);

} // namespace LibGateway
