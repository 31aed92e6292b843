#include "PlaceClient.h"

#include <AK/Text.h>

namespace Gateway
{

namespace
{

// Longest wait for the answer of another entry: a round trip between regions takes 4 ms, and a processor that has used up its share rests up to 100 ms.
constexpr AK::Milliseconds askTimeout = 60;
// The same with a connection to open.
constexpr AK::Milliseconds firstAskTimeout = 150;
// An entry that did not answer is left alone for this long; its upstreams go to others when it stays silent for a second.
constexpr AK::Milliseconds silence = 250;

} // namespace

PlaceClient::PlaceClient(LibFiber::Loop &loop, const LibFleet::FleetState &fleet)
    : loop(loop)
    , fleet(fleet)
{
}

absl::StatusOr<kj::Maybe<LibPeers::OfferedSlot>> PlaceClient::askPlace(kj::WaitScope &scope, const std::string &entry, const LibPeers::SlotRequest &request)
{
    const auto known = this->fleet.entries().find(entry);
    if (known == this->fleet.entries().end()) {
        return absl::NotFoundError(AK::concat("no address of entry ", entry));
    }
    const std::string address = known->second.rpcAddress.text();
    const AK::Milliseconds now = this->loop.clock().now();
    Peer &peer = this->peers[address];
    if (now < peer.silentUntil) {
        return absl::UnavailableError(AK::concat("entry ", entry, " did not answer lately"));
    }
    const bool first = peer.link == nullptr;
    if (first) {
        peer.link = std::make_shared<LibPeers::PeerClient>(this->loop, known->second.rpcAddress);
    }
    const std::shared_ptr<LibPeers::PeerClient> link = peer.link;
    auto offered = link->requestSlot(scope, request, now + (first ? firstAskTimeout : askTimeout));
    if (!offered.ok()) {
        Peer &failed = this->peers[address];
        failed.silentUntil = this->loop.clock().now() + silence;
        failed.link = nullptr;
        this->logger.info("place_not_asked", {{"entry", entry}, {"reason", std::string(offered.status().message())}});
    }
    return offered;
}

} // namespace Gateway
