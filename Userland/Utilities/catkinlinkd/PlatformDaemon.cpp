#include "PlatformDaemon.h"

#include "EntryProcess.h"
#include "SettingsWatch.h"
#include <Gateway/SimpleHttpServer.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <WeightAgent/AgentService.h>
#include <csignal>
#include <iostream>
#include <platform/EngineClient.h>

namespace
{

enum ExitCode { Success = 0, UsageError = 2, InvalidSettings = 3, StartFailed = 1 };

// Share of a host's link that chunk uploads may use. The engine's responses go over the same link.
constexpr double uploadShare = 0.8;
constexpr double bytesPerMegabit = 125'000;

WeightAgent::AgentService::Settings agentSettings(const Platform::NodeSettings &settings)
{
    WeightAgent::AgentService::Settings result;
    result.service = settings.engineService;
    result.engineAddress = *settings.engineAddress;
    result.region = settings.region;
    result.regionsByDomain = settings.regionsByDomain;
    result.uploadBytesPerSecond = uploadShare * settings.linkMbps * bytesPerMegabit;
    // Without a rate, all agents of the origin's region read it at once. With the schedule the origin sends fewer bytes, but on two of three deployments the
    // first engine had new weights 0.6 to 1.2 s later.
    result.linkMbps = settings.callersCompete ? settings.linkMbps : 0;
    result.rpcPort = settings.innerPort;
    result.switchTimeLimit = weightsSwitchDelay(settings);
    return result;
}

// Agents stop without a drain, because no other process waits for anything that they hold.
int runAgent(LibFiber::Loop &loop, const Platform::NodeSettings &settings, SettingsWatch &settingsWatch)
{
    const LibLog::Logger logger("daemon");
    if (!settings.engineAddress || settings.innerPort == 0) {
        logger.error("failed", {{"reason", "settings: app and innerPorts are needed by an agent"}});
        return InvalidSettings;
    }
    LibMetrics::MetricRegistry metrics;
    PlatformNode node(loop, settings, {settings.ip, settings.innerPort}, std::nullopt, metrics);
    const auto layers = [&node, service = settings.engineService] {
        const auto configuration = node.fleet.configuration();
        const auto found = configuration ? configuration->services.find(service) : decltype(configuration->services.end()){};
        return configuration && found != configuration->services.end() && found->second.engine ? found->second.engine->layers : 0;
    };
    Platform::EngineClient engine(loop, *settings.engineAddress, layers);
    Platform::OriginClient origin(loop);
    WeightAgent::AgentService agent(loop, agentSettings(settings), node.fleet, engine, origin, node.exchange);
    Gateway::SimpleHttpServer metricsServer(loop, {settings.ip, metricsPort}, [&](const auto &) {
        metrics.set("catkinlink_engine_weights_version", {}, static_cast<double>(agent.loadedVersion()));
        return Gateway::SimpleHttpResponse{200, "text/plain; version=0.0.4", metrics.text()};
    });
    if (const absl::Status status = metricsServer.start(); !status.ok()) {
        logger.error("failed", {{"reason", std::string(status.message())}});
        return StartFailed;
    }
    LibPeers::PeerServer server(loop, node.exchange, &agent.versions(), nullptr);
    if (const absl::Status status = server.listen({settings.ip, settings.innerPort}); !status.ok()) {
        logger.error("failed", {{"reason", std::string(status.message())}});
        return StartFailed;
    }
    node.exchange.start();
    node.readStoreWithoutEntries();
    agent.start();
    settingsWatch.onChange([&](const Platform::NodeSettings &changed) {
        agent.reconfigure(agentSettings(changed));
        node.exchange.setSeeds(changed.seeds);
    });
    settingsWatch.start();
    waitForStopSignal(loop);
    loop.cancelSpawned();
    logger.info("stopped");
    return Success;
}

int runEntry(LibFiber::Loop &loop, const Platform::NodeSettings &settings, SettingsWatch &settingsWatch)
{
    const LibLog::Logger logger("daemon");
    if (!settings.clientAddress || !settings.readinessAddress || !settings.rpcAddress || !settings.directoryAddress) {
        logger.error("failed", {{"reason", "settings: listen must hold front, ready, control and directory"}});
        return StartFailed;
    }
    EntryProcess entry(loop, settings);
    if (const absl::Status status = entry.start(); !status.ok()) {
        logger.error("failed", {{"reason", std::string(status.message())}});
        return StartFailed;
    }
    settingsWatch.onChange([&entry](const Platform::NodeSettings &changed) { entry.reconfigure(changed); });
    settingsWatch.start();
    waitForStopSignal(loop);
    logger.info("stopping");
    entry.drain();
    logger.info("stopped");
    return Success;
}

} // namespace

int runOnPlatform(const std::string &role)
{
    const absl::StatusOr<Platform::NodeSettings> settings = Platform::readNodeSettings(Platform::settingsPath());
    if (!settings.ok()) {
        std::cerr << "catkinlinkd: " << std::string(settings.status().message()) << "\n";
        return InvalidSettings;
    }
    LibLog::initializeLogging(settings->name, "info", LibLog::Output::StandardOutput);
    const LibLog::Logger logger("daemon");
    logger.info("started", {{"role", role}, {"failure_domain", settings->failureDomain}, {"store", settings->store.text()}});
    if (role != "entry" && role != "agent") {
        std::cerr << "catkinlinkd: unknown role " << role << "\n";
        return UsageError;
    }
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    kj::UnixEventPort::captureSignal(SIGHUP);
    LibFiber::Loop loop;
    SettingsWatch settingsWatch(loop, Platform::settingsPath(), *settings);
    return role == "entry" ? runEntry(loop, *settings, settingsWatch) : runAgent(loop, *settings, settingsWatch);
}
