#pragma once

#include <Kernel/ServiceRegistry.h>
#include <functional>

namespace Kernel
{

/// Blocks SIGTERM, SIGINT and SIGHUP in the calling thread, so that they wait until the daemon handles them, and ignores SIGPIPE. Must run before any thread
/// starts, so that every thread inherits the mask.
void blockSignals();

/// Starts the services in order, waits for SIGTERM or SIGINT, drains and stops them in reverse order.
class Daemon
{
public:
    explicit Daemon(ServiceRegistry &registry);

    /// Returns after a complete shutdown. Calls `started` once all services run and `stopping` when the signal has arrived.
    /// Errors: the status of the service that failed to start.
    absl::Status run(const std::function<void()> &started, const std::function<void()> &stopping);

private:
    // Stops the first `count` services in reverse order.
    void stopFirst(size_t count);

    ServiceRegistry &registry;
};

} // namespace Kernel
