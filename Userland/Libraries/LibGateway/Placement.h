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
    /// Calls of this entry that the upstream works on.
    int ownInFlight = 0;
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
    /// Added to the relative load of an upstream in another failure domain of the region, and in another region.
    double domainPenalty = 0.05;
    double regionPenalty = 0.1;
    /// Added to the relative load per share of failed calls.
    double failurePenalty = 2.0;
    /// Failures in a row after which an upstream gets no calls for a while.
    int failuresToSuspend = 3;
    AK::Milliseconds suspension = 1'000;
    /// Share of the stated cold rate that is used.
    double coldRateShare = 0.9;
    /// Calls beyond its slots that an engine queues, so that a slot that becomes free is taken at once.
    int queuedAtUpstream = 1;
};

/// Calls at the upstream, of this entry and of others as far as they are known.
double estimatedLoad(const UpstreamLoad &load, AK::Milliseconds now, const PlacementSettings &settings);

/// Refills the tokens of the cold rate and tells whether a call may be sent now. The rate holds at any time, because an upstream may become cold without
/// saying so; it is above what a warm engine completes. Load pattern: a failure domain returns cold under full load.
bool rateAllows(UpstreamLoad &load, double callsPerSecond, size_t entries, AK::Milliseconds now, const PlacementSettings &settings);

/// Counts the end of a call at an upstream.
void countOutcome(UpstreamLoad &load, bool failed, AK::Milliseconds now, const PlacementSettings &settings);

/// One upstream that could take a call.
struct PlacementCandidate {
    double load = 0;
    int limit = 1;
    bool sameDomain = false;
    bool sameRegion = false;
    double failureShare = 0;
    /// Engine pace above the stated one; 1 is as stated.
    double pace = 1;
};

/// Index of the candidate that serves the call best, or nothing when all are full. Equal candidates are drawn at random, so that entries with the same
/// reports do not herd.
std::optional<size_t> chooseUpstream(const std::vector<PlacementCandidate> &candidates, const PlacementSettings &settings, AK::Random &random);

/// The oldest version that may answer now, 0 for any: the newest that became known `switchBefore` ms ago or earlier. Load pattern: a version is named before
/// the one before it has arrived, and the time of the first still counts.
int64_t requiredWeights(const std::vector<LibFleet::WeightsTarget> &targets, AK::Milliseconds now, AK::Milliseconds switchBefore);

} // namespace LibGateway
