#include <LibConfiguration/PeerRevisions.h>

#include <LibMembership/MemberTable.h>
#include <algorithm>

namespace LibConfiguration
{

namespace
{

constexpr size_t randomPeerCount = 4;
// Applied to the RPC timeout: transferring a revision of 1 MB takes 0.4 s on an idle link between regions.
constexpr AK::Milliseconds revisionTimeoutFactor = 3;

template <typename Response>
struct PendingResponse {
    std::unique_ptr<LibWire::RpcConnection> connection;
    kj::Promise<Response> promise;
};

} // namespace

PeerRevisions::PeerRevisions(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibMembership::MembershipView &membership,
                             LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , clock(clock)
    , membership(membership)
    , identity(std::move(identity))
    , metrics(metrics)
{
}

AK::Milliseconds PeerRevisions::responseTimeout() const
{
    return revisionTimeoutFactor * this->settings.timing.rpcTimeoutMs;
}

void PeerRevisions::push(uint64_t revision, const std::string &document)
{
    using Response = capnp::Response<Wire::Node::OfferRevisionResults>;
    AK::Random random = AK::seededFromSystem();
    std::vector<PendingResponse<Response>> offers;
    for (const LibMembership::Member &member : LibMembership::chooseMembers(this->membership.members(), this->settings.name, randomPeerCount, random)) {
        auto connection = LibWire::RpcConnection::open(member.rpcAddress, this->identity, this->settings.timing.rpcTimeoutMs);
        if (!connection.ok()) {
            this->membership.reportUnreachable(member.name);
            continue;
        }
        auto request = (*connection)->node().offerRevisionRequest();
        request.setRevision(revision);
        request.setDocument({reinterpret_cast<const kj::byte *>(document.data()), document.size()});
        kj::Promise<Response> promise = request.send();
        offers.push_back({std::move(*connection), kj::mv(promise)});
    }
    // All offers are sent before the first response is awaited, so that a stalled member does not delay the offers to others.
    const AK::Milliseconds end = this->clock.now() + this->responseTimeout();
    for (auto &[connection, promise] : offers) {
        (void)LibWire::waitFor<Response>(kj::mv(promise), std::max<AK::Milliseconds>(1, end - this->clock.now()), connection->waitScope());
    }
    this->metrics.add("catkinlink_revision_pushes_total", {}, static_cast<double>(offers.size()));
}

PeerRevisions::FetchResult PeerRevisions::fetch(const std::vector<AK::Endpoint> &peers, uint64_t above) const
{
    using Response = capnp::Response<Wire::Node::FetchRevisionResults>;
    std::vector<PendingResponse<Response>> fetches;
    for (const AK::Endpoint &peer : peers) {
        auto connection = LibWire::RpcConnection::open(peer, this->identity, this->settings.timing.rpcTimeoutMs);
        if (connection.ok()) {
            kj::Promise<Response> promise = (*connection)->node().fetchRevisionRequest().send();
            fetches.push_back({std::move(*connection), kj::mv(promise)});
        }
    }
    FetchResult result;
    const AK::Milliseconds end = this->clock.now() + this->responseTimeout();
    for (auto &[connection, promise] : fetches) {
        auto response = LibWire::waitFor<Response>(kj::mv(promise), std::max<AK::Milliseconds>(1, end - this->clock.now()), connection->waitScope());
        if (!response.ok()) {
            continue;
        }
        ++result.responses;
        if (response->getRevision() > above) {
            const auto document = response->getDocument().asChars();
            result.revisions.emplace_back(document.begin(), document.size());
        }
    }
    return result;
}

std::vector<AK::Endpoint> PeerRevisions::choosePeers() const
{
    AK::Random random = AK::seededFromSystem();
    std::vector<AK::Endpoint> peers = this->settings.seeds;
    for (const LibMembership::Member &member : LibMembership::chooseMembers(this->membership.members(), this->settings.name, randomPeerCount, random)) {
        peers.push_back(member.rpcAddress);
    }
    std::erase(peers, this->settings.rpcAddress);
    std::ranges::sort(peers, {}, [](const AK::Endpoint &peer) { return peer.text(); });
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    return peers;
}

} // namespace LibConfiguration
