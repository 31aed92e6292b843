#include "Measurement.h"

#include <AK/Text.h>
#include <Harness/EventLog.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <set>
#include <thread>

namespace
{

constexpr AK::Milliseconds inForceLimitMs = 30'000;
constexpr AK::Milliseconds pollIntervalMs = 1'000;
constexpr int idleSeconds = 5;

struct PropagationResult {
    int processes = 0;
    std::vector<double> inForceMs;
    int reversions = 0;
    double storeCallsPerSecond = 0;
    double baselineCallsPerSecond = 0;
    std::vector<double> baselineInForceMs;
    double suspectKnownMs = 0;
    double deadKnownMs = 0;
    double leavingKnownMs = 0;
};

Harness::SitePlan propagationPlan(const MeasureContext &context, int processes)
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

// Applies one change and adds the time until it was in force for each process, measured from sending it. Returns the revision.
uint64_t measureChange(Harness::Site &site, int number, PropagationResult &result)
{
    const AK::SystemClock clock;
    // The response to the change arrives only after the first processes have the revision, so times are measured from sending it.
    const AK::Milliseconds sentAt = clock.wallTime();
    const auto revision =
        site.change([&](nlohmann::json &document) { document["accounts"]["account-1"]["weight"] = number % 100 + 1; }, AK::concat("change ", number));
    requireOk(revision.status(), "change");
    requireOk(site.waitForRevision(*revision, inForceLimitMs), "spread");
    for (const std::string &name : site.daemonNames()) {
        const std::string log = AK::concat(site.folder(), "/", name, ".log");
        double at = 0;
        // The log line is written shortly after the revision is in force.
        const bool logged = Harness::waitUntil(inForceLimitMs, [&] {
            const auto events = Harness::readEvents(log, "revision_in_force");
            const auto reached = std::ranges::find_if(events, [&](const nlohmann::json &event) { return event.value("revision", uint64_t{0}) >= *revision; });
            at = reached == events.end() ? 0 : reached->value("time_ms", 0.0);
            return at > 0;
        });
        requireOk(logged ? absl::OkStatus() : absl::DataLossError(AK::concat("revision ", *revision, " is missing in ", log)), "spread");
        result.inForceMs.push_back(at - static_cast<double>(sentAt));
    }
    return *revision;
}

// Counts how often the log of a process shows a lower revision after a higher one, including after a restart.
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

// Restarts processes while the store is down, returns stale objects or loses responses; each must start with the newest revision.
void restartDuringStoreFaults(Harness::Site &site, uint64_t revision)
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

// Time in ms from `since` until every entry shows one of the given statuses for a member or no longer lists it.
double waitForStatus(Harness::Site &site, const std::string &member, const std::set<std::string> &statuses, AK::Milliseconds since)
{
    const AK::SystemClock clock;
    const auto shown = [&](int entry) {
        const auto view = site.status(site.entryAddress(entry));
        return view.ok() && std::ranges::all_of(view->at("members"), [&](const nlohmann::json &row) {
                   return row.value("name", "") != member || statuses.contains(row.value("status", ""));
               });
    };
    for (int entry = 1; entry <= site.plan().entries; ++entry) {
        const bool reached = Harness::waitUntil(inForceLimitMs, [&] { return shown(entry); });
        requireOk(reached ? absl::OkStatus() : absl::DeadlineExceededError(AK::concat("entry-", entry, " does not show the expected status of ", member)),
                  "status");
    }
    return static_cast<double>(clock.now() - since);
}

// Kills one member and stops another one gracefully.
void measureMembers(Harness::Site &site, PropagationResult &result)
{
    const AK::SystemClock clock;
    const std::string killed = "counter-portal-1";
    const std::string leaving = "counter-portal-2";
    AK::Milliseconds start = clock.now();
    site.process(killed).kill();
    result.suspectKnownMs = waitForStatus(site, killed, {"suspect", "dead"}, start);
    result.deadKnownMs = waitForStatus(site, killed, {"dead"}, start);
    start = clock.now();
    site.process(leaving).signal(SIGTERM);
    result.leavingKnownMs = waitForStatus(site, leaving, {"leaving", "suspect", "dead"}, start);
}

// Baseline without gossip: every process of the fleet polls the store each second.
void measureBaseline(Harness::Site &site, int processes, int changes, PropagationResult &result)
{
    const AK::SystemClock clock;
    std::atomic<bool> stopping{false};
    std::atomic<int64_t> changedAt{0};
    std::atomic<int> polls{0};
    std::mutex mutex;
    std::vector<std::thread> pollers;
    pollers.reserve(static_cast<size_t>(processes));
    for (int i = 0; i < processes; ++i) {
        pollers.emplace_back([&, i] {
            clock.sleep(pollIntervalMs * i / processes);
            uint64_t seen = 0;
            while (!stopping) {
                ++polls;
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
    const int before = polls;
    const AK::Milliseconds start = clock.now();
    for (int i = 0; i < changes; ++i) {
        changedAt = clock.now();
        requireOk(site.change([&](nlohmann::json &document) { document["accounts"]["account-2"]["weight"] = i % 100 + 2; }, "baseline").status(), "change");
        clock.sleep(2 * pollIntervalMs);
    }
    result.baselineCallsPerSecond = (polls - before) * 1000.0 / static_cast<double>(clock.now() - start);
    stopping = true;
    for (std::thread &poller : pollers) {
        poller.join();
    }
}

PropagationResult measureFleet(const MeasureContext &context, int processes, int changes)
{
    Harness::Site site(propagationPlan(context, processes));
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    PropagationResult result;
    result.processes = processes;
    const AK::SystemClock clock;
    clock.sleep(2'000);
    const double before = storeCalls(site);
    clock.sleep(idleSeconds * 1000);
    result.storeCallsPerSecond = (storeCalls(site) - before) / idleSeconds;
    uint64_t revision = 1;
    for (int i = 1; i <= changes; ++i) {
        revision = measureChange(site, i, result);
    }
    restartDuringStoreFaults(site, revision);
    measureMembers(site, result);
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
        const PropagationResult point = measureFleet(context, processes, context.flags.number("changes", 10));
        all.insert(all.end(), point.inForceMs.begin(), point.inForceMs.end());
        baseline.insert(baseline.end(), point.baselineInForceMs.begin(), point.baselineInForceMs.end());
        reversions += point.reversions;
        result["points"].push_back({{"processes", processes},
                                    {"in_force_ms_p50", percentile(point.inForceMs, 50)},
                                    {"in_force_ms_max", percentile(point.inForceMs, 100)},
                                    {"store_calls_per_s", point.storeCallsPerSecond},
                                    {"reversions", point.reversions},
                                    {"suspect_known_ms", point.suspectKnownMs},
                                    {"dead_known_ms", point.deadKnownMs},
                                    {"leaving_known_ms", point.leavingKnownMs},
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
