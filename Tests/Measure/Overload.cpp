#include "DirectLoad.h"
#include "Measurement.h"

#include <AK/Text.h>
#include <iostream>

namespace
{

constexpr int engines = 4;
constexpr int slotsPerEngine = 4;
constexpr int tokensPerCall = 10;
constexpr int tokenMs = 10;
constexpr AK::Milliseconds settleLimitMs = 30'000;
constexpr AK::Milliseconds callDeadlineMs = 1'000;
constexpr int largeAccounts = 2;
constexpr int smallAccounts = 8;
const std::string service = "assistant";

double capacityPerSecond()
{
    return engines * slotsPerEngine * 1000.0 / (tokensPerCall * tokenMs);
}

Harness::SitePlan overloadPlan(const MeasureContext &context)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.services = {{service, true, engines}};
    plan.logLevel = "warning";
    plan.engineFlags = {"--slots", std::to_string(slotsPerEngine), "--token-ms", std::to_string(tokenMs), "--cold-ms", "0", "--load-ms", "10"};
    plan.agentSettings = {{"capacity", slotsPerEngine}, {"cold_slots", slotsPerEngine}, {"ramp_step_ms", 50}, {"queue_limit", 8}};
    return plan;
}

Harness::CallPlan makeCall(uint64_t sequence)
{
    Harness::CallPlan call = Harness::completionCall(service, AK::concat("question ", sequence), false, tokensPerCall);
    call.deadlineMs = callDeadlineMs;
    return call;
}

// Two large accounts send 80% of the calls, eight small accounts the rest.
int accountOf(uint64_t sequence)
{
    return sequence % 10 < 8 ? static_cast<int>(sequence % largeAccounts) + 1 : static_cast<int>(sequence / 10 % smallAccounts) + largeAccounts + 1;
}

struct LoadResult {
    /// Calls completed within the deadline per second, as a share of the capacity.
    double goodput = 0;
    int incomplete = 0;
    double admittedP95Ms = 0;
    /// Share of the calls of small accounts that completed within the deadline.
    double smallAccountsCompleted = 0;
};

LoadResult summarize(const std::vector<Harness::CallRecord> &records, double seconds, const std::function<int(size_t)> &account)
{
    LoadResult result;
    std::vector<double> latencies;
    int smallAccountCalls = 0;
    int smallAccountCallsCompleted = 0;
    for (size_t i = 0; i < records.size(); ++i) {
        const Harness::CallRecord &record = records[i];
        const bool withinDeadline = record.complete && record.endedAt - record.startedAt <= callDeadlineMs;
        if (withinDeadline) {
            latencies.push_back(static_cast<double>(record.endedAt - record.startedAt));
        }
        result.incomplete += record.complete ? 0 : 1;
        if (account(i) > largeAccounts) {
            ++smallAccountCalls;
            smallAccountCallsCompleted += withinDeadline ? 1 : 0;
        }
    }
    result.goodput = static_cast<double>(latencies.size()) / seconds / capacityPerSecond();
    result.admittedP95Ms = percentile(latencies, 95);
    result.smallAccountsCompleted = smallAccountCalls == 0 ? 0 : static_cast<double>(smallAccountCallsCompleted) / smallAccountCalls;
    return result;
}

nlohmann::json describe(const LoadResult &result)
{
    return {{"goodput", result.goodput},
            {"refused_or_late", result.incomplete},
            {"admitted_p95_ms", result.admittedP95Ms},
            {"small_accounts_completed", result.smallAccountsCompleted}};
}

LoadResult measureSystem(Harness::Site &site, double factor, int seconds, uint64_t seed)
{
    Harness::LoadPlan plan;
    plan.callsPerSecond = capacityPerSecond() * factor;
    plan.threads = static_cast<int>(plan.callsPerSecond) + 16;
    plan.makeCall = &makeCall;
    plan.account = &accountOf;
    plan.seed = seed;
    Harness::Load load(site, plan);
    AK::SystemClock().sleep(seconds * 1000);
    const std::vector<Harness::CallRecord> records = load.finish();
    // The index stands for the sequence number: records are in order of start time, which differs only for calls started in the same millisecond.
    return summarize(records, seconds, [](size_t index) { return accountOf(index); });
}

LoadResult measureBaseline(Harness::Site &site, double factor, int seconds)
{
    std::vector<AK::Endpoint> upstreams;
    for (const std::string &agent : site.agents(service)) {
        upstreams.push_back(site.upstreamAddress(agent));
    }
    DirectLoad::Plan plan;
    plan.callsPerSecond = capacityPerSecond() * factor;
    plan.threads = static_cast<int>(plan.callsPerSecond) + 16;
    plan.makeCall = &makeCall;
    plan.upstreams = [upstreams] {
        return upstreams;
    };
    DirectLoad load(plan);
    AK::SystemClock().sleep(seconds * 1000);
    return summarize(load.finish(), seconds, [](size_t index) { return accountOf(index); });
}

} // namespace

nlohmann::json measureOverload(const MeasureContext &context)
{
    const int seconds = context.flags.number("seconds", 8);
    Harness::Site site(overloadPlan(context));
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    requireOk(site.waitServing(service, "1", settleLimitMs), "first load");
    nlohmann::json result{{"capacity_per_s", capacityPerSecond()}, {"processes", site.daemonNames().size()}};
    measureSystem(site, 1, 2, context.seed);
    for (const int factor : {1, 2, 4}) {
        std::cerr << "offered load " << factor << " x capacity\n";
        const LoadResult measured = measureSystem(site, factor, seconds, context.seed);
        const LoadResult baseline = measureBaseline(site, factor, seconds);
        result[AK::concat("goodput_", factor, "x")] = measured.goodput;
        result[AK::concat("load_", factor, "x")] = describe(measured);
        result[AK::concat("baseline_goodput_", factor, "x")] = baseline.goodput;
        result[AK::concat("baseline_load_", factor, "x")] = describe(baseline);
        std::cerr << describe(measured).dump() << " baseline " << describe(baseline).dump() << "\n";
    }
    result["goodput_ratio_4x_to_1x"] = result["goodput_4x"].get<double>() / std::max(0.001, result["goodput_1x"].get<double>());
    int64_t overload = 0;
    for (const std::string &agent : site.agents(service)) {
        overload += Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json::object()).value("cold_overload", int64_t{0});
    }
    result["cold_overload_after_baseline"] = overload;
    return result;
}
