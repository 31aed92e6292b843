#include "UpstreamConnectionPool.h"

#include <algorithm>

namespace Gateway
{

namespace
{

// Idle connections kept per upstream; an engine runs at most a few tens of calls at once.
constexpr size_t maxIdlePerUpstream = 32;
// For upstreams that don't say how long they keep a connection open; in ms.
constexpr AK::Milliseconds defaultKeepAlive = 1'500;
// Subtracted from the time that the upstream states, so that it does not close the connection while a request is on its way.
constexpr AK::Milliseconds keepAliveMargin = 700;

} // namespace

UpstreamConnectionPool::UpstreamConnectionPool(LibFiber::Loop &loop)
    : loop(loop)
{
}

absl::StatusOr<PooledConnection> UpstreamConnectionPool::open(kj::WaitScope &scope, const AK::Endpoint &address, bool allowReuse, AK::Milliseconds deadline)
{
    const auto found = this->idle.find(address.text());
    const AK::Milliseconds now = this->loop.clock().now();
    if (found != this->idle.end()) {
        found->second.remove_if([&](const kj::Own<IdleConnection> &connection) { return connection->unusable || connection->expiresAt <= now; });
        if (allowReuse && !found->second.empty()) {
            kj::Own<IdleConnection> connection = kj::mv(found->second.back());
            found->second.pop_back();
            return PooledConnection{kj::mv(connection->channel), true};
        }
    }
    absl::StatusOr<kj::Own<LibFiber::ByteChannel>> channel = LibFiber::ByteChannel::connect(this->loop, scope, address, deadline);
    if (!channel.ok()) {
        return channel.status();
    }
    return PooledConnection{kj::mv(*channel), false};
}

void UpstreamConnectionPool::release(const AK::Endpoint &address, kj::Own<LibFiber::ByteChannel> channel, AK::Milliseconds keepAlive)
{
    const AK::Milliseconds keep = keepAlive > 0 ? keepAlive - keepAliveMargin : defaultKeepAlive;
    auto &connections = this->idle[address.text()];
    if (keep <= 0 || connections.size() >= maxIdlePerUpstream || channel->ended() || !channel->buffered().empty()) {
        return;
    }
    auto connection = kj::heap<IdleConnection>();
    connection->channel = kj::mv(channel);
    connection->expiresAt = this->loop.clock().now() + keep;
    connection->watch = connection->channel->whenReadable().then([raw = connection.get()] { raw->unusable = true; }).eagerlyEvaluate(nullptr);
    connections.push_back(kj::mv(connection));
}

void UpstreamConnectionPool::dropIdle(const AK::Endpoint &address)
{
    this->idle.erase(address.text());
}

} // namespace Gateway
