#include "Measurement.h"

#include <AK/Text.h>
#include <bit>
#include <iostream>
#include <thread>

namespace
{

constexpr AK::Milliseconds settleLimitMs = 60'000;
constexpr int entryFleet = 370;
constexpr int agentFleet = 900;
// As many as an entry admits at once by default.
constexpr int concurrentCalls = 176;

/// Means over the processes of one role.
struct RolePoint {
    double coreShare = 0;
    double residentMb = 0;
    double bytesPerSecond = 0;
};

struct FleetPoint {
    int processes = 0;
    RolePoint entry;
    RolePoint agent;
    double storeCallsPerSecond = 0;
    /// Greatest memory of an entry whose threads have all served calls at the same time.
    double loadedEntryMb = 0;
};

struct Sample {
    int64_t processorMs = 0;
    double bytes = 0;
};

Sample sampleOf(Harness::Site &site, const std::string &name)
{
    return {site.process(name).processorMs(), metricSum(metricsOf(site, name), "catkinlink_rpc_bytes_total")};
}

double storeCalls(Harness::Site &site)
{
    const auto stats = Harness::getJson(site.objectApi(), "/fake/stats");
    return stats.ok() ? stats->value("calls", 0.0) : 0;
}

RolePoint meanOf(Harness::Site &site, const std::vector<std::string> &names, const std::map<std::string, Sample> &before,
                 const std::map<std::string, Sample> &after, double seconds)
{
    RolePoint point;
    for (const std::string &name : names) {
        point.coreShare += static_cast<double>(after.at(name).processorMs - before.at(name).processorMs) / 1000 / seconds;
        point.bytesPerSecond += (after.at(name).bytes - before.at(name).bytes) / seconds;
        point.residentMb += static_cast<double>(site.process(name).residentKiB()) / 1024;
    }
    const auto count = static_cast<double>(names.size());
    return {point.coreShare / count, point.residentMb / count, point.bytesPerSecond / count};
}

// Records that changed at the start are sent on at most 3 log2(n) times each, 16 per message and at least 2 messages a second.
AK::Milliseconds settleMs(int processes)
{
    return 5'000 + 1'000 * processes * 3 * static_cast<int>(std::bit_width(static_cast<unsigned>(processes))) / 32;
}

double loadEntry(Harness::Site &site)
{
    std::vector<std::thread> callers;
    callers.reserve(concurrentCalls);
    for (int i = 0; i < concurrentCalls; ++i) {
        callers.emplace_back([&site, i] {
            for (int call = 0; call < 3; ++call) {
                (void)site.complete(site.entryAddress(1), "assistant", AK::concat("prompt ", i, " ", call), call % 2 == 0, 64);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    return static_cast<double>(site.process("entry-1").residentKiB()) / 1024;
}

// The proportion of entries and agents at every size is that of the full fleet.
FleetPoint measureFleet(const MeasureContext &context, int processes, int seconds)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.entries = std::max(2, processes * entryFleet / (entryFleet + agentFleet));
    plan.domains = {{"d1", "r1"}, {"d2", "r1"}, {"d3", "r1"}, {"d4", "r2"}, {"d5", "r2"}, {"d6", "r2"}};
    plan.services = {{"assistant", true, processes - plan.entries}};
    plan.weightBytes = 256 << 10;
    plan.logLevel = "warning";
    Harness::Site site(plan);
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    requireOk(site.waitServing("assistant", "1", settleLimitMs), "first load");
    const AK::SystemClock clock;
    clock.sleep(settleMs(processes));
    std::map<std::string, Sample> before;
    std::map<std::string, Sample> after;
    for (const std::string &name : site.daemonNames()) {
        before[name] = sampleOf(site, name);
    }
    const double callsBefore = storeCalls(site);
    const AK::Milliseconds start = clock.now();
    clock.sleep(seconds * 1000);
    const double elapsed = static_cast<double>(clock.now() - start) / 1000;
    const double callsAfter = storeCalls(site);
    for (const std::string &name : site.daemonNames()) {
        after[name] = sampleOf(site, name);
    }
    std::vector<std::string> entries;
    for (int i = 1; i <= plan.entries; ++i) {
        entries.push_back(AK::concat("entry-", i));
    }
    FleetPoint point;
    point.processes = processes;
    point.entry = meanOf(site, entries, before, after, elapsed);
    point.agent = meanOf(site, site.agents("assistant"), before, after, elapsed);
    point.storeCallsPerSecond = (callsAfter - callsBefore) / elapsed;
    point.loadedEntryMb = loadEntry(site);
    return point;
}

nlohmann::json describe(const RolePoint &point)
{
    return {{"core_share", point.coreShare}, {"resident_mb", point.residentMb}, {"bytes_per_s", point.bytesPerSecond}};
}

template <typename Get>
void addFit(nlohmann::json &result, const std::string &name, const std::vector<FleetPoint> &points, Get get)
{
    std::vector<std::pair<double, double>> pairs;
    pairs.reserve(points.size());
    for (const FleetPoint &point : points) {
        pairs.emplace_back(point.processes, get(point));
    }
    const Line line = fitLine(pairs);
    result[name] = line.at(entryFleet + agentFleet);
    result["slopes"][name] = {{"intercept", line.intercept}, {"per_process", line.slope}};
}

} // namespace

nlohmann::json measureControl(const MeasureContext &context)
{
    const int seconds = context.flags.number("seconds", 20);
    std::vector<FleetPoint> points;
    nlohmann::json result;
    for (const int processes : context.flags.numbers("sizes", {12, 24, 48, 96})) {
        std::cerr << "measuring " << processes << " processes for " << seconds << " s\n";
        points.push_back(measureFleet(context, processes, seconds));
        const FleetPoint &point = points.back();
        result["points"].push_back({{"processes", point.processes},
                                    {"entry", describe(point.entry)},
                                    {"agent", describe(point.agent)},
                                    {"loaded_entry_mb", point.loadedEntryMb},
                                    {"store_calls_per_s", point.storeCallsPerSecond}});
        std::cerr << result["points"].back().dump() << "\n";
    }
    addFit(result, "entry_core_share", points, [](const FleetPoint &point) { return point.entry.coreShare; });
    addFit(result, "agent_core_share", points, [](const FleetPoint &point) { return point.agent.coreShare; });
    addFit(result, "entry_resident_mb", points, [](const FleetPoint &point) { return point.entry.residentMb; });
    addFit(result, "agent_resident_mb", points, [](const FleetPoint &point) { return point.agent.residentMb; });
    addFit(result, "entry_bytes_per_s", points, [](const FleetPoint &point) { return point.entry.bytesPerSecond; });
    addFit(result, "agent_bytes_per_s", points, [](const FleetPoint &point) { return point.agent.bytesPerSecond; });
    addFit(result, "store_calls_per_s", points, [](const FleetPoint &point) { return point.storeCallsPerSecond; });
    result["fitted_to"] = {{"entries", entryFleet}, {"agents", agentFleet}};
    return result;
}
