#include "Measurement.h"

#include <AK/Text.h>
#include <Harness/EventLog.h>
#include <LibHttp/HttpClient.h>
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace
{

constexpr AK::Milliseconds inForceLimitMs = 30'000;
constexpr AK::Milliseconds pollIntervalMs = 1'000;
constexpr int quietSeconds = 5;

struct SpreadResult {
    int processes = 0;
    std::vector<double> inForceMs;
    int reversions = 0;
    double storeCallsPerSecond = 0;
    double baselineCallsPerSecond = 0;
    std::vector<double> baselineInForceMs;
};

Harness::SitePlan spreadPlan(const MeasureContext &context, int processes)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.domains = {{"d1", "r1"}, {"d2", "r1"}, {"d3", "r1"}, {"d4", "r2"}, {"d5", "r2"}, {"d6", "r2"}};
    const nlohmann::json routes{{{"method", "GET"}, {"path", "/"}, {"repeatable", true}}};
    plan.services = {{"counter-portal", false, processes - plan.entries, routes}};
    return plan;
}

double storeCalls(Harness::Site &site)
{
    const auto stats = Harness::getJson(site.objectApi(), "/fake/stats");
    return stats.ok() ? stats->value("calls", 0.0) : 0;
}

// Applies one change and adds the time at which each process had it in force, from the acceptance on.
void measureChange(Harness::Site &site, int number, SpreadResult &result)
{
    const AK::SystemClock clock;
    const auto revision =
        site.change([&](nlohmann::json &document) { document["accounts"]["account-1"]["weight"] = number % 100 + 1; }, AK::concat("change ", number));
    requireOk(revision.status(), "change");
    const AK::Milliseconds accepted = clock.wallTime();
    requireOk(site.waitForRevision(*revision, inForceLimitMs), "spread");
    for (const std::string &name : site.daemonNames()) {
        for (const nlohmann::json &event : Harness::readEvents(AK::concat(site.folder(), "/", name, ".log"), "revision_in_force")) {
            if (event.value("revision", uint64_t{0}) >= *revision) {
                // The acceptance is known here a little after the first processes have the revision.
                result.inForceMs.push_back(std::max(0.0, event.value("time_ms", 0.0) - static_cast<double>(accepted)));
                break;
            }
        }
    }
}

// A process that goes back shows a smaller revision after a greater one in its log, also across a restart.
int countReversions(Harness::Site &site)
{
    int reversions = 0;
    for (const std::string &name : site.daemonNames()) {
        uint64_t greatest = 0;
        for (const nlohmann::json &event : Harness::readEvents(AK::concat(site.folder(), "/", name, ".log"), "revision_in_force")) {
            const uint64_t revision = event.value("revision", uint64_t{0});
            reversions += revision < greatest ? 1 : 0;
            greatest = std::max(greatest, revision);
        }
    }
    return reversions;
}

void setStoreFault(Harness::Site &site, const std::string &mode)
{
    requireOk(Harness::postJson(site.objectApi(), "/fake/fault", {{"mode", mode}, {"share", 1.0}, {"delay_ms", 300}}).status(), "fault");
}

// Restarts processes while the store is down, stale and loses answers; each must come up with the newest revision.
void disturb(Harness::Site &site, uint64_t revision)
{
    for (const char *mode : {"down", "stale", "lose_answers"}) {
        setStoreFault(site, mode);
        for (const std::string &name : {std::string("entry-2"), std::string("counter-portal-1")}) {
            site.process(name).kill();
            site.startDaemon(name);
        }
        requireOk(site.waitForRevision(revision, inForceLimitMs), AK::concat("restart while the store is in mode ", mode));
    }
    setStoreFault(site, "none");
}

// Every process of a fleet asks the store each second.
void measureBaseline(Harness::Site &site, int processes, int changes, SpreadResult &result)
{
    const AK::SystemClock clock;
    std::atomic<bool> stopping{false};
    std::atomic<int64_t> changedAt{0};
    std::mutex mutex;
    std::vector<std::thread> pollers;
    for (int i = 0; i < processes; ++i) {
        pollers.emplace_back([&, i] {
            clock.sleep(pollIntervalMs * i / processes);
            uint64_t seen = 0;
            while (!stopping) {
                const auto object = Harness::getJson(site.objectApi(), "/objects/config/costilla-luz");
                const uint64_t version = object.ok() ? object->value("version", uint64_t{0}) : seen;
                if (seen != 0 && version > seen) {
                    const std::lock_guard lock(mutex);
                    result.baselineInForceMs.push_back(static_cast<double>(clock.now() - changedAt));
                }
                seen = std::max(seen, version);
                clock.sleep(pollIntervalMs);
            }
        });
    }
    clock.sleep(2 * pollIntervalMs);
    const double before = storeCalls(site);
    const AK::Milliseconds start = clock.now();
    for (int i = 0; i < changes; ++i) {
        changedAt = clock.now();
        requireOk(site.change([&](nlohmann::json &document) { document["accounts"]["account-2"]["weight"] = i % 100 + 2; }, "baseline").status(), "change");
        clock.sleep(2 * pollIntervalMs);
    }
    result.baselineCallsPerSecond = (storeCalls(site) - before) * 1000 / static_cast<double>(clock.now() - start);
    stopping = true;
    for (std::thread &poller : pollers) {
        poller.join();
    }
}

SpreadResult measureFleet(const MeasureContext &context, int processes, int changes)
{
    Harness::Site site(spreadPlan(context, processes));
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    SpreadResult result;
    result.processes = processes;
    const AK::SystemClock clock;
    clock.sleep(2'000);
    const double before = storeCalls(site);
    clock.sleep(quietSeconds * 1000);
    result.storeCallsPerSecond = (storeCalls(site) - before) / quietSeconds;
    for (int i = 1; i <= changes; ++i) {
        measureChange(site, i, result);
    }
    disturb(site, static_cast<uint64_t>(changes) + 1);
    result.reversions = countReversions(site);
    measureBaseline(site, processes, 3, result);
    return result;
}

} // namespace

nlohmann::json measureConfig(const MeasureContext &context)
{
    nlohmann::json result;
    std::vector<double> all;
    std::vector<double> baseline;
    int reversions = 0;
    for (const int processes : context.flags.numbers("sizes", {12, 24, 48, 96})) {
        std::cerr << "measuring " << processes << " processes\n";
        const SpreadResult point = measureFleet(context, processes, context.flags.number("changes", 10));
        all.insert(all.end(), point.inForceMs.begin(), point.inForceMs.end());
        baseline.insert(baseline.end(), point.baselineInForceMs.begin(), point.baselineInForceMs.end());
        reversions += point.reversions;
        result["points"].push_back({{"processes", processes},
                                    {"in_force_ms_p50", percentile(point.inForceMs, 50)},
                                    {"in_force_ms_max", percentile(point.inForceMs, 100)},
                                    {"store_calls_per_s", point.storeCallsPerSecond},
                                    {"reversions", point.reversions},
                                    {"baseline_store_calls_per_s", point.baselineCallsPerSecond},
                                    {"baseline_in_force_ms_max", percentile(point.baselineInForceMs, 100)}});
        result["store_calls_per_s"][std::to_string(processes)] = point.storeCallsPerSecond;
        std::cerr << result["points"].back().dump() << "\n";
    }
    result["in_force_ms_p50"] = percentile(all, 50);
    result["in_force_ms_max"] = percentile(all, 100);
    result["baseline_in_force_ms_p50"] = percentile(baseline, 50);
    result["baseline_in_force_ms_max"] = percentile(baseline, 100);
    result["reversions"] = reversions;
    return result;
}
