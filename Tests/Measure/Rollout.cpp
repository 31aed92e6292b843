#include "Measurement.h"
#include "Plot.h"
#include "RolloutSize.h"

#include <AK/Text.h>
#include <Harness/Caller.h>
#include <Harness/EventLog.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

constexpr AK::Milliseconds rolloutLimitMs = 120'000;
constexpr AK::Milliseconds settleLimitMs = 180'000;
const std::string service = "assistant";

Harness::SitePlan rolloutPlan(const MeasureContext &context, const RolloutSize &size)
{
    Harness::SitePlan plan;
    plan.binFolder = context.binFolder;
    plan.services = {{service, true, size.hosts}};
    plan.weightBytes = size.weightBytes;
    plan.chunkBytes = size.chunkBytes;
    plan.originBytesPerSecond = static_cast<int64_t>(size.originRate());
    plan.engineFlags = {"--slots", "8", "--cold-ms", "200", "--token-ms", "2", "--load-ms", "50", "--threads", "12"};
    plan.agentSettings = {{"weights_bytes_per_s", static_cast<int64_t>(size.hostRate())}, {"ramp_step_ms", 200}, {"weights_percent_under_load", 95}};
    plan.logLevel = "info";
    plan.enginesPerProcess = 30;
    return plan;
}

/// Bytes of weights that the agents received, by source.
struct Traffic {
    double origin = 0;
    double crossRegion = 0;
    double peer = 0;
};

double bytesFromSource(const std::string &metrics, const std::string &source)
{
    return metricSum(metrics, AK::concat("catkinlink_weights_bytes_total{source=\"", source, "\"}"));
}

Traffic readTraffic(Harness::Site &site)
{
    Traffic traffic;
    for (const std::string &agent : site.agents(service)) {
        const std::string metrics = "\n" + metricsOf(site, agent);
        traffic.origin += bytesFromSource(metrics, "origin");
        traffic.crossRegion += bytesFromSource(metrics, "cross_region");
        traffic.peer += bytesFromSource(metrics, "peer");
    }
    return traffic;
}

double originBytes(Harness::Site &site)
{
    return Harness::getJson(site.weightStore(), "/fake/stats").value_or(nlohmann::json::object()).value("bytes_served", 0.0);
}

struct Replicas {
    /// Wall clock times in ms at which the agents held all chunks, ascending; agents that do not hold them have none.
    std::vector<double> times;
};

Replicas replicaTimes(Harness::Site &site, const std::string &root)
{
    Replicas replicas;
    for (const std::string &agent : site.agents(service)) {
        double complete = 0;
        for (const nlohmann::json &event : Harness::readEvents(AK::concat(site.folder(), "/", agent, ".log"), "weights_complete")) {
            if (event.value("root", "") == root) {
                // A restarted agent holds all chunks only from its last event on.
                complete = event.value("time_ms", 0.0);
            }
        }
        if (complete > 0) {
            replicas.times.push_back(complete);
        }
    }
    std::ranges::sort(replicas.times);
    return replicas;
}

std::vector<double> latencies(const std::vector<Harness::CallRecord> &records, AK::Milliseconds from, AK::Milliseconds until)
{
    std::vector<double> values;
    for (const Harness::CallRecord &record : records) {
        if (record.startedAt >= from && record.startedAt < until && record.complete) {
            values.push_back(static_cast<double>(record.endedAt - record.startedAt));
        }
    }
    return values;
}

// A response of correct weights carries the root of exactly one version; any other one comes from wrong or mixed weights.
int countCorruptResponses(const std::vector<Harness::CallRecord> &records, const std::vector<std::string> &roots)
{
    int corrupt = 0;
    for (const Harness::CallRecord &record : records) {
        if (!record.complete) {
            continue;
        }
        int matching = 0;
        for (const std::string &root : roots) {
            matching += record.body.find(root.substr(0, 16)) != std::string::npos ? 1 : 0;
        }
        corrupt += matching == 1 ? 0 : 1;
    }
    return corrupt;
}

