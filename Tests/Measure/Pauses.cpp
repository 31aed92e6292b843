#include "Measurement.h"
#include "PausingSite.h"

#include <AK/Text.h>
#include <algorithm>
#include <iostream>

namespace
{

// Offered load as a percentage of the capacity of all upstreams.
constexpr std::array loadPercents{90, 200};

// Streams wait for a slot for a part of their target latency only, so that none is late; calls of the other kind are still useful when they are late.
constexpr std::array kindNames{
    AK::EnumName{LibFleet::RouteKind::Stream, "streams"},
    AK::EnumName{LibFleet::RouteKind::Idempotent, "others"},
};

nlohmann::json describe(const PausingSite::Result &result, int seconds)
{
    const double unpaused = PausingSite::unpausedCapacityPerSecond() * seconds;
    return {{"calls", result.calls},
            {"goodput", result.served / unpaused},
            {"in_time", result.servedInTime / unpaused},
            {"refused", result.timesToRefusal.size()},
            {"refusal_p50_ms", percentile(result.timesToRefusal, 50)},
            {"refusal_p95_ms", percentile(result.timesToRefusal, 95)},
            {"refused_by_upstreams", result.refusedByUpstreams},
            {"inside_pauses", result.insidePauses},
            {"beyond_rule", result.beyondRule},
            {"most_inside_a_pause", result.mostInsideAPause}};
}

} // namespace

nlohmann::json measurePauses(const MeasureContext &context)
{
    const int seconds = context.flags.number("seconds", 20);
    nlohmann::json result{{"seconds", seconds},
                          {"processes", 1},
                          {"entries", PausingSite::entryCount},
                          {"upstreams", PausingSite::upstreamCount},
                          {"capacity_per_s", PausingSite::capacityPerSecond()},
                          {"unpaused_capacity_per_s", PausingSite::unpausedCapacityPerSecond()}};
    double leastGoodput = 0;
    int beyondRule = 0;
    for (const auto &kind : kindNames) {
        for (const int percent : loadPercents) {
            const double callsPerSecond = PausingSite::capacityPerSecond() * percent / 100;
            const PausingSite::Result measured = PausingSite(context.seed, kind.value, true).run(callsPerSecond, seconds * 1'000);
            const PausingSite::Result baseline = PausingSite(context.seed, kind.value, false).run(callsPerSecond, seconds * 1'000);
            const std::string name = AK::concat(kind.name, "_", percent, "_percent");
            result[name] = describe(measured, seconds);
            result["baseline_" + name] = describe(baseline, seconds);
            std::cerr << name << " " << result[name].dump() << "\n  without pauses " << result["baseline_" + name].dump() << "\n";
            const double goodput = result[name]["goodput"].get<double>();
            leastGoodput = leastGoodput == 0 ? goodput : std::min(leastGoodput, goodput);
            beyondRule += measured.beyondRule;
        }
    }
    result["least_goodput"] = leastGoodput;
    result["beyond_rule"] = beyondRule;
    return result;
}
