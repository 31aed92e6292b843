#pragma once

#include <absl/status/status.h>
#include <string_view>

namespace Kernel
{

/// A part of a daemon that is started and stopped by the Daemon. Services find each other by name in the ServiceRegistry.
class Service
{
public:
    virtual ~Service() = default;

    /// Name under which the service is registered.
    virtual std::string_view name() const = 0;

    /// Starts threads and listeners. Services registered earlier are already started.
    /// Errors: any status; the daemon then stops the services already started and exits.
    virtual absl::Status start() = 0;

    /// First step of a graceful shutdown: takes no new work and finishes what is in flight. May block up to the drain limits.
    /// Called on all services in reverse order before stop() is called on any.
    virtual void drain()
    {
    }

    /// Ends all threads of the service. Called in reverse order of start.
    virtual void stop() = 0;
};

} // namespace Kernel