// Baseline: all hosts read from the origin. It runs with real connections and only part of the file, since the time is proportional to
// hosts x bytes / origin rate at any size.
double originOnlyTimeOverBound(Harness::Site &site, const RolloutSize &size)
{
    const AK::SystemClock clock;
    const int64_t bytes = std::min<int64_t>(size.weightBytes, static_cast<int64_t>(size.originRate() * 8 / size.hosts));
    const auto manifest = Harness::getJson(site.weightStore(), "/weights/glue-line/base/2/manifest.json");
    requireOk(manifest.status(), "manifest");
    const std::string path = AK::concat("/weights/glue-line/base/2/files/", manifest->at("files").at(0).at("name").get<std::string>());
    const AK::Milliseconds start = clock.now();
    std::vector<std::thread> hosts;
    hosts.reserve(static_cast<size_t>(size.hosts));
    for (int host = 0; host < size.hosts; ++host) {
        hosts.emplace_back([&] {
            (void)LibHttp::httpCall(site.weightStore(), {.path = path, .headers = {{"range", AK::concat("bytes=0-", bytes - 1)}}}, rolloutLimitMs);
        });
    }
    for (std::thread &host : hosts) {
        host.join();
    }
    const double bound =
        std::max(static_cast<double>(bytes) / size.hostRate(), static_cast<double>(bytes) * size.hosts / (size.originRate() + size.hosts * size.hostRate()));
    return static_cast<double>(clock.now() - start) / 1000 / bound;
}

nlohmann::json replicasOverTime(const Replicas &replicas, double start)
{
    nlohmann::json series = nlohmann::json::array();
    for (const int percent : {1, 10, 25, 50, 75, 90, 100}) {
        series.push_back({{"percent", percent}, {"seconds", (percentile(replicas.times, percent) - start) / 1000}});
    }
    return series;
}

/// Faults to inject during a rollout; read from the flags.
struct RolloutFaults {
    int killPercent = 0;
    int corruptPercent = 0;
    int stalled = 0;
};

// Shuffles the agents with the seed, skips the first `skip` and returns the next `count`.
std::vector<std::string> pickAgents(Harness::Site &site, size_t skip, size_t count, uint64_t seed)
{
    std::vector<std::string> names = site.agents(service);
    AK::Random random(seed);
    std::shuffle(names.begin(), names.end(), random);
    const size_t first = std::min(skip, names.size());
    const size_t last = std::min(first + count, names.size());
    return {names.begin() + static_cast<ptrdiff_t>(first), names.begin() + static_cast<ptrdiff_t>(last)};
}

// Stops agents with SIGSTOP, then kills others about a third into the transfer and restarts them without chunks. Returns the stopped agents.
std::vector<std::string> injectFaults(Harness::Site &site, const RolloutSize &size, const RolloutFaults &faults, uint64_t seed)
{
    const AK::SystemClock clock;
    const auto bound = static_cast<AK::Milliseconds>(size.boundSeconds() * 1000);
    const auto stalledCount = static_cast<size_t>(faults.stalled);
    std::vector<std::string> stalled = pickAgents(site, 0, stalledCount, seed);
    if (!stalled.empty()) {
        clock.sleep(bound / 5);
        for (const std::string &name : stalled) {
            site.process(name).signal(SIGSTOP);
        }
    }
    if (faults.killPercent > 0) {
        clock.sleep(bound / 3);
        const auto killed = static_cast<size_t>((size.hosts * faults.killPercent + 99) / 100);
        for (const std::string &name : pickAgents(site, stalledCount, killed, seed)) {
            site.process(name).kill();
            site.startDaemon(name);
        }
    }
    return stalled;
}

size_t expectedReplicas(const RolloutSize &size, const std::vector<std::string> &stalled)
{
    return static_cast<size_t>(size.hosts) - stalled.size();
}

