#pragma once

#include <Fleet/PeerExchange.h>
#include <LibFiber/Loop.h>
#include <platform/NodeSettings.h>
#include <platform/ObjectCodec.h>
#include <platform/StoreClient.h>

/// What every process on the platform has: beliefs, feeds of objects and talk with other processes.
struct PlatformNode {
    PlatformNode(LibFiber::Loop &loop, const Platform::NodeSettings &settings, const AK::Endpoint &rpcAddress, std::optional<AK::Endpoint> clientAddress);

    /// Reads the store while no entry has been heard from for a while.
    void readStoreWhenAlone();

    LibFiber::Loop &loop;
    LibFleet::FleetState fleet;
    Platform::ObjectCodec decoder;
    Platform::StoreClient store;
    Fleet::ObjectFeeds feeds;
    Fleet::PeerExchange exchange;
};

/// Where every process on the platform serves its metrics; named in deploy/system.toml.
inline constexpr uint16_t metricsPort = 9'464;

/// Time from the naming of weights after which no call is sent to an engine with older ones, in ms.
AK::Milliseconds switchBefore(const Platform::NodeSettings &settings);

/// Returns after SIGTERM or SIGINT.
void waitForStop(LibFiber::Loop &loop);
