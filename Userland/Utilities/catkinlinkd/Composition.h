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

/// Creates the services of a daemon in the order given in docs/design.md, section 9, and owns the objects that they share.
class Composition
{
public:
    Composition(LibSettings::ProcessSettings settings, const AK::Clock &clock);

    /// Fills the registry with the services of the process's role. Errors: kAlreadyExists when a name is used twice.
    absl::Status build();

    Kernel::ServiceRegistry &services();

    /// Sets the membership status to leaving, so that other processes stop sending new work.
    void announceLeaving();

private:
    absl::Status addSharedServices();
    absl::Status addEntryServices();
    absl::Status addAgentServices();
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
