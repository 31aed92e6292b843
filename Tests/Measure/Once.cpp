#include "DirectCaller.h"
#include "Measurement.h"

#include <AK/Text.h>
#include <algorithm>
#include <csignal>
#include <iostream>
#include <set>

namespace
{

constexpr AK::Milliseconds settleMs = 3'000;
constexpr AK::Milliseconds callDeadlineMs = 4'000;
// Every fifth call is sent again with the same key, at whatever entry the second caller uses.
constexpr uint64_t repeatEvery = 5;
const std::string desk = "order-desk";

Harness::SitePlan oncePlan(const MeasureContext &context)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.services = {{desk, false, 3, {{{"method", "POST"}, {"path", "/shipments"}, {"repeatable", false}}}}};
    plan.plainFlags = {"--delay-ms", "20"};
    plan.logLevel = "warning";
    plan.entrySettings = {{"claims_per_second", 200}};
    plan.agentSettings = {{"cold_slots", 8}, {"ramp_step_ms", 100}};
    return plan;
}

Harness::CallPlan shipment(uint64_t sequence, const std::string &run)
{
    const uint64_t order = sequence % repeatEvery == 0 && sequence > 0 ? sequence - 1 : sequence;
    Harness::CallPlan call;
    call.kind = "shipment";
    call.repeatable = false;
    call.deadlineMs = callDeadlineMs;
    call.request.method = "POST";
    call.request.path = AK::concat("/services/", desk, "/shipments/confirm");
    call.request.headers["idempotency-key"] = AK::concat(run, "-", order);
    call.request.body = AK::concat("{\"order\":", order, "}");
    return call;
}

void setFault(const AK::Endpoint &target, const nlohmann::json &fault)
{
    requireOk(Harness::postJson(target, "/fake/fault", fault).status(), "fault");
}

void setUpstreamFault(Harness::Site &site, const std::string &mode)
{
    for (const std::string &agent : site.agents(desk)) {
        setFault(site.upstreamAddress(agent), {{"mode", mode}});
    }
}

