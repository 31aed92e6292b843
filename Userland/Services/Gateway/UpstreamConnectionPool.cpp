#include "UpstreamConnectionPool.h"

#include <algorithm>
#include <set>

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
constexpr AK::Milliseconds cleanupInterval = 1'000;

} // namespace

UpstreamConnectionPool::UpstreamConnectionPool(LibFiber::Loop &loop, const LibFleet::FleetState &fleet)
    : loop(loop)
    , fleet(fleet)
{
}

bool UpstreamConnectionPool::isOver(const IdleConnection &connection, AK::Milliseconds now)
{
    return connection.unusable || connection.expiresAt <= now;
}

absl::StatusOr<PooledConnection> UpstreamConnectionPool::open(kj::WaitScope &scope, const AK::Endpoint &address, bool allowReuse, AK::Milliseconds deadline)
{
    const auto found = this->idle.find(address.text());
    const AK::Milliseconds now = this->loop.clock().now();
    if (found != this->idle.end()) {
        found->second.remove_if([&](const kj::Own<IdleConnection> &connection) { return isOver(*connection, now); });
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
    this->scheduleCleanup();
}

void UpstreamConnectionPool::scheduleCleanup()
{
    if (this->cleanupScheduled) {
        return;
    }
    this->cleanupScheduled = true;
    this->loop.spawn([this](kj::WaitScope &scope) {
        while (!this->idle.empty()) {
            this->loop.sleep(scope, cleanupInterval);
            this->removeUseless();
        }
        this->cleanupScheduled = false;
    });
}

void UpstreamConnectionPool::removeUseless()
{
    std::set<std::string> registered;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        registered.insert(record.address.text());
    }
    const AK::Milliseconds now = this->loop.clock().now();
    for (auto &[address, connections] : this->idle) {
        const bool isRegistered = registered.contains(address);
        connections.remove_if([&](const kj::Own<IdleConnection> &connection) { return !isRegistered || isOver(*connection, now); });
    }
    std::erase_if(this->idle, [](const auto &entry) { return entry.second.empty(); });
}

void UpstreamConnectionPool::dropIdle(const AK::Endpoint &address)
{
    this->idle.erase(address.text());
}

} // namespace Gateway
