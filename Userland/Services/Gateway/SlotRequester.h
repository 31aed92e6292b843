#pragma once

#include "SlotClient.h"
#include "UpstreamTable.h"

#include <AK/Random.h>
#include <LibFiber/Loop.h>
#include <set>

namespace Gateway
{

/// A slot at an upstream of another entry.
struct RequestedSlot {
    LibFleet::UpstreamRecord upstream;
    /// Version of the weights that the owner has seen there, 0 when unknown.
    int64_t weightsVersion = 0;
    kj::Own<LibPeers::HeldSlot> slot;
};

/// Requests slots for the calls of this entry from the owners of other upstreams, one after the other.
class SlotRequester
{
public:
    /// `slotSource` is nullptr for an entry that owns all upstreams.
    SlotRequester(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, UpstreamTable &table, LibGateway::PlacementSettings settings,
                  SlotSource *slotSource);

    /// Returns nothing when none of the owners asked has a free slot.
    kj::Maybe<RequestedSlot> request(kj::WaitScope &scope, const CallRequirements &requirements);

    /// Requests a slot that the call may wait for at its owner, from an owner chosen at random by the number of its engines. `asked`: owners at which the call
    /// waits already; the one chosen is added for the time of the request.
    kj::Maybe<RequestedSlot> requestAndWait(kj::WaitScope &scope, const CallRequirements &requirements, AK::Milliseconds wait, std::set<std::string> &asked);

private:
    /// Excludes what the upstreams have told this entry and their owners may not know.
    void excludeByNotice(const CallRequirements &requirements, LibPeers::SlotRequest &request);
    /// The owner with the best upstream for the call that was not asked yet; empty when there is none.
    std::string chooseOwner(const CallRequirements &requirements, const LibPeers::SlotRequest &request, const std::set<std::string> &askedOwners);
    /// An owner of upstreams that the call may use, apart from lack of room, with a probability by their number; empty when there is none.
    std::string drawOwner(const CallRequirements &requirements, const LibPeers::SlotRequest &request, const std::set<std::string> &asked);
    /// The offered slot if the call may use it.
    kj::Maybe<RequestedSlot> accept(LibPeers::OfferedSlot offer, const CallRequirements &requirements);

    LibFiber::Loop &loop;
    const LibFleet::FleetState &fleet;
    UpstreamTable &table;
    LibGateway::PlacementSettings settings;
    SlotSource *slotSource;
    AK::Random random;
};

} // namespace Gateway
