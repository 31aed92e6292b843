#pragma once

#include <AK/Clock.h>
#include <cstddef>
#include <cstdint>
#include <map>

namespace LibGateway
{

/// Events per second, averaged with weights that decay with a time constant. An entry starts 20 to 50 calls per second in an overload; with the default its
/// rates have errors of about a tenth.
struct DecayingRate {
    double timeConstantMs = 1'000;
    double weight = 0;
    AK::Milliseconds startedAt = 0;
    AK::Milliseconds updatedAt = 0;
};

void recordEvent(DecayingRate &rate, AK::Milliseconds now);
double eventsPerSecond(const DecayingRate &rate, AK::Milliseconds now);

/// Figures of an engine as its operator states them; see LibFleet::EngineSpec.
struct EngineFigures {
    double stepMs = 0;
    double perSequenceMs = 0;
    double prefillPerSecond = 0;
    int stride = 1;
    /// Sequences that run there: all slots, because a call that has waited starts when a single one is free.
    int running = 0;
};

struct WaitSettings {
    /// Prefill time of the prompts that an engine may have unread, the new one included; see PlacementSettings::prefillBacklogMs.
    double prefillBacklogMs = 130;
    /// For the network between client, entries and upstream and for pauses of the processes, in ms: two round trips between regions of 4 ms each and a third of
    /// the 100 ms for which a process without CPU quota stands still.
    AK::Milliseconds reserve = 40;
    /// Longest wait of a call whose client was refused before, in ms. Clients leave a stream that shows no event for 2 s.
    AK::Milliseconds returningWaitLimit = 1'800;
    /// Share of the freed slots that calls get which others go before.
    double minimumShare = 0.1;
    AK::Milliseconds shortestRetryAfter = 100;
    /// Clients honour a time to retry of up to this share of what is left of their timeout.
    double honouredShare = 1.0 / 3;
};

/// Predicted time from a slot at a busy engine to the first event, in ms: half of the pass in progress, the prefill of the prompt and of half of the others
/// that the engine may have unread, the pass that makes the first tokens, and the reserve. 0 when the figures are unknown.
AK::Milliseconds timeToFirstEvent(const EngineFigures &engine, int64_t promptTokens, const WaitSettings &settings);

/// Limits of the wait of one call, monotonic.
struct WaitLimits {
    /// A call that starts until then is in time.
    AK::Milliseconds inTimeUntil = 0;
    /// A call that starts later finds its client gone.
    AK::Milliseconds startBy = 0;
};

/// `responseTime`: predicted time from the slot to the first event or to the response. `clientWaits`: time from the arrival after which the client leaves
/// without one. Load pattern: a burst, in which limits that are a fixed share of the target refuse an urgent call before a batch call with a longer target.
WaitLimits waitLimits(AK::Milliseconds arrivedAt, AK::Milliseconds targetLatency, AK::Milliseconds responseTime, AK::Milliseconds clientWaits, bool returning,
                      const WaitSettings &settings);

/// How the calls of one entry to a service arrive, start and are refused.
struct QueueRates {
    DecayingRate freedSlots;
    DecayingRate refusals;
    /// Calls that were not refused before, by priority.
    std::map<int, DecayingRate> freshCalls;
    /// All of them, over a time that a burst of some hundred ms hardly changes.
    DecayingRate sustainedCalls{5'000};
};

void recordFreshCall(QueueRates &rates, int priority, AK::Milliseconds now);

/// What the wait of a call depends on.
struct WaitOutlook {
    double freedPerSecond = 0;
    /// Arrivals that go before the call: the more urgent ones, or all fresh ones when it can't be in time any more.
    double beforePerSecond = 0;
    /// Waiting calls that go before it.
    size_t ahead = 0;
};

WaitOutlook outlookOf(const QueueRates &rates, int priority, bool inTime, size_t ahead, AK::Milliseconds now);

/// Expected time to a slot in ms, or a negative value when none is expected.
double timeToSlot(const WaitOutlook &outlook, bool inTime, const WaitSettings &settings);

enum class WaitDecision { InTime, Late, Refuse };

/// Whether a call waits: in time, or behind all that can be in time, if a slot is expected before the client leaves. Load pattern: a lasting overload, in which
/// all responses are late when late calls take slots from others.
WaitDecision decideWait(const WaitOutlook &inTime, const WaitOutlook &late, const WaitLimits &limits, AK::Milliseconds now, const WaitSettings &settings);

/// Time after which a refused client should retry, in ms. `waiting`: calls that wait now. `timeLeft`: what is left of the client's timeout. `random` is in
/// [0, 1). When room is expected within the time that the client honours: then, plus a spread in which the spare slots suffice for all that were refused
/// lately. Else as late as the client honours. Load pattern: clients that are told to retry too early are refused again, and have then used up their retry.
AK::Milliseconds retryAfter(const QueueRates &rates, size_t waiting, AK::Milliseconds timeLeft, double random, AK::Milliseconds now,
                            const WaitSettings &settings);

/// The same when no upstream may begin a call: as late as the client honours, because it is unknown when one may. Load pattern: every engine waits for weights.
AK::Milliseconds retryAfterWithoutUpstream(AK::Milliseconds timeLeft, double random, const WaitSettings &settings);

} // namespace LibGateway
