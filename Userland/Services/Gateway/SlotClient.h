#pragma once

#include <LibFleet/FleetState.h>
#include <LibPeers/PeerClient.h>
#include <map>
#include <memory>

namespace Gateway
{

/// Source of slots at upstreams that other entries own.
class SlotSource
{
public:
    virtual ~SlotSource() = default;

    /// Requests a slot from one entry; nothing when no slot is free there.
    /// Errors: kNotFound when the entry is unknown, kUnavailable, kDeadlineExceeded.
    virtual absl::StatusOr<kj::Maybe<LibPeers::OfferedSlot>> requestSlot(kj::WaitScope &scope, const std::string &entry,
                                                                         const LibPeers::SlotRequest &request) = 0;
};

/// Sends slot requests to other entries. It has its own connections, so that they are not dropped when a slow exchange of state fails.
class SlotClient final : public SlotSource
{
public:
    SlotClient(LibFiber::Loop &loop, const LibFleet::FleetState &fleet);

    absl::StatusOr<kj::Maybe<LibPeers::OfferedSlot>> requestSlot(kj::WaitScope &scope, const std::string &entry, const LibPeers::SlotRequest &request) override;

private:
    struct Peer {
        std::shared_ptr<LibPeers::PeerClient> client;
        /// Gets no requests before this time, after an error.
        AK::Milliseconds skippedUntil = 0;
    };

    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    /// By RPC address.
    std::map<std::string, Peer> peers;
    LibLog::Logger logger{"places"};
};

} // namespace Gateway
