#include <LibConfiguration/PeerRevisions.h>

#include <LibMembership/MemberTable.h>
#include <algorithm>

namespace LibConfiguration
{

namespace
{

constexpr size_t peerCount = 4;
// A revision of 1 MB takes 0.4 s on an idle link between regions.
constexpr AK::Milliseconds revisionTimeoutFactor = 3;

template <typename Response>
struct PendingReply {
    std::unique_ptr<LibWire::RpcConnection> connection;
    kj::Promise<Response> reply;
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

AK::Milliseconds PeerRevisions::replyTimeout() const
{
    return revisionTimeoutFactor * this->settings.timing.rpcTimeoutMs;
}

void PeerRevisions::push(uint64_t revision, const std::string &document)
{
    using Response = capnp::Response<Wire::Node::OfferRevisionResults>;
    AK::Random random = AK::seededFromSystem();
    std::vector<PendingReply<Response>> offers;
    for (const LibMembership::Member &member : LibMembership::chooseMembers(this->membership.members(), this->settings.name, peerCount, random)) {
        auto connection = LibWire::RpcConnection::open(member.rpcAddress, this->identity, this->settings.timing.rpcTimeoutMs);
        if (!connection.ok()) {
            this->membership.reportUnreachable(member.name);
            continue;
        }
        auto request = (*connection)->node().offerRevisionRequest();
        request.setRevision(revision);
        request.setDocument({reinterpret_cast<const kj::byte *>(document.data()), document.size()});
        kj::Promise<Response> reply = request.send();
        offers.push_back({std::move(*connection), kj::mv(reply)});
    }
    // All offers are under way before the first reply is awaited, so that a stalled member delays only its own.
    const AK::Milliseconds end = this->clock.now() + this->replyTimeout();
    for (auto &[connection, reply] : offers) {
        (void)LibWire::waitFor<Response>(kj::mv(reply), std::max<AK::Milliseconds>(1, end - this->clock.now()), connection->waitScope());
    }
    this->metrics.add("catkinlink_revision_pushes_total", {}, static_cast<double>(offers.size()));
}

PeerRevisions::Fetched PeerRevisions::fetch(const std::vector<AK::Endpoint> &peers, uint64_t above) const
{
    using Response = capnp::Response<Wire::Node::FetchRevisionResults>;
    std::vector<PendingReply<Response>> fetches;
    for (const AK::Endpoint &peer : peers) {
        auto connection = LibWire::RpcConnection::open(peer, this->identity, this->settings.timing.rpcTimeoutMs);
        if (connection.ok()) {
            kj::Promise<Response> reply = (*connection)->node().fetchRevisionRequest().send();
            fetches.push_back({std::move(*connection), kj::mv(reply)});
        }
    }
    Fetched fetched;
    const AK::Milliseconds end = this->clock.now() + this->replyTimeout();
    for (auto &[connection, reply] : fetches) {
        auto answer = LibWire::waitFor<Response>(kj::mv(reply), std::max<AK::Milliseconds>(1, end - this->clock.now()), connection->waitScope());
        if (!answer.ok()) {
            continue;
        }
        ++fetched.answered;
        if (answer->getRevision() > above) {
            const auto document = answer->getDocument().asChars();
            fetched.revisions.emplace_back(document.begin(), document.size());
        }
    }
    return fetched;
}

std::vector<AK::Endpoint> PeerRevisions::someKnown() const
{
    AK::Random random = AK::seededFromSystem();
    std::vector<AK::Endpoint> peers = this->settings.seeds;
    for (const LibMembership::Member &member : LibMembership::chooseMembers(this->membership.members(), this->settings.name, peerCount, random)) {
        peers.push_back(member.rpcAddress);
    }
    std::erase(peers, this->settings.rpcAddress);
    std::ranges::sort(peers, {}, [](const AK::Endpoint &peer) { return peer.text(); });
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    return peers;
}

} // namespace LibConfiguration
