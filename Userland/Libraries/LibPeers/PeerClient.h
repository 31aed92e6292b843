#pragma once

#include <LibFiber/Loop.h>
#include <LibPeers/BackpressureStream.h>
#include <LibPeers/PeerRecords.h>
#include <LibPeers/generated/peers.capnp.h>
#include <capnp/rpc-twoparty.h>

namespace LibPeers
{

/// Calls another process over a persistent connection, which is dropped after an error and opened again by the next call. Errors of all calls: kUnavailable,
/// kDeadlineExceeded.
class PeerClient
{
public:
    PeerClient(LibFiber::Loop &loop, AK::Endpoint address);

    absl::StatusOr<NodeState> exchange(kj::WaitScope &scope, const NodeState &state, AK::Milliseconds deadline);
    /// Returns a page with position 0 when the peer knows nothing newer. `agentPart` leaves out what only entries use.
    absl::StatusOr<LibFleet::ObjectPage> objects(kj::WaitScope &scope, LibFleet::ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart,
                                                 AK::Milliseconds deadline);
    absl::StatusOr<std::string> manifest(kj::WaitScope &scope, const std::string &model, int64_t version, AK::Milliseconds deadline);
    absl::StatusOr<std::string> heldChunks(kj::WaitScope &scope, const std::string &model, int64_t version, AK::Milliseconds deadline);
    absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const std::string &model, int64_t version, uint32_t index, AK::Milliseconds deadline);

    /// Asks for a slot at an upstream of the peer; nothing when none is free. The slot keeps its connection open.
    absl::StatusOr<kj::Maybe<OfferedSlot>> requestSlot(kj::WaitScope &scope, const SlotRequest &request, AK::Milliseconds deadline);

    const AK::Endpoint &address() const;

private:
    class RemoteSlot;

    /// A connection and its RPC state. Calls in flight hold a reference, so that a failed connection can be replaced before they end.
    struct Connection : kj::Refcounted {
        Connection(LibFiber::Loop &loop, kj::Own<kj::AsyncIoStream> stream);
        /// Sends keep-alives, the first at once, until no slot is held over the connection.
        void startKeepAlive();
        kj::Promise<void> sendKeepAlives();

        LibFiber::Loop &loop;
        BackpressureStream stream;
        capnp::TwoPartyVatNetwork network;
        capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
        /// Asked for once: bootstrap() of a connection that has just been reset throws while it unwinds, which ends the process.
        PeerWire::FleetPeer::Client peer;
        bool ended = false;
        /// Slots held over the connection.
        int slots = 0;
        bool sendsKeepAlives = false;
        kj::Promise<void> watch;
        kj::Promise<void> keepAlive = nullptr;
    };

    absl::StatusOr<kj::Own<Connection>> connection(kj::WaitScope &scope, AK::Milliseconds deadline);
    void drop(Connection &failed);

    template <typename Prepare, typename Decode>
    auto call(kj::WaitScope &scope, AK::Milliseconds deadline, Prepare &&prepare, Decode &&decodeResponse);

    template <typename Prepare, typename Decode>
    auto callOver(kj::WaitScope &scope, Connection &connection, AK::Milliseconds deadline, Prepare &&prepare, Decode &&decodeResponse);

    LibFiber::Loop &loop;
    AK::Endpoint target;
    kj::Maybe<kj::Own<Connection>> current;
};

} // namespace LibPeers
