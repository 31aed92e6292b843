#pragma once

#include <LibPeers/PeerRecords.h>
#include <LibPeers/generated/peers.capnp.h>

namespace LibPeers
{

void encode(const NodeState &state, PeerWire::NodeState::Builder builder);
NodeState decode(PeerWire::NodeState::Reader reader);

} // namespace LibPeers
