#include <LibGateway/WaitPrediction.h>

#include <algorithm>
#include <cmath>

namespace LibGateway
{

namespace
{

constexpr double millisecondsPerSecond = 1'000;
// Priorities with a rate of their own; calls of others count as the least urgent known one.
constexpr size_t maxPriorities = 16;
// Part of the longest honoured time over which retries are spread when room is not expected within it. After a standstill, the few slots that new calls leave
// take up more of the returning ones when these come over a longer time.
constexpr double overloadSpread = 0.5;
// The same when no upstream may begin a call: later is better then, and room comes at once for all.
constexpr double lateSpread = 0.2;

double decayed(const DecayingRate &rate, AK::Milliseconds now)
{
    return rate.weight * std::exp(-static_cast<double>(now - rate.updatedAt) / rate.timeConstantMs);
}

AK::Milliseconds atLeastShortest(double value, const WaitSettings &settings)
{
    return std::max(settings.shortestRetryAfter, static_cast<AK::Milliseconds>(value));
}

} // namespace

void recordEvent(DecayingRate &rate, AK::Milliseconds now)
{
    rate.weight = decayed(rate, now) + 1;
    rate.startedAt = rate.startedAt == 0 ? now : rate.startedAt;
    rate.updatedAt = now;
}

double eventsPerSecond(const DecayingRate &rate, AK::Milliseconds now)
{
    if (rate.startedAt == 0) {
        return 0;
    }
    // The weights of the time since the start add up to this part of the time constant; the first events count as spread over a tenth of it.
    const double age = std::max(rate.timeConstantMs / 10, static_cast<double>(now - rate.startedAt));
    const double covered = rate.timeConstantMs * (1 - std::exp(-age / rate.timeConstantMs));
    return decayed(rate, now) * millisecondsPerSecond / covered;
}

AK::Milliseconds timeToFirstEvent(const EngineFigures &engine, int64_t promptTokens, const WaitSettings &settings)
{
    if (engine.prefillPerSecond <= 0) {
        return 0;
    }
    const double pass = std::max(1, engine.stride) * (engine.stepMs + engine.perSequenceMs * engine.running);
    const double prefill = static_cast<double>(promptTokens) * millisecondsPerSecond / engine.prefillPerSecond;
    const double others = std::max(0.0, settings.prefillBacklogMs - prefill) / 2;
    return settings.reserve + static_cast<AK::Milliseconds>(pass / 2 + others + prefill + pass);
}

WaitLimits waitLimits(AK::Milliseconds arrivedAt, AK::Milliseconds targetLatency, AK::Milliseconds responseTime, AK::Milliseconds clientWaits, bool returning,
                      const WaitSettings &settings)
{
    WaitLimits limits;
    limits.startBy = arrivedAt + std::max<AK::Milliseconds>(0, clientWaits - responseTime);
    if (returning) {
        limits.startBy = std::min(limits.startBy, arrivedAt + settings.returningWaitLimit);
        limits.inTimeUntil = arrivedAt;
        return limits;
    }
    limits.inTimeUntil = std::min(limits.startBy, arrivedAt + std::max<AK::Milliseconds>(0, targetLatency - responseTime));
    return limits;
}

void recordFreshCall(QueueRates &rates, int priority, AK::Milliseconds now)
{
    const bool full = rates.freshCalls.size() >= maxPriorities && !rates.freshCalls.contains(priority);
    recordEvent(rates.sustainedCalls, now);
    recordEvent(full ? rates.freshCalls.rbegin()->second : rates.freshCalls[priority], now);
}

WaitOutlook outlookOf(const QueueRates &rates, int priority, bool inTime, size_t ahead, AK::Milliseconds now)
{
    WaitOutlook outlook;
    outlook.ahead = ahead;
    outlook.freedPerSecond = eventsPerSecond(rates.freedSlots, now);
    for (const auto &[other, rate] : rates.freshCalls) {
        outlook.beforePerSecond += !inTime || other < priority ? eventsPerSecond(rate, now) : 0;
    }
    return outlook;
}

double timeToSlot(const WaitOutlook &outlook, bool inTime, const WaitSettings &settings)
{
    const double share = settings.minimumShare * outlook.freedPerSecond;
    const double spare = outlook.freedPerSecond - outlook.beforePerSecond;
    // Calls in time get the minimum share in any case. Late ones get it only while the arrivals exceed the capacity by no more than the error of the rates.
    const double rate = inTime ? std::max(spare, share) : spare + share;
    if (rate <= 0) {
        // Nothing has become free yet: the first calls of a queue wait, which shows how fast it moves.
        return outlook.freedPerSecond <= 0 ? 0 : -1;
    }
    return static_cast<double>(outlook.ahead) * millisecondsPerSecond / rate;
}

WaitDecision decideWait(const WaitOutlook &inTime, const WaitOutlook &late, const WaitLimits &limits, AK::Milliseconds now, const WaitSettings &settings)
{
    if (now < limits.inTimeUntil) {
        const double expected = timeToSlot(inTime, true, settings);
        if (expected >= 0 && static_cast<double>(now) + expected <= static_cast<double>(limits.inTimeUntil)) {
            return WaitDecision::InTime;
        }
    }
    const double expected = timeToSlot(late, false, settings);
    const bool starts = expected >= 0 && now < limits.startBy && static_cast<double>(now) + expected <= static_cast<double>(limits.startBy);
    return starts ? WaitDecision::Late : WaitDecision::Refuse;
}

AK::Milliseconds retryAfter(const QueueRates &rates, size_t waiting, AK::Milliseconds timeLeft, double random, AK::Milliseconds now,
                            const WaitSettings &settings)
{
    const double longest = settings.honouredShare * static_cast<double>(timeLeft);
    const double spare = eventsPerSecond(rates.freedSlots, now) - eventsPerSecond(rates.sustainedCalls, now);
    const double expected = spare > 0 ? static_cast<double>(waiting + 1) * millisecondsPerSecond / spare : longest;
    if (expected >= longest) {
        return atLeastShortest(longest * (1 - overloadSpread * random), settings);
    }
    const double refused = eventsPerSecond(rates.refusals, now);
    const double spread = std::max(static_cast<double>(settings.shortestRetryAfter), refused * millisecondsPerSecond / spare);
    return atLeastShortest(expected + random * std::min(spread, longest - expected), settings);
}

AK::Milliseconds retryAfterWithoutUpstream(AK::Milliseconds timeLeft, double random, const WaitSettings &settings)
{
    return atLeastShortest(settings.honouredShare * static_cast<double>(timeLeft) * (1 - lateSpread * random), settings);
}

} // namespace LibGateway
