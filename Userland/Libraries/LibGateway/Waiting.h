#pragma once

#include <AK/Clock.h>
#include <LibFleet/Configuration.h>
#include <array>

namespace LibGateway
{

struct WaitingSettings {
    /// Share of the target latency that a stream may wait for a place: an engine needs the rest to read the prompt and send the first event. A longer wait in
    /// a lasting overload makes every answer late.
    double streamWait = 0.3;
    /// The same for other calls, whose late answers are still worth much.
    double plainWait = 2.0;
    /// Longest wait of a stream whose client was refused before, in ms. Its answer is late anyway; clients leave after 3.2 s without an event.
    AK::Milliseconds returningWait = 1'200;
    /// A client with less than this share of the longest patience was refused before: patience differs by up to 15 in 100 between clients, and whoever is
    /// refused comes back a second later or more.
    double returningShare = 0.84;
    /// Refused clients come back after this time and a random part, so that they do not return together; in ms.
    AK::Milliseconds shortestRetryAfter = 1'000;
    AK::Milliseconds retryAfterSpread = 900;
};

/// The longest patience that clients of a route have shown lately, in ms. Not the route's timeout, which an operator may change.
struct PatienceRecord {
    double longest = 0;
};

void observePatience(PatienceRecord &record, AK::Milliseconds patience);

/// Whether the client of a stream was refused before and comes back.
bool isReturning(LibFleet::RouteKind kind, AK::Milliseconds patience, const PatienceRecord &record, const WaitingSettings &settings);

/// How long a call may wait for a place, in ms.
AK::Milliseconds longestWait(LibFleet::RouteKind kind, bool returning, AK::Milliseconds targetLatency, const WaitingSettings &settings);

/// What the order of waiting calls depends on.
struct WaitingPlace {
    /// 0 is the most urgent.
    int priority = 0;
    bool returning = false;
};

/// Order of the waiting line: urgent calls first, then those that can still be answered in time, then those that come back; by arrival among equals.
bool isBefore(const WaitingPlace &left, const WaitingPlace &right);

/// Pace of a waiting line as moving means.
struct LinePace {
    /// ms between places that become free.
    double freed = 0;
    /// ms between calls that can still be answered in time.
    double fresh = 0;
    AK::Milliseconds lastFreedAt = 0;
    AK::Milliseconds lastFreshAt = 0;
};

void countFreed(LinePace &pace, AK::Milliseconds now);
void countFresh(LinePace &pace, AK::Milliseconds now);

/// Whether a call that would wait behind `ahead` others is known to start too late. Load pattern: more calls than slots for seconds; a client that comes back
/// gets no place while fresh calls take each that becomes free, and waiting would only hold it.
bool startsTooLate(const LinePace &pace, const WaitingPlace &place, size_t ahead, AK::Milliseconds now, AK::Milliseconds startBy);

/// When a refused client should come back, in ms. `random` is in [0, 1).
AK::Milliseconds retryAfter(const LinePace &pace, size_t waiting, double random, const WaitingSettings &settings);

} // namespace LibGateway
