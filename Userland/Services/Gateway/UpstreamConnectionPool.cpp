#include "UpstreamConnectionPool.h"

#include <algorithm>

namespace Gateway
{

namespace
{

// Idle connections kept to one upstream; an engine runs at most some tens of calls at once.
constexpr size_t idleLimit = 32;
// An upstream that does not say how long it keeps a connection.
constexpr AK::Milliseconds defaultKeep = 1'500;
// Taken off what the upstream says, so that its close does not cross a request.
constexpr AK::Milliseconds keepMargin = 700;

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
        found->second.remove_if([&](const kj::Own<Idle> &link) { return link->disturbed || link->expiresAt <= now; });
        if (allowReuse && !found->second.empty()) {
            kj::Own<Idle> link = kj::mv(found->second.back());
            found->second.pop_back();
            return PooledConnection{kj::mv(link->channel), true};
        }
    }
    absl::StatusOr<kj::Own<LibFiber::ByteChannel>> channel = LibFiber::ByteChannel::connect(this->loop, scope, address, deadline);
    if (!channel.ok()) {
        return channel.status();
    }
    return PooledConnection{kj::mv(*channel), false};
}

void UpstreamConnectionPool::giveBack(const AK::Endpoint &address, kj::Own<LibFiber::ByteChannel> channel, AK::Milliseconds keepFor)
{
    const AK::Milliseconds keep = keepFor > 0 ? keepFor - keepMargin : defaultKeep;
    auto &links = this->idle[address.text()];
    if (keep <= 0 || links.size() >= idleLimit || channel->ended() || !channel->buffered().empty()) {
        return;
    }
    auto link = kj::heap<Idle>();
    link->channel = kj::mv(channel);
    link->expiresAt = this->loop.clock().now() + keep;
    link->watch = link->channel->whenDisturbed().then([raw = link.get()] { raw->disturbed = true; }).eagerlyEvaluate(nullptr);
    links.push_back(kj::mv(link));
}

void UpstreamConnectionPool::forget(const AK::Endpoint &address)
{
    this->idle.erase(address.text());
}

} // namespace Gateway