struct RolloutResult {
    nlohmann::json figures;
    PlotSeries replicasOverTime;
};

PlotSeries replicaSeries(const RolloutSize &size, const Replicas &replicas, double start)
{
    PlotSeries series{AK::concat(size.hosts, " hosts"), {{0, 0}}};
    for (size_t i = 0; i < replicas.times.size(); ++i) {
        series.points.emplace_back((replicas.times[i] - start) / 1000, 100 * static_cast<double>(i + 1) / static_cast<double>(size.hosts));
    }
    return series;
}

// A daemon that exited by itself invalidates the other figures.
int countEndedProcesses(Harness::Site &site)
{
    int ended = 0;
    for (const std::string &name : site.daemonNames()) {
        ended += site.process(name).running() ? 0 : 1;
    }
    return ended;
}

std::string machineLoadAverage()
{
    std::array<double, 1> average{};
    return ::getloadavg(average.data(), 1) == 1 ? AK::concat(static_cast<int>(std::lround(average[0]))) : "unknown";
}

RolloutResult runRollout(const MeasureContext &context, const RolloutSize &size)
{
    const RolloutFaults faults{context.flags.number("kill-percent", 0), context.flags.number("corrupt-percent", 0), context.flags.number("stall", 0)};
    Harness::Site site(rolloutPlan(context, size));
    requireOk(site.start(), "start");
    requireOk(site.applyInitial(), "apply");
    requireOk(site.waitServing(service, "1", settleLimitMs), "first version");
    const AK::SystemClock clock;
    Harness::LoadPlan loadPlan;
    loadPlan.callsPerSecond = context.flags.number("rate", 20);
    loadPlan.threads = 32;
    loadPlan.seed = context.seed;
    loadPlan.makeCall = [](uint64_t sequence) {
        return Harness::completionCall(service, AK::concat("cure note ", sequence), false, 10);
    };
    Harness::Load load(site, loadPlan);
    clock.sleep(5'000);
    if (faults.corruptPercent > 0) {
        const nlohmann::json fault{{"mode", "corrupt"}, {"share", faults.corruptPercent / 100.0}};
        requireOk(Harness::postJson(site.weightStore(), "/fake/fault", fault).status(), "corrupt");
    }
    const Traffic before = readTraffic(site);
    const double originBefore = originBytes(site);
    const std::string root = site.weightsRoot(service, "2");
    const AK::Milliseconds start = clock.now();
    const auto startWall = static_cast<double>(clock.wallTime());
    requireOk(site.change(
                      [&](nlohmann::json &document) {
                          nlohmann::json &entry = document["services"][service];
                          entry["previous"] = entry["target"];
                          entry["target"]["version"] = "2";
                          entry["target"]["root"] = root;
                          entry["rollout"] = {{"wave_share", context.flags.number("wave-percent", 34) / 100.0}};
                      },
                      "rollout")
                  .status(),
              "rollout");
    const std::vector<std::string> stalled = injectFaults(site, size, faults, context.seed);
    // The other agents must complete the transfer while the stalled ones are still stopped.
    const size_t wanted = expectedReplicas(size, stalled);
    Replicas replicas;
    while ((replicas = replicaTimes(site, root)).times.size() < wanted && clock.now() - start < rolloutLimitMs) {
        clock.sleep(200);
    }
    const std::string loadAverage = machineLoadAverage();
    for (const std::string &name : stalled) {
        site.process(name).signal(SIGCONT);
    }
    // A failure is reported instead of ending the program, so that the figures of the transfer are printed in any case.
    const absl::Status serving = site.waitServing(service, "2", rolloutLimitMs);
    const AK::Milliseconds end = clock.now();
    const std::vector<Harness::CallRecord> records = load.finish();
    const Traffic after = readTraffic(site);
    const double originAfter = originBytes(site);
    const auto bytes = static_cast<double>(size.weightBytes);
    const double seconds = replicas.times.empty() ? 0 : (replicas.times.back() - startWall) / 1000;
    const double p95Before = percentile(latencies(records, 0, start), 95);
    nlohmann::json result{
        {"hosts", size.hosts},
        {"processes", site.daemonNames().size()},
        {"machine_load_average", loadAverage},
        {"replicas", replicas.times.size()},
        {"ended_processes", countEndedProcesses(site)},
        {"serving", serving.ok() ? "all" : std::string(serving.message())},
        {"stalled", stalled.size()},
        {"kill_percent", faults.killPercent},
        {"corrupt_percent", faults.corruptPercent},
        {"seconds_to_all_replicas", seconds},
        {"seconds_to_all_serving", static_cast<double>(end - start) / 1000},
        {"bound_seconds", size.boundSeconds()},
        {"time_over_bound", seconds / size.boundSeconds()},
        {"origin_copies", (originAfter - originBefore) / bytes},
        {"origin_copies_counted_by_agents", (after.origin - before.origin) / bytes},
        {"cross_region_copies", (after.crossRegion - before.crossRegion) / bytes},
        {"peer_copies", (after.peer - before.peer) / bytes},
        {"corrupt_served", countCorruptResponses(records, {site.weightsRoot(service, "1"), site.weightsRoot(service, "2")})},
        {"live_calls", records.size()},
        {"live_calls_not_complete", std::ranges::count_if(records, [](const Harness::CallRecord &record) { return !record.complete; })},
        {"live_p95_before_ms", p95Before},
        {"live_p95_ratio", p95Before == 0 ? 0 : percentile(latencies(records, start, end), 95) / p95Before},
        {"replicas_over_time", replicasOverTime(replicas, startWall)},
    };
    std::cerr << result.dump() << "\n";
    result["baseline_tree_time_over_bound"] = binaryTreeTimeOverBound(size);
    if (context.flags.number("baseline", 1) != 0) {
        (void)Harness::postJson(site.weightStore(), "/fake/fault", {{"mode", "none"}});
        result["baseline_time_over_bound"] = originOnlyTimeOverBound(site, size);
    }
    return {result, replicaSeries(size, replicas, startWall)};
}

} // namespace

