#pragma once

#include <LibFiber/ByteChannel.h>
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

/// Keeps idle connections to upstreams. A connection that ends or says anything while it is idle is dropped at once.
class UpstreamConnectionPool
{
public:
    explicit UpstreamConnectionPool(LibFiber::Loop &loop);

    /// An idle connection when `allowReuse`, else a new one.
    /// Errors: kUnavailable, kDeadlineExceeded.
    absl::StatusOr<PooledConnection> open(kj::WaitScope &scope, const AK::Endpoint &address, bool allowReuse, AK::Milliseconds deadline);

    /// Takes a connection back after a whole answer. `keepFor` is how long the upstream keeps it, 0 when it does not say.
    void giveBack(const AK::Endpoint &address, kj::Own<LibFiber::ByteChannel> channel, AK::Milliseconds keepFor);

    /// Drops the idle connections to an address.
    void forget(const AK::Endpoint &address);

private:
    struct Idle {
        kj::Own<LibFiber::ByteChannel> channel;
        AK::Milliseconds expiresAt;
        bool disturbed = false;
        kj::Promise<void> watch = nullptr;
    };

    LibFiber::Loop &loop;
    std::map<std::string, std::list<kj::Own<Idle>>> idle;
};

} // namespace Gateway
