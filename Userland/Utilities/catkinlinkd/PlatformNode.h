#pragma once

#include <Fleet/PeerExchange.h>
#include <LibFiber/Loop.h>
#include <platform/NodeSettings.h>
#include <platform/ObjectCodec.h>
#include <platform/StoreClient.h>

/// The parts that every process on the platform has: fleet state, object feeds and the exchange with other processes.
struct PlatformNode {
    PlatformNode(LibFiber::Loop &loop, const Platform::NodeSettings &settings, const AK::Endpoint &rpcAddress, std::optional<AK::Endpoint> clientAddress,
                 LibMetrics::MetricRegistry &metrics);

    /// Starts to read the store at intervals while no entry responds.
    void readStoreWithoutEntries();

    LibFiber::Loop &loop;
    LibFleet::FleetState fleet;
    Platform::ObjectCodec decoder;
    Platform::StoreClient store;
    Fleet::ObjectFeeds feeds;
    Fleet::PeerExchange exchange;
};

/// Port on which every process on the platform serves its metrics; also set in deploy/system.toml.
inline constexpr uint16_t metricsPort = 9'464;

/// Time after new weights were named from which no call is sent to an engine with older ones, in ms.
AK::Milliseconds weightsSwitchDelay(const Platform::NodeSettings &settings);

/// Time after new weights were named from which calls that have not begun at an engine with older ones are withdrawn from it, in ms.
AK::Milliseconds weightsBeginLimit(const Platform::NodeSettings &settings);

/// Returns after SIGTERM or SIGINT.
void waitForStopSignal(LibFiber::Loop &loop);
