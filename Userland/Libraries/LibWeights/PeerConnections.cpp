#include <LibWeights/PeerConnections.h>

#include <AK/StatusMacros.h>
#include <algorithm>
#include <bit>

namespace LibWeights
{

namespace
{

// Maximum number of open connections per instance; each occupies a thread of the peer.
constexpr size_t maxOpenConnections = 12;
// Longest part of a gap between two polls that counts as idle time of the peer.
constexpr AK::Milliseconds maxCountedGap = 100;

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

void noteFailedPoll(PeerConnections::PeerState &state)
{
    state.reachable = false;
    state.unreachableSince = state.failedPolls == 0 ? state.polledAt : state.unreachableSince;
    ++state.failedPolls;
}

} // namespace

PeerConnections::PeerConnections(const AK::Clock &clock, LibWire::RpcIdentity identity, AK::Milliseconds rpcTimeout)
    : clock(clock)
    , identity(std::move(identity))
    , rpcTimeout(rpcTimeout)
{
}

absl::StatusOr<LibWire::RpcConnection *> PeerConnections::connect(const std::string &peer, const AK::Endpoint &endpoint)
{
    PeerRecord &record = this->records[peer];
    if (!record.connection) {
        size_t open = 0;
        PeerRecord *oldest = nullptr;
        for (auto &[name, other] : this->records) {
            if (other.connection) {
                ++open;
                oldest = oldest == nullptr || other.state.polledAt < oldest->state.polledAt ? &other : oldest;
            }
        }
        if (open >= maxOpenConnections) {
            oldest->connection.reset();
        }
        CATKINLINK_ASSIGN(record.connection, LibWire::RpcConnection::open(endpoint, this->identity, this->rpcTimeout));
    }
    return record.connection.get();
}

// Closes the connection after a failure, unless the peer answered with an error (kInternal) and is therefore still connected.
void PeerConnections::close(const std::string &peer, const absl::Status &reason)
{
    if (reason.code() != absl::StatusCode::kInternal) {
        this->records[peer].connection.reset();
    }
}

const PeerConnections::PeerState &PeerConnections::peerState(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root,
                                                             AK::Milliseconds maxAge)
{
    PeerRecord &record = this->records[peer];
    const AK::Milliseconds now = this->clock.now();
    if (record.polled && now - record.state.polledAt < maxAge) {
        return record.state;
    }
    const AK::Milliseconds gap = record.polled ? std::min(now - record.state.polledAt, maxCountedGap) : 0;
    record.polled = true;
    record.state.polledAt = now;
    record.state.idleFor += gap;
    auto connection = this->connect(peer, endpoint);
    if (!connection.ok()) {
        noteFailedPoll(record.state);
        return record.state;
    }
    auto request = (*connection)->node().chunkMapRequest();
    request.setRoot(root);
    auto reply = (*connection)->call(std::move(request), this->rpcTimeout);
    if (!reply.ok()) {
        this->close(peer, reply.status());
        noteFailedPoll(record.state);
        return record.state;
    }
    record.state.reachable = true;
    record.state.failedPolls = 0;
    record.state.bitmap = textOf(reply->getBitmap());
    const size_t count = countBits(record.state.bitmap);
    if (count != record.state.count) {
        record.state.count = count;
        record.state.idleFor = 0;
    }
    return record.state;
}

absl::StatusOr<std::string> PeerConnections::manifest(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root)
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

absl::StatusOr<std::string> PeerConnections::chunk(const std::string &peer, const AK::Endpoint &endpoint, const std::string &root, uint32_t index,
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
