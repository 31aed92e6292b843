#pragma once

#include <LibFleet/FleetState.h>
#include <LibPeers/PeerClient.h>
#include <map>
#include <memory>

namespace Gateway
{

/// Where a dispatcher asks for places at upstreams that other entries own.
class PlaceSource
{
public:
    virtual ~PlaceSource() = default;

    /// Asks one entry; nothing when no place is free there.
    /// Errors: kNotFound, kUnavailable, kDeadlineExceeded.
    virtual absl::StatusOr<kj::Maybe<LibPeers::OfferedSlot>> askPlace(kj::WaitScope &scope, const std::string &entry, const LibPeers::SlotRequest &request) = 0;
};

/// Asks other entries over connections of their own, which are not dropped when a slow exchange of state fails.
class PlaceClient final : public PlaceSource
{
public:
    PlaceClient(LibFiber::Loop &loop, const LibFleet::FleetState &fleet);

    absl::StatusOr<kj::Maybe<LibPeers::OfferedSlot>> askPlace(kj::WaitScope &scope, const std::string &entry, const LibPeers::SlotRequest &request) override;

private:
    struct Peer {
        std::shared_ptr<LibPeers::PeerClient> link;
        /// Not asked before this time, after an error.
        AK::Milliseconds silentUntil = 0;
    };

    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    /// By RPC address.
    std::map<std::string, Peer> peers;
    LibLog::Logger logger{"places"};
};

} // namespace Gateway
