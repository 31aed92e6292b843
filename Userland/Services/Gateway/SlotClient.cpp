#include "SlotClient.h"

#include <AK/Text.h>

namespace Gateway
{

namespace
{

// Limit for the reply of another entry: a round trip between regions takes 4 ms, and a process that has used up its CPU quota is paused for up to 100 ms.
constexpr AK::Milliseconds requestTimeout = 60;
// The same when the connection must be opened first.
constexpr AK::Milliseconds connectAndRequestTimeout = 150;
// An entry whose request failed gets no further ones for this long. Other entries become the owners of its upstreams when it does not respond for 1 s.
constexpr AK::Milliseconds skipTime = 250;

} // namespace

SlotClient::SlotClient(LibFiber::Loop &loop, const LibFleet::FleetState &fleet)
    : loop(loop)
    , fleet(fleet)
{
}

absl::StatusOr<kj::Maybe<LibPeers::OfferedSlot>> SlotClient::requestSlot(kj::WaitScope &scope, const std::string &entry, const LibPeers::SlotRequest &request)
{
    const auto found = this->fleet.entries().find(entry);
    if (found == this->fleet.entries().end()) {
        return absl::NotFoundError(AK::concat("entry ", entry, " is not registered"));
    }
    const std::string address = found->second.rpcAddress.text();
    const AK::Milliseconds now = this->loop.clock().now();
    Peer &peer = this->peers[address];
    if (now < peer.skippedUntil) {
        return absl::UnavailableError(AK::concat("entry ", entry, " gets no slot requests after a failed one"));
    }
    const bool isNewClient = peer.client == nullptr;
    if (isNewClient) {
        peer.client = std::make_shared<LibPeers::PeerClient>(this->loop, found->second.rpcAddress);
    }
    const std::shared_ptr<LibPeers::PeerClient> client = peer.client;
    auto offered = client->requestSlot(scope, request, now + request.wait + (isNewClient ? connectAndRequestTimeout : requestTimeout));
    if (!offered.ok()) {
        Peer &failedPeer = this->peers[address];
        failedPeer.skippedUntil = this->loop.clock().now() + skipTime;
        failedPeer.client = nullptr;
        this->logger.info("place_not_asked", {{"entry", entry}, {"reason", std::string(offered.status().message())}});
    }
    return offered;
}

} // namespace Gateway
