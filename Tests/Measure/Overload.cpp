#include "DirectCaller.h"
#include "Measurement.h"

#include <AK/Text.h>
#include <iostream>

namespace
{

constexpr int workers = 4;
constexpr int slotsPerWorker = 4;
constexpr int tokens = 10;
constexpr int tokenMs = 10;
constexpr AK::Milliseconds settleLimitMs = 30'000;
constexpr AK::Milliseconds callDeadlineMs = 1'000;
constexpr int largeAccounts = 2;
constexpr int smallAccounts = 8;
const std::string service = "assistant";

double capacityPerSecond()
{
    return workers * slotsPerWorker * 1000.0 / (tokens * tokenMs);
}

Harness::SitePlan overloadPlan(const MeasureContext &context)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.services = {{service, true, workers}};
    plan.logLevel = "warning";
    plan.engineFlags = {"--slots", std::to_string(slotsPerWorker), "--token-ms", std::to_string(tokenMs), "--cold-ms", "0", "--load-ms", "10"};
    plan.agentSettings = {{"capacity", slotsPerWorker}, {"cold_slots", slotsPerWorker}, {"ramp_step_ms", 50}, {"queue_limit", 8}};
    return plan;
}

Harness::CallPlan makeCall(uint64_t sequence)
{
    Harness::CallPlan call = Harness::completionCall(service, AK::concat("question ", sequence), false, tokens);
    call.deadlineMs = callDeadlineMs;
    return call;
}

// Two large accounts send 80% of the calls, eight small ones the rest.
int accountOf(uint64_t sequence)
{
    return sequence % 10 < 8 ? static_cast<int>(sequence % largeAccounts) + 1 : static_cast<int>(sequence / 10 % smallAccounts) + largeAccounts + 1;
}

struct LoadResult {
    double goodput = 0;
    int refusals = 0;
    double admittedP95Ms = 0;
    double smallAccountsCompleted = 0;
};

LoadResult summarize(const std::vector<Harness::CallRecord> &records, double seconds, const std::function<int(size_t)> &account)
{
    LoadResult result;
    std::vector<double> latencies;
    int small = 0;
    int smallComplete = 0;
    for (size_t i = 0; i < records.size(); ++i) {
        const Harness::CallRecord &record = records[i];
        const bool timely = record.complete && record.endedAt - record.startedAt <= callDeadlineMs;
        if (timely) {
            latencies.push_back(static_cast<double>(record.endedAt - record.startedAt));
        }
        result.refusals += record.complete ? 0 : 1;
        if (account(i) > largeAccounts) {
            ++small;
            smallComplete += timely ? 1 : 0;
        }
    }
    result.goodput = static_cast<double>(latencies.size()) / seconds / capacityPerSecond();
    result.admittedP95Ms = percentile(latencies, 95);
    result.smallAccountsCompleted = small == 0 ? 0 : static_cast<double>(smallComplete) / small;
    return result;
}

nlohmann::json describe(const LoadResult &result)
{
    return {{"goodput", result.goodput},
            {"refused_or_late", result.refusals},
            {"admitted_p95_ms", result.admittedP95Ms},
            {"small_accounts_completed", result.smallAccountsCompleted}};
}

LoadResult measureOurs(Harness::Site &site, double factor, int seconds, uint64_t seed)
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
    // Records are in order of start, which is the order of their sequence numbers but for calls in the same millisecond.
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
    measureOurs(site, 1, 2, context.seed);
    for (const int factor : {1, 2, 4}) {
        std::cerr << "offered load " << factor << " x capacity\n";
        const LoadResult ours = measureOurs(site, factor, seconds, context.seed);
        const LoadResult baseline = measureBaseline(site, factor, seconds);
        result[AK::concat("goodput_", factor, "x")] = ours.goodput;
        result[AK::concat("load_", factor, "x")] = describe(ours);
        result[AK::concat("baseline_goodput_", factor, "x")] = baseline.goodput;
        result[AK::concat("baseline_load_", factor, "x")] = describe(baseline);
        std::cerr << describe(ours).dump() << " baseline " << describe(baseline).dump() << "\n";
    }
    result["goodput_ratio_4x_to_1x"] = result["goodput_4x"].get<double>() / std::max(0.001, result["goodput_1x"].get<double>());
    int64_t overload = 0;
    for (const std::string &agent : site.agents(service)) {
        overload += Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json::object()).value("cold_overload", int64_t{0});
    }
    result["cold_overload_after_baseline"] = overload;
    return result;
}
