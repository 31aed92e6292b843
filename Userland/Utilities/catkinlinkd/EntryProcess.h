#pragma once

#include "PlatformNode.h"
#include <Gateway/GatewayService.h>
#include <Gateway/SimpleHttpServer.h>
#include <LibPeers/PeerServer.h>
#include <platform/CallHeaders.h>

/// Everything that an entry runs on the platform. The settings must have the addresses of all that it listens on.
class EntryProcess
{
public:
    EntryProcess(LibFiber::Loop &loop, const Platform::NodeSettings &settings);

    /// Listens on all addresses and starts to watch the store.
    /// Errors: those of LibFiber::listenOn().
    absl::Status start();

    /// Takes over the settings that a running process may change.
    void reconfigure(const Platform::NodeSettings &changed);

    /// Graceful shutdown: leaves the directory, finishes calls and returns before the grace of the settings ends.
    void drain();

private:
    static Gateway::DispatchSettings dispatchSettings(const Platform::NodeSettings &settings);

    bool ready() const;

    Gateway::SimpleHttpResponse answerMetrics();

    Gateway::SimpleHttpResponse answerReadiness(const LibHttpStream::RequestHead &head) const;

    Gateway::SimpleHttpResponse answerDirectory(const LibHttpStream::RequestHead &head);

    /// Tells the dispatcher which entries share the upstreams.
    void shareUpstreams(kj::WaitScope &scope);

    void registerSelf(kj::WaitScope &scope);

    /// Removes entries that have been silent for so long that their machines are gone; one that comes back registers again. Their number bounds what each
    /// entry may send.
    void removeLost(kj::WaitScope &scope);

    void unregisterSelf(kj::WaitScope &scope);

    LibFiber::Loop &loop;
    Platform::NodeSettings settings;
    PlatformNode node;
    LibMetrics::MetricRegistry metrics;
    Platform::CallHeaders codec;
    Gateway::SlotClient slotClient;
    Gateway::Dispatcher dispatcher;
    Gateway::UpstreamConnectionPool links;
    Gateway::GatewayService gateway;
    LibPeers::PeerServer peers;
    Gateway::SimpleHttpServer readiness;
    Gateway::SimpleHttpServer directory;
    Gateway::SimpleHttpServer metricsServer;
    bool leaving = false;
    AK::Random random = AK::seededFromSystem();
    LibLog::Logger logger{"daemon"};
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};
