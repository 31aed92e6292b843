#pragma once

#include <AK/Clock.h>
#include <LibFleet/Configuration.h>
#include <array>

namespace LibGateway
{

struct QueueSettings {
    /// Share of the route's target latency that a stream may wait for a slot; the engine needs the rest for the prefill and the first event. With a longer
    /// wait, every response is late during a lasting overload.
    double streamWaitShare = 0.3;
    /// The same for other calls, whose late responses are still useful.
    double nonStreamWaitShare = 2.0;
    /// Longest wait of a stream whose client was refused before, in ms. Its response is late anyway; clients disconnect after 3.2 s without an event.
    AK::Milliseconds returningWaitLimit = 1'200;
    /// A call whose client timeout is below this share of the longest one of its route is a retry after a refusal: timeouts differ by up to 15 % between
    /// clients, and a refused client retries after 1 s or more, with what is left of its timeout.
    double returningTimeoutShare = 0.84;
    /// Refused clients are told to retry after this time plus a random part of the spread, so that they do not retry all at once; in ms.
    AK::Milliseconds shortestRetryAfter = 1'000;
    AK::Milliseconds retryAfterSpread = 900;
};

/// The longest timeout that clients of a route have set lately. Not the timeout of the route, which an operator may change.
struct ClientTimeoutRecord {
    /// In ms.
    double longest = 0;
};

void recordClientTimeout(ClientTimeoutRecord &record, AK::Milliseconds clientTimeout);

/// Whether a call is a returning one: a stream whose client was refused before and retries. All other calls are fresh.
bool isReturning(LibFleet::RouteKind kind, AK::Milliseconds clientTimeout, const ClientTimeoutRecord &record, const QueueSettings &settings);

/// How long a call may wait for a slot, in ms.
AK::Milliseconds longestWait(LibFleet::RouteKind kind, bool returning, AK::Milliseconds targetLatency, const QueueSettings &settings);

/// What the order of queued calls depends on.
struct QueueRank {
    /// 0 is the most urgent.
    int priority = 0;
    bool returning = false;
};

/// Order of the queue: by priority, then fresh calls, which can still be answered in time, before returning ones. Equal calls stay in order of arrival.
bool isBefore(const QueueRank &left, const QueueRank &right);

/// Moving averages of the intervals at which a queue moves, in ms.
struct QueueIntervals {
    /// Between slots that become free.
    double freedSlots = 0;
    /// Between arrivals of fresh calls.
    double freshCalls = 0;
    AK::Milliseconds lastSlotFreedAt = 0;
    AK::Milliseconds lastFreshCallAt = 0;
};

void recordFreedSlot(QueueIntervals &intervals, AK::Milliseconds now);
void recordFreshCall(QueueIntervals &intervals, AK::Milliseconds now);

/// Whether a call that would wait behind `ahead` others is expected to start after `startBy`. Load pattern: more calls than slots for seconds; fresh calls
/// take every slot that becomes free, so a returning call gets none and is refused at once instead of waiting in vain.
bool startsTooLate(const QueueIntervals &intervals, const QueueRank &rank, size_t ahead, AK::Milliseconds now, AK::Milliseconds startBy);

/// Time after which a refused client should retry, in ms. `random` is in [0, 1).
AK::Milliseconds retryAfter(const QueueIntervals &intervals, size_t waiting, double random, const QueueSettings &settings);

} // namespace LibGateway
