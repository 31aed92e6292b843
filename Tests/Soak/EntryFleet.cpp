#include "EntryFleet.h"

#include <AK/Text.h>
#include <LibHttpStream/HttpClient.h>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Soak
{

namespace
{

constexpr uint16_t clientPort = 8'005;
constexpr uint16_t readinessPort = 8'002;
constexpr uint16_t rpcPort = 8'000;
constexpr uint16_t directoryPort = 8'009;
constexpr AK::Milliseconds pollInterval = 10;

nlohmann::json boundsOf(const Bounds &bounds, int variant)
{
    constexpr double baseRatio = 0.2;
    constexpr double ratioStep = 0.05;
    return {{"stableWindowMs", bounds.stableWindow},
            {"drainMs", bounds.drain},
            {"graceS", bounds.grace / 1'000},
            {"lossSlackMs", bounds.lossSlack},
            {"configApplyMs", bounds.configurationApply},
            {"rollbackSlackMs", bounds.rollbackSlack},
            {"retryBudgetRatio", baseRatio + ratioStep * variant},
            {"budgetWindowS", 10},
            {"budgetExtra", 100},
            {"version_ms", 8'000},
            {"ttl_max_s", 5}};
}

} // namespace

EntryFleet::EntryFleet(LibFiber::Loop &loop, History &history, const Loopback::LoopbackNetwork &network, Settings settings)
    : loop(loop)
    , history(history)
    , network(network)
    , settings(std::move(settings))
    , entries(this->settings.count)
{
    history.entries.resize(this->settings.count);
}

std::string EntryFleet::host(size_t index) const
{
    constexpr int firstEntryHost = 20;
    return this->network.hostAddress(firstEntryHost + static_cast<int>(index));
}

std::string EntryFleet::file(size_t index, const std::string &extension) const
{
    return AK::concat(this->settings.folder, "/entry-", index + 1, extension);
}

size_t EntryFleet::size() const
{
    return this->entries.size();
}

AK::Endpoint EntryFleet::clientAddress(size_t index) const
{
    return {this->host(index), clientPort};
}

int EntryFleet::boot(size_t index) const
{
    return this->entries[index].boot;
}

void EntryFleet::writeSettings(size_t index, int variant) const
{
    nlohmann::json seeds = nlohmann::json::array();
    for (size_t i = 0; i < std::min<size_t>(3, this->entries.size()); ++i) {
        seeds.push_back(AK::Endpoint{this->host(i), rpcPort}.text());
    }
    const std::string ip = this->host(index);
    const nlohmann::json node{{"nodeName", AK::concat("entry-", index + 1)},
                              {"role", "entry"},
                              {"ip", ip},
                              {"zone", index % 2 == 0 ? "lima-1" : "lima-2"},
                              {"region", "lima"},
                              {"zones", {{"lima-1", "lima"}, {"lima-2", "lima"}}},
                              {"listen",
                               {{"front", AK::Endpoint{ip, clientPort}.text()},
                                {"ready", AK::Endpoint{ip, readinessPort}.text()},
                                {"control", AK::Endpoint{ip, rpcPort}.text()},
                                {"directory", AK::Endpoint{ip, directoryPort}.text()}}},
                              {"innerPorts", {7'700, 7'715}},
                              {"seeds", seeds},
                              {"limits", {{"linkMbps", 1'000.0}}},
                              {"bounds", boundsOf(this->history.bounds, variant)},
                              {"platform", {{"addr", this->settings.stores[index].text()}}}};
    std::ofstream(this->file(index, ".yaml")) << node.dump();
}

void EntryFleet::start(size_t index)
{
    Entry &entry = this->entries[index];
    ++entry.boot;
    entry.endExpected = false;
    entry.stopped = false;
    const std::vector<std::string> arguments{AK::concat("CATKINLINK_NODE_FILE=", this->file(index, ".yaml")), this->settings.daemon, "--platform", "entry"};
    // No process can keep a signal that comes before its own code runs, so it inherits a mask that does.
    const Harness::StartSignals signals{{SIGHUP, SIGTERM}, {}};
    entry.process = std::make_unique<Harness::ChildProcess>("/usr/bin/env", arguments, this->file(index, ".log"), signals);
}

void EntryFleet::startAll()
{
    for (size_t i = 0; i < this->entries.size(); ++i) {
        this->writeSettings(i, 0);
        this->start(i);
        this->history.entries[i].impaired.push_back({0, this->loop.clock().now()});
    }
}

bool EntryFleet::awaitReady(kj::WaitScope &scope, AK::Milliseconds limit)
{
    const AK::Milliseconds until = this->loop.clock().now() + limit;
    for (size_t i = 0; i < this->entries.size(); ++i) {
        while (true) {
            constexpr AK::Milliseconds callTimeout = 500;
            LibHttpStream::HttpClient client(this->loop, {this->host(i), readinessPort});
            const AK::Milliseconds deadline = this->loop.clock().now() + callTimeout;
            const auto response = client.call(scope, "GET", "/v1/readiness", "", deadline, deadline);
            if (response.ok() && response->status == 200) {
                break;
            }
            if (this->loop.clock().now() >= until) {
                return false;
            }
            this->loop.sleep(scope, pollInterval);
        }
    }
    return true;
}

void EntryFleet::kill(kj::WaitScope &scope, size_t index, AK::Milliseconds down)
{
    Entry &entry = this->entries[index];
    const int boot = entry.boot;
    entry.endExpected = true;
    EntryHistory &past = this->history.entries[index];
    const size_t impairment = past.impaired.size();
    const size_t cut = past.cut.size();
    past.impaired.push_back({this->loop.clock().now()});
    past.cut.push_back({this->loop.clock().now()});
    entry.process->kill();
    this->loop.sleep(scope, down);
    if (entry.boot == boot) {
        this->start(index);
    }
    past.impaired[impairment].until = this->loop.clock().now();
    past.cut[cut].until = this->loop.clock().now();
}

void EntryFleet::terminate(kj::WaitScope &scope, size_t index)
{
    Entry &entry = this->entries[index];
    if (entry.endExpected) {
        return;
    }
    const int boot = entry.boot;
    entry.endExpected = true;
    EntryHistory &past = this->history.entries[index];
    const size_t impairment = past.impaired.size();
    const AK::Milliseconds startedAt = this->loop.clock().now();
    past.impaired.push_back({startedAt});
    entry.process->signal(SIGTERM);
    std::optional<int> status;
    while (entry.boot == boot && this->loop.clock().now() < startedAt + this->history.bounds.grace) {
        status = entry.process->wait(0);
        if (status) {
            break;
        }
        this->loop.sleep(scope, pollInterval);
    }
    const bool disturbed = entry.boot != boot || overlapsAny(past.cut, startedAt, this->loop.clock().now())
        || overlapsAny(this->history.impaired, startedAt, this->loop.clock().now());
    if (!disturbed && status.value_or(-1) != 0) {
        past.ends.push_back(status ? AK::concat("ended with status ", *status, " after SIGTERM") : "did not end within the grace period after SIGTERM");
    }
    if (entry.boot == boot) {
        if (!status) {
            past.cut.push_back({this->loop.clock().now(), this->loop.clock().now()});
        }
        entry.process->kill();
        this->start(index);
    }
    past.impaired[impairment].until = this->loop.clock().now();
}

void EntryFleet::stop(kj::WaitScope &scope, size_t index, AK::Milliseconds duration)
{
    Entry &entry = this->entries[index];
    if (entry.stopped) {
        return;
    }
    const int boot = entry.boot;
    EntryHistory &past = this->history.entries[index];
    const size_t impairment = past.impaired.size();
    const size_t cut = past.cut.size();
    past.impaired.push_back({this->loop.clock().now()});
    past.cut.push_back({this->loop.clock().now()});
    entry.stopped = true;
    entry.process->signal(SIGSTOP);
    this->loop.sleep(scope, duration);
    if (entry.boot == boot) {
        entry.process->signal(SIGCONT);
        entry.stopped = false;
    }
    past.impaired[impairment].until = this->loop.clock().now();
    past.cut[cut].until = this->loop.clock().now();
}

void EntryFleet::reconfigure(size_t index, int variant)
{
    this->writeSettings(index, variant);
    this->entries[index].process->signal(SIGHUP);
}

void EntryFleet::watch(kj::WaitScope &scope)
{
    constexpr AK::Milliseconds restartDelay = 300;
    while (true) {
        for (size_t i = 0; i < this->entries.size(); ++i) {
            Entry &entry = this->entries[i];
            const std::optional<int> status = entry.endExpected ? std::nullopt : entry.process->wait(0);
            if (!status) {
                continue;
            }
            const AK::Milliseconds now = this->loop.clock().now();
            this->history.entries[i].ends.push_back(AK::concat("ended by itself with status ", *status));
            this->history.entries[i].impaired.push_back({now, now + restartDelay});
            entry.endExpected = true;
            this->loop.spawn([this, i](kj::WaitScope &inner) {
                this->loop.sleep(inner, restartDelay);
                this->start(i);
            });
        }
        this->loop.sleep(scope, pollInterval);
    }
}

} // namespace Soak
