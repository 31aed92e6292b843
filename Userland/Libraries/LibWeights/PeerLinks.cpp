#include <LibWeights/PeerLinks.h>

#include <AK/StatusMacros.h>
#include <bit>

namespace LibWeights
{

namespace
{

// Connections kept open by one thread; each costs the peer a thread.
constexpr size_t openLimit = 12;

std::string textOf(capnp::Data::Reader data)
{
    return {reinterpret_cast<const char *>(data.begin()), data.size()};
}

size_t countBits(std::string_view bitmap)
{
    size_t count = 0;
    for (const char byte : bitmap) {
        count += static_cast<size_t>(std::popcount(static_cast<unsigned char>(byte)));
    }
    return count;
}

} // namespace

PeerLinks::PeerLinks(const AK::Clock &clock, LibWire::RpcIdentity identity, AK::Milliseconds rpcTimeout)
    : clock(clock)
    , identity(std::move(identity))
    , rpcTimeout(rpcTimeout)
{
}

absl::StatusOr<LibWire::RpcConnection *> PeerLinks::connect(const std::string &peer, const AK::Endpoint &endpoint)
{
    Link &link = this->links[peer];
    if (!link.connection) {
        size_t open = 0;
        Link *oldest = nullptr;
        for (auto &[name, other] : this->links) {
            if (other.connection) {
                ++open;
                oldest = oldest == nullptr || other.view.polledAt < oldest->view.polledAt ? &other : oldest;
            }
        }
        if (open >= openLimit) {
            oldest->connection.reset();
        }
        CATKINLINK_ASSIGN(link.connection, LibWire::RpcConnection::open(endpoint, this->identity, this->rpcTimeout));
    }
    return link.connection.get();
}

// A peer that answered with an error is still connected; any other failure leaves the connection in doubt.
void PeerLinks::close(const std::string &peer, const absl::Status &reason)
{
    if (reason.code() != absl::StatusCode::kInternal) {
        this->links[peer].connection.reset();
    }
}

const PeerLinks::View &PeerLinks::view(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root, AK::Milliseconds maxAge)
{
    Link &link = this->links[peer];
    const AK::Milliseconds now = this->clock.now();
    if (link.polled && now - link.view.polledAt < maxAge) {
        return link.view;
    }
    if (!link.polled) {
        link.view.lastProgressAt = now;
    }
    link.polled = true;
    link.view.polledAt = now;
    auto connection = this->connect(peer, endpoint);
    link.view.reachable = connection.ok();
    if (!connection.ok()) {
        return link.view;
    }
    auto request = (*connection)->node().chunkMapRequest();
    request.setRoot(root);
    auto reply = (*connection)->call(std::move(request), this->rpcTimeout);
    link.view.reachable = reply.ok();
    if (!reply.ok()) {
        this->close(peer, reply.status());
        return link.view;
    }
    link.view.bitmap = textOf(reply->getBitmap());
    const size_t count = countBits(link.view.bitmap);
    if (count != link.view.count) {
        link.view.count = count;
        link.view.lastProgressAt = now;
    }
    return link.view;
}

absl::StatusOr<std::string> PeerLinks::manifest(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root)
{
    CATKINLINK_ASSIGN(LibWire::RpcConnection * connection, this->connect(peer, endpoint));
    auto request = connection->node().chunkMapRequest();
    request.setRoot(root);
    request.setWantManifest(true);
    auto reply = connection->call(std::move(request), this->rpcTimeout);
    if (!reply.ok()) {
        this->close(peer, reply.status());
        return reply.status();
    }
    return textOf(reply->getManifest());
}

absl::StatusOr<std::string> PeerLinks::chunk(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root, uint32_t index,
                                             AK::Milliseconds timeout)
{
    CATKINLINK_ASSIGN(LibWire::RpcConnection * connection, this->connect(peer, endpoint));
    auto request = connection->node().fetchChunkRequest();
    request.setRoot(root);
    request.setIndex(index);
    auto reply = connection->call(std::move(request), timeout);
    if (!reply.ok()) {
        this->close(peer, reply.status());
        return reply.status();
    }
    return textOf(reply->getData());
}

} // namespace LibWeights