nlohmann::json measureRollout(const MeasureContext &context)
{
    const RolloutResult result = runRollout(context, rolloutSizeFromFlags(context, context.flags.number("hosts", 12)));
    if (const std::string file = context.flags.text("svg", ""); !file.empty()) {
        writeSvg({"Replicas over time", "seconds since the change was accepted", "hosts with all chunks, percent", {result.replicasOverTime}}, file);
    }
    return result.figures;
}

nlohmann::json measureRolloutScaling(const MeasureContext &context)
{
    Plot times{"Time to N replicas", "hosts", "seconds", {{"catkinlink", {}}, {"lower bound", {}}}};
    Plot replicas{"Replicas over time", "seconds since the change was accepted", "hosts with all chunks, percent", {}};
    nlohmann::json runs = nlohmann::json::array();
    for (const int hosts : context.flags.numbers("sizes", {12, 60, 120, 240})) {
        const RolloutResult result = runRollout(context, rolloutSizeFromFlags(context, hosts));
        times.series[0].points.emplace_back(hosts, result.figures["seconds_to_all_replicas"].get<double>());
        times.series[1].points.emplace_back(hosts, result.figures["bound_seconds"].get<double>());
        replicas.series.push_back(result.replicasOverTime);
        runs.push_back(result.figures);
    }
    const std::string folder = context.flags.text("svg-folder", "");
    if (!folder.empty()) {
        writeSvg(times, folder + "/time-to-n-replicas.svg");
        writeSvg(replicas, folder + "/replicas-over-time.svg");
    }
    const double first = times.series[0].points.front().second;
    const double last = times.series[0].points.back().second;
    return {{"runs", runs}, {"growth", first == 0 ? 0 : last / first}};
}
