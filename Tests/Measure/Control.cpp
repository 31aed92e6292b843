#include "Measurement.h"

#include <AK/Text.h>
#include <bit>
#include <iostream>
#include <thread>

namespace
{

constexpr AK::Milliseconds settleLimitMs = 60'000;
constexpr int fullFleetEntries = 370;
constexpr int fullFleetAgents = 900;
// Equals the default limit of calls in flight at an entry.
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
    /// Resident memory of an entry after all its threads have served calls at the same time.
    double loadedEntryMb = 0;
};

/// Counters of one process at one time.
struct Sample {
    int64_t processorMs = 0;
    double bytes = 0;
};

Sample takeSample(Harness::Site &site, const std::string &name)
{
    return {site.process(name).processorMs(), metricSum(metricsOf(site, name), "catkinlink_rpc_bytes_total")};
}

double storeCalls(Harness::Site &site)
{
    const auto stats = Harness::getJson(site.objectApi(), "/fake/stats");
    return stats.ok() ? stats->value("calls", 0.0) : 0;
}

RolePoint meanBetween(Harness::Site &site, const std::vector<std::string> &names, const std::map<std::string, Sample> &before,
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

// Upper bound on the time until the membership records that changed at start-up are no longer gossiped: each is forwarded at most 3 log2(n) times, in
// messages of 16 records, at 2 or more messages a second.
AK::Milliseconds gossipSettleMs(int processes)
{
    return 5'000 + 1'000 * processes * 3 * static_cast<int>(std::bit_width(static_cast<unsigned>(processes))) / 32;
}

// Occupies all threads of entry-1 and returns its resident memory in MiB.
double measureLoadedEntry(Harness::Site &site)
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

// Starts a site of this many daemons, with entries and agents in the proportion of the full fleet, and measures it while idle and then under load.
FleetPoint measureFleet(const MeasureContext &context, int processes, int seconds)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.entries = std::max(2, processes * fullFleetEntries / (fullFleetEntries + fullFleetAgents));
    plan.domains = {{"d1", "r1"}, {"d2", "r1"}, {"d3", "r1"}, {"d4", "r2"}, {"d5", "r2"}, {"d6", "r2"}};
    plan.services = {{"assistant", true, processes - plan.entries}};
    plan.weightBytes = 256 << 10;
    plan.logLevel = "warning";
    Harness::Site site(plan);
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    requireOk(site.waitServing("assistant", "1", settleLimitMs), "first load");
    const AK::SystemClock clock;
    clock.sleep(gossipSettleMs(processes));
    std::map<std::string, Sample> before;
    std::map<std::string, Sample> after;
    for (const std::string &name : site.daemonNames()) {
        before[name] = takeSample(site, name);
    }
    const double callsBefore = storeCalls(site);
    const AK::Milliseconds start = clock.now();
    clock.sleep(seconds * 1000);
    const double elapsed = static_cast<double>(clock.now() - start) / 1000;
    const double callsAfter = storeCalls(site);
    for (const std::string &name : site.daemonNames()) {
        after[name] = takeSample(site, name);
    }
    std::vector<std::string> entries;
    for (int i = 1; i <= plan.entries; ++i) {
        entries.push_back(AK::concat("entry-", i));
    }
    FleetPoint point;
    point.processes = processes;
    point.entry = meanBetween(site, entries, before, after, elapsed);
    point.agent = meanBetween(site, site.agents("assistant"), before, after, elapsed);
    point.storeCallsPerSecond = (callsAfter - callsBefore) / elapsed;
    point.loadedEntryMb = measureLoadedEntry(site);
    return point;
}

nlohmann::json describe(const RolePoint &point)
{
    return {{"core_share", point.coreShare}, {"resident_mb", point.residentMb}, {"bytes_per_s", point.bytesPerSecond}};
}

template <typename Get>
// Fits a line over the fleet sizes and adds its value at the full fleet size to the result.
void addFit(nlohmann::json &result, const std::string &name, const std::vector<FleetPoint> &points, Get get)
{
    std::vector<std::pair<double, double>> coordinates;
    coordinates.reserve(points.size());
    for (const FleetPoint &point : points) {
        coordinates.emplace_back(point.processes, get(point));
    }
    const Line line = fitLine(coordinates);
    result[name] = line.valueAt(fullFleetEntries + fullFleetAgents);
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
    result["fitted_to"] = {{"entries", fullFleetEntries}, {"agents", fullFleetAgents}};
    return result;
}
