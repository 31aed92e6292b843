#include "DirectLoad.h"
#include "Measurement.h"

#include <AK/Text.h>
#include <algorithm>
#include <iostream>

namespace
{

constexpr AK::Milliseconds settleLimitMs = 60'000;
constexpr AK::Milliseconds pollIntervalMs = 20;
constexpr double paymentWeight = 5;
constexpr size_t maxReasonBytes = 90;
const std::string service = "assistant";
const std::string plainService = "dossier-service";
const std::string domain = "brabant";

Harness::SitePlan domainPlan(const MeasureContext &context)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.domains = {{"antwerpen", "north"}, {"brabant", "north"}, {"limburg", "east"}};
    plan.services = {{service, true, 12},
                     {plainService,
                      false,
                      3,
                      {{{"method", "POST"}, {"path", "/payments"}, {"repeatable", false}}, {{"method", "GET"}, {"path", "/dossiers"}, {"repeatable", true}}}}};
    plan.logLevel = context.flags.text("log-level", "warning");
    plan.engineFlags = {"--slots", "4", "--cold-slots", "1", "--cold-ms", "1500", "--token-ms", "5", "--load-ms", "100"};
    // As operators configure it, a ramp step is longer than an engine stays cold.
    plan.agentSettings = {{"capacity", 4}, {"cold_slots", 1}, {"ramp_step_ms", 1600}};
    plan.plainFlags = {"--delay-ms", "10"};
    return plan;
}

// Of ten calls seven are completions, two are dossier lookups and one is a grant payment.
Harness::CallPlan makeCall(uint64_t sequence, const std::string &run)
{
    if (sequence % 10 < 7) {
        Harness::CallPlan call = Harness::completionCall(service, AK::concat("eligibility ", sequence), sequence % 2 == 0, 20);
        call.deadlineMs = 5'000;
        return call;
    }
    Harness::CallPlan call;
    call.deadlineMs = 5'000;
    const bool payment = sequence % 10 == 9;
    call.kind = payment ? "payment" : "lookup";
    call.repeatable = !payment;
    call.request.method = payment ? "POST" : "GET";
    call.request.path = AK::concat("/services/", plainService, payment ? "/payments" : "/dossiers/17");
    if (payment) {
        call.request.headers["idempotency-key"] = AK::concat(run, "-", sequence);
        call.request.body = AK::concat("{\"grant\":", sequence, "}");
    }
    return call;
}

double weightedCompletion(const std::vector<Harness::CallRecord> &records, AK::Milliseconds from, AK::Milliseconds until)
{
    double total = 0;
    double complete = 0;
    for (const Harness::CallRecord &record : records) {
        if (record.startedAt >= from && record.startedAt < until) {
            const double weight = record.kind == "payment" ? paymentWeight : 1;
            total += weight;
            complete += record.complete ? weight : 0;
        }
    }
    return total == 0 ? 0 : complete / total;
}

int64_t readStat(Harness::Site &site, const std::string &agent, const std::string &name)
{
    return Harness::getJson(site.upstreamAddress(agent), "/fake/stats").value_or(nlohmann::json::object()).value(name, int64_t{0});
}

std::vector<std::string> agentsIn(Harness::Site &site, bool inside, bool enginesOnly)
{
    std::vector<std::string> names;
    for (const std::string &name : {service, plainService}) {
        for (const std::string &agent : site.agents(name)) {
            if ((site.failureDomainOf(agent) == domain) == inside && (!enginesOnly || name == service)) {
                names.push_back(agent);
            }
        }
    }
    return names;
}

int64_t countDomainCalls(Harness::Site &site)
{
    int64_t calls = 0;
    for (const std::string &agent : agentsIn(site, true, false)) {
        calls += readStat(site, agent, agent.starts_with(service) ? "calls" : "executions");
    }
    return calls;
}

int64_t countColdOverload(Harness::Site &site)
{
    int64_t calls = 0;
    for (const std::string &agent : site.agents(service)) {
        calls += readStat(site, agent, "cold_overload");
    }
    return calls;
}

void setDomain(Harness::Site &site, bool inService)
{
    const auto revision = site.change([&](nlohmann::json &document) { document["failure_domains"][domain]["in_service"] = inService; }, "measurement");
    requireOk(revision.status(), "domain change");
}

// Takes the domain out of service and polls the number of calls to its upstreams for `duration` ms. Returns the time from the command to the last new call.
AK::Milliseconds lastCallAfterDomainOut(Harness::Site &site, AK::Milliseconds duration)
{
    const AK::SystemClock clock;
    const AK::Milliseconds start = clock.now();
    AK::Milliseconds last = 0;
    int64_t seen = countDomainCalls(site);
    setDomain(site, false);
    while (clock.now() - start < duration) {
        clock.sleep(pollIntervalMs);
        const int64_t calls = countDomainCalls(site);
        if (calls != seen) {
            last = clock.now() - start;
            seen = calls;
        }
    }
    return last;
}

struct DomainResult {
    double undisturbed = 0;
    double completed = 0;
    AK::Milliseconds lastCallAfterMs = 0;
    /// Calls with an attempt that broke after its connection was accepted.
    int cut = 0;
    int64_t coldOverloadCalls = 0;
    int64_t callsIntoDomainBefore = 0;
    size_t calls = 0;
    /// Calls that did not complete, by kind, status, outcome and start of the body of the last attempt.
    std::map<std::string, int> incomplete;
};

