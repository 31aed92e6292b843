#pragma once

#include <AK/Clock.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace LibGateway
{

struct LoadEstimateSettings {
    /// Time in which the deviation of a stated slowness from 1 halves, in ms. Slow periods of a host last some 600 ms, so an older figure says little.
    AK::Milliseconds slownessHalfLife = 300;
    /// A smaller figure counts as this one, so that no upstream is taken for one that needs no time.
    double minSlowness = 0.5;
    /// Larger figures count as this one, so that any of them decays below 1.5 within four half-lives and the upstream gets calls again.
    double maxSlowness = 8;
    /// For this long after an upstream has stated its slowness, all upstreams of its service without an owner are chosen by estimated load, in ms.
    AK::Milliseconds enabledFor = 60'000;
    /// Time constant of the rate of calls, in ms. Long enough for an entry that gets one call a second.
    AK::Milliseconds rateTime = 5'000;
    /// Contention (see SharedEstimate) from which two random upstreams are compared instead of all. With less, the entries' estimates differ enough, because
    /// each knows its own calls; with more, entries that follow the same figure send to one upstream together.
    double contentionToDraw = 1.5;
};

/// How long work takes on the host of an upstream, as its responses state it.
struct StatedSlowness {
    /// Relative to the usual time.
    double factor = 1;
    /// Monotonic time of the response.
    AK::Milliseconds statedAt = 0;
};

/// The stated slowness by its age: it has full weight when new and decays to 1. Load pattern: a host is slow for a fraction of a second; an upstream that gets
/// no calls meanwhile sends no newer figure.
double slownessNow(const StatedSlowness &stated, AK::Milliseconds now, const LoadEstimateSettings &settings);

/// What an entry knows of its own calls to a service.
struct ServiceFlow {
    /// Monotonic time of the first call; nothing before it.
    std::optional<AK::Milliseconds> since;
    AK::Milliseconds lastCallAt = 0;
    /// Calls, each with a weight that decays with LoadEstimateSettings::rateTime.
    double weightedCalls = 0;
    /// Moving average of the time of a call at an upstream, in ms; 0 before the first response.
    double serviceMs = 0;
    /// Moving average of the answer tokens that clients expect; 0 before the first call that states them.
    double answerTokens = 0;
    /// Monotonic time at which an upstream of the service last stated its slowness.
    std::optional<AK::Milliseconds> slownessStatedAt;
};

void recordCall(ServiceFlow &flow, AK::Milliseconds now, const LoadEstimateSettings &settings);
void recordServiceTime(ServiceFlow &flow, AK::Milliseconds duration);

/// Calls per ms that this entry sends to the service. The share of the averaging time that lies before the first call does not count, so that the rate of an
/// entry which has just started isn't underestimated.
double callsPerMs(const ServiceFlow &flow, AK::Milliseconds now, const LoadEstimateSettings &settings);

/// Work of a call relative to a mean one, by the answer tokens that its client expects, between a quarter and four; 1 when it does not state them. Takes the
/// number into the mean. Load pattern: answers differ in length by a factor of thirty, and a long one holds its slot and slows the others for longer.
double expectedWork(ServiceFlow &flow, std::optional<int64_t> answerTokenHint);

/// Whether upstreams of the service without an owner are chosen by estimated load.
bool isEnabled(const ServiceFlow &flow, AK::Milliseconds now, const LoadEstimateSettings &settings);

/// Calls of other entries at an upstream that several entries share.
struct SharedUpstream {
    /// Calls of others at the last figure, and its age in ms; nothing when the upstream has sent none.
    std::optional<double> othersAtFigure;
    AK::Milliseconds figureAge = 0;
    /// Calls per ms that the others send to it, as far as is known.
    double othersPerMs = 0;
    /// Time of a call there, in ms.
    double serviceMs = 0;
};

/// Rate at which the other entries send calls to one of the upstreams, in calls per ms: they are taken to get as many calls as this one.
double othersPerMs(double ownPerMs, size_t entries, size_t upstreams);

/// Calls of other entries that are likely at a shared upstream now.
struct SharedEstimate {
    /// Of those in the last figure.
    double stillRunning = 0;
    /// Sent since the figure.
    double sentSince = 0;
    /// Calls that others have sent since on a figure that still tells much: none right after it, and none when it is so old that nobody follows it.
    double contention = 0;
};

/// With the age of the figure the estimate goes from the figure to the mean number of calls. Load pattern: many entries, each of which hears of an upstream
/// only in the responses to its own few calls.
SharedEstimate estimateOthers(const SharedUpstream &upstream);

} // namespace LibGateway
