#pragma once

#include <AK/Random.h>
#include <LibFleet/FleetState.h>
#include <LibPeers/PeerRecords.h>
#include <optional>
#include <vector>

namespace LibGateway
{

/// What this entry knows of one upstream beyond its record.
struct UpstreamLoad {
    /// Instance that all this was learned of; another at the same address begins anew.
    std::string instance;
    /// Calls of this entry that the upstream works on.
    int ownInFlight = 0;
    /// Prompt tokens of those that have not sent their first event.
    int64_t pendingPromptTokens = 0;
    /// Newest report of its agent, and the calls of this entry at that time.
    std::optional<LibPeers::EngineReport> report;
    AK::Milliseconds reportAt = 0;
    int ownAtReport = 0;
    /// Load that the upstream named in its newest answer.
    int answeredLoad = 0;
    AK::Milliseconds answeredAt = 0;
    int ownAtAnswer = 0;
    /// Moving share of calls that failed, 0 to 1.
    double failureShare = 0;
    int failuresInRow = 0;
    /// No calls before this time, after failures.
    AK::Milliseconds suspendedUntil = 0;
    /// Calls allowed now by the cold rate, and the time of the last refill.
    double rateTokens = 0;
    AK::Milliseconds rateAt = 0;
};

struct PlacementSettings {
    /// Reports older than this say nothing any more.
    AK::Milliseconds reportMaxAge = 1'000;
    /// What one more call at an upstream is taken to cost those that run there, in ms of waiting.
    double loadPenaltyMs = 12;
    /// For upstreams that another entry prefers, and for those in another region: what the entries do not know of each other's calls, and the way.
    double foreignPenaltyMs = 15;
    double regionPenaltyMs = 40;
    /// For an upstream that fails all calls; less in proportion.
    double failurePenaltyMs = 400;
    /// Unread prompts that an engine may have, the new one included; a longer one goes alone. More would keep the streams of its next pass waiting beyond
    /// their gap target.
    double promptBacklogMs = 130;
    /// The same at an upstream without an owner that another entry prefers, whose prompts this entry does not see. Load pattern: an engine comes back empty and
    /// every entry fills it at once.
    double foreignBacklogMs = 60;
    /// Slots that an entry leaves free at an upstream without an owner that another entry prefers, for calls of the others that it does not know of yet.
    int foreignReserve = 3;
    /// Failures in a row after which an upstream gets no calls for a while.
    int failuresToSuspend = 3;
    AK::Milliseconds suspension = 1'000;
    /// Share of the stated cold rate that is used.
    double coldRateShare = 0.9;
};

/// Calls at the upstream, of this entry and of others as far as they are known.
double estimatedLoad(const UpstreamLoad &load, AK::Milliseconds now, const PlacementSettings &settings);

/// Refills the tokens of the cold rate and tells whether a call may be sent now. `share` is the part of this entry in the rate, 0 to 1. The rate holds at any
/// time, because an upstream may become cold without saying so; it is above what a warm engine completes. Load pattern: a failure domain returns cold under
/// full load.
bool rateAllows(UpstreamLoad &load, double callsPerSecond, double share, AK::Milliseconds now, const PlacementSettings &settings);

/// Share of an entry in the rate of an upstream that it owns: the part of the registered entries that it reaches, itself among them. Entries that do not reach
/// each other may own the same upstream; their shares add up to 1.
double ownerShare(size_t reachable, size_t registered);

/// Counts the end of a call at an upstream. Load pattern: an upstream ends with many calls in flight, which all fail at once.
void countOutcome(UpstreamLoad &load, bool failed, AK::Milliseconds now, const PlacementSettings &settings);

/// One upstream that could take a call.
struct PlacementCandidate {
    double load = 0;
    int limit = 1;
    /// Time that the engine needs to read the prompts that wait there, in ms.
    double promptBacklogMs = 0;
    /// This entry is the one that prefers the upstream; see preferredEntry().
    bool preferred = false;
    bool sameRegion = false;
    double failureShare = 0;
    /// Engine pace above the stated one; 1 is as stated.
    double pace = 1;
};

/// Index of the candidate with the least expected time to the first event, or nothing when all are full. Load pattern: prompts that meet in one pass of an
/// engine delay its streams and each other, also at moderate load.
/// `promptMs` is the time that reading the prompt of the call takes; with `anyBacklog` a call that has waited takes a place where it must wait further.
std::optional<size_t> chooseUpstream(const std::vector<PlacementCandidate> &candidates, double promptMs, bool anyBacklog, const PlacementSettings &settings,
                                     AK::Random &random);

/// An entry that may prefer upstreams.
struct EntryLocation {
    std::string name;
    std::string failureDomain;

    bool operator==(const EntryLocation &) const = default;
};

/// The entry that prefers an upstream: one of its failure domain if there is one, else any, chosen by rendezvous hash. Entries do not know each other's
/// calls of the last moments; with a preferred entry for each upstream most of its calls come from one that knows them all. Load pattern: several entries
/// see the same least loaded upstream.
std::string preferredEntry(const std::string &upstream, const std::string &failureDomain, const std::vector<EntryLocation> &entries);

/// The oldest version that may answer now, 0 for any: the newest that became known `weightsSwitchDelay` ms ago or earlier. Load pattern: a version is named
/// before the one before it has arrived, and the time of the first still counts.
int64_t requiredWeights(const std::vector<LibFleet::WeightsTarget> &targets, AK::Milliseconds now, AK::Milliseconds weightsSwitchDelay);

} // namespace LibGateway