// One round of faults: the store loses answers, is slow, is down; upstreams cut after the run; an entry is killed, one is paused.
void injectFaults(Harness::Site &site, AK::Milliseconds step)
{
    const AK::SystemClock clock;
    for (const nlohmann::json &fault :
         {nlohmann::json{{"mode", "lose_answers"}, {"share", 0.5}}, nlohmann::json{{"mode", "slow"}, {"share", 0.7}, {"delay_ms", 1'200}},
          nlohmann::json{{"mode", "down"}}, nlohmann::json{{"mode", "stale"}, {"share", 0.5}}}) {
        setFault(site.objectApi(), fault);
        clock.sleep(step);
        setFault(site.objectApi(), {{"mode", "none"}});
        clock.sleep(step / 4);
    }
    setUpstreamFault(site, "cut_after_run");
    clock.sleep(step / 2);
    setUpstreamFault(site, "cut_before_run");
    clock.sleep(step / 2);
    setUpstreamFault(site, "none");
    site.process("entry-2").kill();
    site.process("entry-3").signal(SIGSTOP);
    clock.sleep(step);
    site.process("entry-3").signal(SIGCONT);
    site.startDaemon("entry-2");
    site.process(desk + "-1").kill();
    clock.sleep(step);
    site.startDaemon(desk + "-1");
    clock.sleep(step);
}

std::map<std::string, int> executionsByKey(Harness::Site &site)
{
    std::map<std::string, int> executions;
    for (const std::string &agent : site.agents(desk)) {
        const auto counts = Harness::getJson(site.upstreamAddress(agent), "/fake/executions");
        requireOk(counts.status(), "executions");
        for (const auto &[key, count] : counts->items()) {
            executions[key] += count.get<int>();
        }
    }
    return executions;
}

struct OnceResult {
    size_t calls = 0;
    int attempts = 0;
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    int executedTwice = 0;
    int falseNotRun = 0;
    int doneWithoutRun = 0;
};

OnceResult judge(const std::vector<Harness::CallRecord> &records, const std::map<std::string, int> &executions, const std::string &run)
{
    OnceResult result;
    result.calls = records.size();
    std::map<std::string, std::set<std::string>> outcomes;
    for (const Harness::CallRecord &record : records) {
        result.attempts += record.attempts;
        const std::string outcome = record.complete ? "done" : record.outcome;
        result.done += outcome == "done" ? 1 : 0;
        result.notRun += outcome == "not_run" ? 1 : 0;
        result.unknown += outcome != "done" && outcome != "not_run" ? 1 : 0;
        outcomes[record.idempotencyKey].insert(outcome);
    }
    for (const auto &[key, told] : outcomes) {
        const auto found = executions.find(key);
        const int times = found == executions.end() ? 0 : found->second;
        // Calls with the same key share one execution, so only a key whose every call was told "not run" must not have run.
        result.falseNotRun += told == std::set<std::string>{"not_run"} && times > 0 ? 1 : 0;
        result.doneWithoutRun += told.contains("done") && times == 0 ? 1 : 0;
    }
    for (const auto &[key, times] : executions) {
        result.executedTwice += key.starts_with(run) && times > 1 ? 1 : 0;
    }
    return result;
}

nlohmann::json describe(const OnceResult &result)
{
    return {{"calls", result.calls},
            {"attempts", result.attempts},
            {"outcome_done", result.done},
            {"outcome_not_run", result.notRun},
            {"outcome_unknown", result.unknown},
            {"executed_twice", result.executedTwice},
            {"false_not_run", result.falseNotRun},
            {"done_without_run", result.doneWithoutRun}};
}

OnceResult measureOurs(Harness::Site &site, const MeasureContext &context, double rate, int rounds, AK::Milliseconds step)
{
    Harness::LoadPlan plan;
    plan.callsPerSecond = rate;
    plan.threads = 128;
    plan.seed = context.seed;
    plan.makeCall = [](uint64_t sequence) {
        return shipment(sequence, "ours");
    };
    Harness::Load load(site, plan);
    for (int round = 0; round < rounds; ++round) {
        std::cerr << "round " << round + 1 << "\n";
        injectFaults(site, step);
    }
    return judge(load.finish(), executionsByKey(site), "ours");
}

// A caller that sends again after any failure, straight to the upstreams, which count keys but do not check them.
OnceResult measureBaseline(Harness::Site &site, double rate, AK::Milliseconds step)
{
    std::vector<AK::Endpoint> upstreams;
    for (const std::string &agent : site.agents(desk)) {
        upstreams.push_back(site.upstreamAddress(agent));
    }
    DirectLoad::Plan plan;
    plan.callsPerSecond = rate;
    plan.makeCall = [](uint64_t sequence) {
        return shipment(sequence, "baseline");
    };
    plan.upstreams = [upstreams] {
        return upstreams;
    };
    DirectLoad load(plan);
    const AK::SystemClock clock;
    clock.sleep(step);
    setUpstreamFault(site, "cut_after_run");
    clock.sleep(step / 2);
    setUpstreamFault(site, "none");
    clock.sleep(step);
    return judge(load.finish(), executionsByKey(site), "baseline");
}

} // namespace

nlohmann::json measureOnce(const MeasureContext &context)
{
    const double rate = context.flags.number("rate", 60);
    const AK::Milliseconds step = context.flags.number("step-ms", 2'000);
    Harness::Site site(oncePlan(context));
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    AK::SystemClock().sleep(settleMs);
    nlohmann::json result = describe(measureOurs(site, context, rate, context.flags.number("rounds", 2), step));
    std::cerr << "ours " << result.dump() << "\n";
    const nlohmann::json baseline = describe(measureBaseline(site, rate, step));
    for (const auto &[name, value] : baseline.items()) {
        result["baseline_" + name] = value;
    }
    result["processes"] = site.daemonNames().size();
    return result;
}
