#include "DirectLoad.h"
#include "Measurement.h"

#include <AK/Text.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <set>

namespace
{

constexpr AK::Milliseconds settleMs = 3'000;
constexpr AK::Milliseconds timelineBucketMs = 1'000;
constexpr AK::Milliseconds callDeadlineMs = 4'000;
// Every fifth call repeats the previous one with the same key; its caller may use another entry.
constexpr uint64_t repeatEvery = 5;
const std::string plainService = "order-desk";

Harness::SitePlan oncePlan(const MeasureContext &context)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.services = {{plainService, false, 3, {{{"method", "POST"}, {"path", "/shipments"}, {"repeatable", false}}}}};
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
    call.request.path = AK::concat("/services/", plainService, "/shipments/confirm");
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
    for (const std::string &agent : site.agents(plainService)) {
        setFault(site.upstreamAddress(agent), {{"mode", mode}});
    }
}

// One round of faults: the store loses responses, is slow, is down and returns stale objects; upstreams cut the connection after and before running the call;
// one entry is killed and another one paused; an agent is killed.
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
    site.process(plainService + "-1").kill();
    clock.sleep(step);
    site.startDaemon(plainService + "-1");
    clock.sleep(step);
}

/// Calls that the upstreams have executed.
struct Executions {
    /// Number of executions by idempotency key.
    std::map<std::string, int> byKey;
    std::set<std::string> requestIds;
};

Executions executionsOf(Harness::Site &site)
{
    // A call whose caller has timed out may still reach an upstream.
    AK::SystemClock().sleep(settleMs);
    Executions executions;
    for (const std::string &agent : site.agents(plainService)) {
        const auto counts = Harness::getJson(site.upstreamAddress(agent), "/fake/executions");
        requireOk(counts.status(), "executions");
        for (const auto &[key, count] : counts->items()) {
            executions.byKey[key] += count.get<int>();
        }
        const auto requests = Harness::getJson(site.upstreamAddress(agent), "/fake/requests");
        requireOk(requests.status(), "requests");
        for (const nlohmann::json &requestId : requests->at("executed")) {
            executions.requestIds.insert(requestId.get<std::string>());
        }
    }
    return executions;
}

// Why a call ended without a known outcome, as the entry reports it.
std::string causeOf(const Harness::CallRecord &record)
{
    if (record.status == 0) {
        return "no answer from the entry";
    }
    const nlohmann::json body = nlohmann::json::parse(record.body, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
        return AK::concat("status ", record.status);
    }
    const nlohmann::json &error = body["error"];
    if (error.is_object()) {
        // The message is "upstream order-desk-2: what happened". Names and addresses are cut off, else each upstream would count as a separate cause.
        const std::string message = error.value("message", "");
        const size_t name = message.find(": ");
        const std::string what = name == std::string::npos ? message : message.substr(name + 2);
        return AK::concat("dispatched: ", error.value("reason", ""), ": ", what.substr(0, what.find_first_of("0123456789")));
    }
    return error.is_string() ? error.get<std::string>() : "no reason";
}

// Prints the outcomes by start time of the calls, which shows the fault that caused them.
void printTimeline(const std::vector<Harness::CallRecord> &records)
{
    std::map<AK::Milliseconds, std::map<std::string, int>> buckets;
    for (const Harness::CallRecord &record : records) {
        const std::string outcome = record.complete ? "done" : record.outcome == "not_run" ? "not_run" : causeOf(record);
        ++buckets[(record.startedAt - records.front().startedAt) / timelineBucketMs][outcome];
    }
    for (const auto &[bucket, outcomes] : buckets) {
        std::cerr << bucket * timelineBucketMs << " ms " << nlohmann::json(outcomes).dump() << "\n";
    }
}

struct OnceResult {
    size_t calls = 0;
    int attempts = 0;
    int done = 0;
    int notRun = 0;
    int unknown = 0;
    int executedTwice = 0;
    /// Calls reported as not run that were executed.
    int falseNotRun = 0;
    /// Keys reported as done that were not executed.
    int doneWithoutRun = 0;
    /// Unknown outcomes by cause.
    std::map<std::string, int> causes;
};

OnceResult summarizeOutcomes(const std::vector<Harness::CallRecord> &records, const Executions &executions, const std::string &run)
{
    OnceResult result;
    result.calls = records.size();
    std::map<std::string, std::set<std::string>> outcomes;
    for (const Harness::CallRecord &record : records) {
        result.attempts += record.attempts;
        const std::string outcome = record.complete ? "done" : record.outcome;
        result.done += outcome == "done" ? 1 : 0;
        result.notRun += outcome == "not_run" ? 1 : 0;
        if (outcome != "done" && outcome != "not_run") {
            ++result.unknown;
            ++result.causes[causeOf(record)];
        }
        for (const std::string &requestId : record.notRunRequestIds) {
            result.falseNotRun += executions.requestIds.contains(requestId) ? 1 : 0;
        }
        outcomes[record.idempotencyKey].insert(outcome);
    }
    for (const auto &[key, keyOutcomes] : outcomes) {
        const auto found = executions.byKey.find(key);
        const int executionCount = found == executions.byKey.end() ? 0 : found->second;
        // A key for which all calls reported "not run" must not have been executed. For keys with mixed outcomes the check of request ids above applies.
        result.falseNotRun += keyOutcomes == std::set<std::string>{"not_run"} && executionCount > 0 ? 1 : 0;
        result.doneWithoutRun += keyOutcomes.contains("done") && executionCount == 0 ? 1 : 0;
    }
    for (const auto &[key, executionCount] : executions.byKey) {
        result.executedTwice += key.starts_with(run) && executionCount > 1 ? 1 : 0;
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
            {"done_without_run", result.doneWithoutRun},
            {"unknown_causes", result.causes}};
}

OnceResult measureSystem(Harness::Site &site, const MeasureContext &context, double rate, int rounds, AK::Milliseconds step)
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
    const std::vector<Harness::CallRecord> records = load.finish();
    printTimeline(records);
    return summarizeOutcomes(records, executionsOf(site), "ours");
}

// Baseline: a caller that retries after any failure, directly at the upstreams, which count executions by key but do not reject repeated keys.
OnceResult measureBaseline(Harness::Site &site, double rate, AK::Milliseconds step)
{
    std::vector<AK::Endpoint> upstreams;
    for (const std::string &agent : site.agents(plainService)) {
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
    const std::vector<Harness::CallRecord> records = load.finish();
    return summarizeOutcomes(records, executionsOf(site), "baseline");
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
    nlohmann::json result = describe(measureSystem(site, context, rate, context.flags.number("rounds", 2), step));
    std::cerr << "ours " << result.dump() << "\n";
    const nlohmann::json baseline = describe(measureBaseline(site, rate, step));
    for (const auto &[name, value] : baseline.items()) {
        result["baseline_" + name] = value;
    }
    std::array<double, 1> load{};
    if (::getloadavg(load.data(), 1) == 1) {
        result["load_average"] = load[0];
    }
    result["processes"] = site.daemonNames().size();
    return result;
}
