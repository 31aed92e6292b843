#pragma once

#include <AK/Clock.h>
#include <Kernel/ServiceRegistry.h>
#include <LibEngine/EngineState.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibObjectStore/HttpObjectStore.h>
#include <LibSettings/ProcessSettings.h>
#include <LibWire/KeyRing.h>
#include <LibWire/RpcConnection.h>
#include <memory>

/// Builds the services of a daemon in the order of section 9 of docs/design.md and owns what they share.
class Composition
{
public:
    Composition(LibSettings::ProcessSettings settings, const AK::Clock &clock);

    /// Fills the registry with the services of the process's role. Errors: kAlreadyExists when a name is used twice.
    absl::Status build();

    Kernel::ServiceRegistry &services();

    /// Tells the other processes that this one takes no new work soon.
    void announceLeaving();

private:
    absl::Status addShared();
    absl::Status addEntry();
    absl::Status addAgent();
    void refreshMetrics();

    template <typename Type>
    Type &require(std::string_view name);

    LibSettings::ProcessSettings settings;
    const AK::Clock &clock;
    LibMetrics::MetricRegistry metrics;
    LibObjectStore::HttpObjectStore store;
    LibWire::RpcIdentity identity;
    LibEngine::EngineState engineState;
    Kernel::ServiceRegistry registry;
};
