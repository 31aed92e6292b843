#pragma once

#include <LibFiber/ByteChannel.h>
#include <LibFleet/FleetState.h>
#include <list>
#include <map>
#include <string>

namespace Gateway
{

/// A connection to an upstream and whether it has carried a call before.
struct PooledConnection {
    kj::Own<LibFiber::ByteChannel> channel;
    bool reused = false;
};

/// Pool of idle connections to upstreams. A connection that is closed or receives bytes while idle is not used again. It is closed within a second after that,
/// after the time to keep it is over, or after no upstream is registered at its address any more.
class UpstreamConnectionPool
{
public:
    UpstreamConnectionPool(LibFiber::Loop &loop, const LibFleet::FleetState &fleet);

    /// Returns an idle connection if `allowReuse` is set and there is one, else opens a new one.
    /// Errors: kUnavailable, kDeadlineExceeded.
    absl::StatusOr<PooledConnection> open(kj::WaitScope &scope, const AK::Endpoint &address, bool allowReuse, AK::Milliseconds deadline);

    /// Adds a connection to the pool after a complete response. `keepAlive` is how long the upstream keeps it open, in ms; 0 when it does not say.
    void release(const AK::Endpoint &address, kj::Own<LibFiber::ByteChannel> channel, AK::Milliseconds keepAlive);

    /// Closes the idle connections to an address.
    void dropIdle(const AK::Endpoint &address);

private:
    struct IdleConnection {
        kj::Own<LibFiber::ByteChannel> channel;
        AK::Milliseconds expiresAt;
        /// Closed by the upstream, or bytes arrived while idle.
        bool unusable = false;
        kj::Promise<void> watch = nullptr;
    };

    static bool isOver(const IdleConnection &connection, AK::Milliseconds now);
    /// Removes the connections that are of no use any more, at an interval until none is left.
    void scheduleCleanup();
    void removeUseless();

    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    bool cleanupScheduled = false;
    std::map<std::string, std::list<kj::Own<IdleConnection>>> idle;
};

} // namespace Gateway