template <typename LoadType>
DomainResult measureDomainOutage(Harness::Site &site, LoadType &load, AK::Milliseconds phase)
{
    const AK::SystemClock clock;
    const int64_t overloadBefore = countColdOverload(site);
    const int64_t callsBefore = countDomainCalls(site);
    const AK::Milliseconds start = clock.now();
    clock.sleep(phase);
    const AK::Milliseconds out = clock.now();
    DomainResult result;
    result.callsIntoDomainBefore = countDomainCalls(site) - callsBefore;
    result.lastCallAfterMs = lastCallAfterDomainOut(site, phase);
    // Hosts that were out of service return with empty engines.
    for (const std::string &agent : agentsIn(site, true, true)) {
        requireOk(Harness::postJson(site.upstreamAddress(agent), "/fake/restart", nlohmann::json::object()).status(), "restart");
    }
    requireOk(site.waitServing(service, "1", settleLimitMs), "load after restart");
    setDomain(site, true);
    clock.sleep(phase);
    const AK::Milliseconds end = clock.now();
    const std::vector<Harness::CallRecord> records = load.finish();
    result.calls = records.size();
    result.undisturbed = weightedCompletion(records, start, out);
    result.completed = weightedCompletion(records, out, end);
    result.coldOverloadCalls = countColdOverload(site) - overloadBefore;
    for (const Harness::CallRecord &record : records) {
        if (!record.complete) {
            ++result.incomplete[AK::concat(record.kind, " ", record.status, " ", record.outcome, " ", record.body.substr(0, maxReasonBytes))];
        }
    }
    result.cut = static_cast<int>(std::ranges::count_if(records, [](const Harness::CallRecord &record) { return record.cut; }));
    return result;
}

DomainResult measureSystem(Harness::Site &site, const MeasureContext &context, double rate, AK::Milliseconds phase)
{
    Harness::LoadPlan plan;
    plan.callsPerSecond = rate;
    plan.makeCall = [](uint64_t sequence) {
        return makeCall(sequence, "ours");
    };
    plan.account = [](uint64_t sequence) {
        return static_cast<int>(sequence % 10) + 1;
    };
    plan.seed = context.seed;
    Harness::Load load(site, plan);
    return measureDomainOutage(site, load, phase);
}

// Baseline: round robin over the upstreams whose domain is in service, according to a configuration document that is polled each second.
DomainResult measureBaseline(Harness::Site &site, double rate, AK::Milliseconds phase)
{
    std::atomic<bool> inService{true};
    std::atomic<bool> stopping{false};
    std::thread poller([&] {
        while (!stopping) {
            const auto object = Harness::getJson(site.objectApi(), "/objects/config/costilla-luz");
            if (object.ok()) {
                inService = (*object)["value"]["document"]["failure_domains"][domain].value("in_service", true);
            }
            AK::SystemClock().sleep(1'000);
        }
    });
    std::vector<AK::Endpoint> otherDomains;
    std::vector<AK::Endpoint> all;
    for (const std::string &agent : site.agents(service)) {
        all.push_back(site.upstreamAddress(agent));
        if (site.failureDomainOf(agent) != domain) {
            otherDomains.push_back(all.back());
        }
    }
    DirectLoad::Plan plan;
    plan.callsPerSecond = rate * 0.7;
    plan.makeCall = [](uint64_t sequence) {
        return makeCall(sequence / 7 * 10 + sequence % 7, "baseline");
    };
    plan.upstreams = [&] {
        return inService ? all : otherDomains;
    };
    plan.retryAllFailures = false;
    DirectLoad load(plan);
    DomainResult result = measureDomainOutage(site, load, phase);
    stopping = true;
    poller.join();
    return result;
}

nlohmann::json describe(const DomainResult &result)
{
    return {{"completed_weighted", result.completed},
            {"undisturbed_weighted", result.undisturbed},
            {"ratio_to_undisturbed", result.undisturbed == 0 ? 0 : result.completed / result.undisturbed},
            {"new_work_after_ms", result.lastCallAfterMs},
            {"cut_requests", result.cut},
            {"cold_overload", result.coldOverloadCalls},
            {"domain_calls_before", result.callsIntoDomainBefore},
            {"calls", result.calls},
            {"incomplete", result.incomplete}};
}

} // namespace

nlohmann::json measureDomain(const MeasureContext &context)
{
    const AK::Milliseconds phase = context.flags.number("seconds", 8) * 1000;
    const double rate = context.flags.number("rate", 60);
    Harness::Site site(domainPlan(context));
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    requireOk(site.waitServing(service, "1", settleLimitMs), "first load");
    AK::SystemClock().sleep(5'000);
    nlohmann::json result = describe(measureSystem(site, context, rate, phase));
    std::cerr << "ours " << result.dump() << "\n";
    const nlohmann::json baseline = describe(measureBaseline(site, rate, phase));
    for (const auto &[name, value] : baseline.items()) {
        result["baseline_" + name] = value;
    }
    result["processes"] = site.daemonNames().size();
    return result;
}
