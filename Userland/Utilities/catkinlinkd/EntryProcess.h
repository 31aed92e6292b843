#pragma once

#include "PlatformNode.h"
#include <Gateway/AddressChoice.h>
#include <Gateway/GatewayService.h>
#include <Gateway/QuarantineKeeper.h>
#include <Gateway/SimpleHttpServer.h>
#include <LibPeers/PeerServer.h>
#include <platform/CallHeaders.h>

/// An entry on the platform with all of its servers and background tasks. The settings must have all listen addresses.
class EntryProcess
{
public:
    EntryProcess(LibFiber::Loop &loop, const Platform::NodeSettings &settings);

    /// Starts to listen on all addresses, to watch the store and to exchange state with peers.
    /// Errors: those of LibFiber::listenOn().
    absl::Status start();

    /// Applies the settings that may change while the process runs.
    void reconfigure(const Platform::NodeSettings &changed);

    /// Graceful shutdown: leaves the directory, finishes calls and returns before the grace period of the settings ends.
    void drain();

private:
    static Gateway::DispatchSettings dispatchSettings(const Platform::NodeSettings &settings);

    bool ready() const;

    Gateway::SimpleHttpResponse metricsResponse();

    Gateway::SimpleHttpResponse readinessResponse(const LibHttpStream::RequestHead &head) const;

    Gateway::SimpleHttpResponse directoryResponse(const LibHttpStream::RequestHead &head);
    /// The entries that clients may use now; this one when there is none.
    std::vector<Gateway::DirectoryEntry> listedEntries() const;
    /// Empty when the settings do not name the failure domain.
    std::string regionOf(const std::string &failureDomain) const;
    const Gateway::HomesByHost &currentHomes();

    /// Passes the live entries, which share the upstreams, to the dispatcher.
    void updateDispatcherEntries(kj::WaitScope &scope);

    /// Whether the store lacks the record of this entry, or the newest targets in it that this entry is to record.
    bool mustRegister(const LibFleet::EntryRecord &self) const;
    void registerSelf(kj::WaitScope &scope);

    /// Removes entries from the store that have been silent for so long that their machines are gone, because the number of entries limits what each of them
    /// may send. A removed entry that comes back registers again.
    void removeSilentEntries(kj::WaitScope &scope);

    void unregisterSelf(kj::WaitScope &scope);

    LibFiber::Loop &loop;
    Platform::NodeSettings settings;
    LibMetrics::MetricRegistry metrics;
    PlatformNode node;
    Platform::CallHeaders codec;
    Gateway::SlotClient slotClient;
    Gateway::Dispatcher dispatcher;
    Gateway::UpstreamConnectionPool upstreamConnections;
    Gateway::CrashDetector crashes;
    Gateway::PromptQuarantine quarantine;
    Gateway::QuarantineKeeper quarantineKeeper;
    LibHttpStream::BodyMemory bodyMemory;
    Gateway::LoopWatch loopWatch;
    Gateway::GatewayService gateway;
    LibPeers::PeerServer peers;
    Gateway::SimpleHttpServer readiness;
    Gateway::SimpleHttpServer directory;
    Gateway::SimpleHttpServer metricsServer;
    bool leaving = false;
    Gateway::HomesByHost homes;
    /// Configuration from which `homes` was made.
    std::shared_ptr<const LibFleet::Configuration> homesOf;
    AK::Random random = AK::seededFromSystem();
    LibLog::Logger logger{"daemon"};
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};
