#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/Loop.h>
#include <LibPeers/PeerRecords.h>
#include <list>

namespace LibPeers
{

/// Serves the calls of other processes on one address. Slots that a caller holds are released when its connection ends, or when it has sent keep-alives over it
/// and then nothing for maxSilentIntervals. A connection over which the responses to many calls have not been read is closed.
class PeerServer
{
public:
    /// `chunks` is nullptr in a process that holds no weights, `slots` in one that owns no upstreams.
    PeerServer(LibFiber::Loop &loop, PeerHandler &handler, ChunkProvider *chunks, SlotProvider *slots);
    ~PeerServer();
    KJ_DISALLOW_COPY(PeerServer);

    /// Starts to listen; ends with the loop.
    /// Errors: kUnavailable when the address can't be bound.
    absl::Status listen(const AK::Endpoint &address);

private:
    struct Connection;

    void accept(kj::ConnectionReceiver &receiver, kj::WaitScope &scope);
    /// Closes the connections that have ended or fallen silent.
    void closeLostConnections();
    void closeEndedConnections();

    LibFiber::Loop &loop;
    PeerHandler &handler;
    ChunkProvider *chunks;
    SlotProvider *slots;
    std::list<kj::Own<Connection>> connections;
    LibLog::Logger logger{"places"};
};

} // namespace LibPeers
