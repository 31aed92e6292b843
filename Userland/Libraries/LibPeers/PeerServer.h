#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/Loop.h>
#include <LibPeers/PeerRecords.h>
#include <LibPeers/generated/peers.capnp.h>
#include <capnp/rpc-twoparty.h>

namespace LibPeers
{

/// Serves the calls of other processes on one address.
class PeerServer
{
public:
    /// `chunks` is nullptr in a process that holds no weights, `slots` in one that owns no upstreams.
    PeerServer(LibFiber::Loop &loop, PeerHandler &handler, ChunkProvider *chunks, SlotProvider *slots);

    /// Starts to listen; ends with the loop.
    /// Errors: kUnavailable when the address can't be bound.
    absl::Status listen(const AK::Endpoint &address);

private:
    LibFiber::Loop &loop;
    capnp::TwoPartyServer server;
};

} // namespace LibPeers
