#pragma once

#include <LibFiber/Loop.h>
#include <capnp/rpc-twoparty.h>
#include <optional>

namespace LibPeers
{

/// Reads pause while more outgoing messages than this wait. The destructor of the RPC system recurses through them, and may run on a fiber, whose stack of 256
/// KB holds 1,200 of them but not 2,400. More than maxUnreadResponses, so that a server still receives the call that makes it close the connection.
inline constexpr size_t maxQueuedMessages = 600;
/// Reads pause while more outgoing bytes than this wait: maxUnreadBytes and one message of the largest size. Two ends can block each other only when both
/// exceed it.
inline constexpr size_t maxQueuedBytes = 25UL << 20;
/// A connection ends when the peer has accepted nothing of a pending write for this long.
inline constexpr AK::Milliseconds writeStallLimit = 5'000;
inline constexpr AK::Milliseconds writeCheckInterval = 1'000;

/// Outgoing data of a connection.
struct WriteState {
    size_t queuedMessages = 0;
    size_t queuedBytes = 0;
    /// When the pending write began or last made progress; nothing when no write is pending.
    std::optional<AK::Milliseconds> lastProgress;
    AK::Milliseconds lastCheck = 0;
};

enum class ConnectionStep { Read, PauseReads, End };

/// Decides what a connection does at `now`.
ConnectionStep nextStep(const WriteState &state, AK::Milliseconds now);

/// Records a check of a pending write. A check that comes late means that this process was paused, which must not count against the peer.
void recordCheck(WriteState &state, AK::Milliseconds now);

/// The stream of an RPC connection. TwoPartyVatNetwork queues outgoing messages without bound; this stream reads no further while too many of them wait, and
/// fails a write that makes no progress, which ends the connection.
class BackpressureStream final : public kj::AsyncIoStream
{
public:
    BackpressureStream(LibFiber::Loop &loop, kj::Own<kj::AsyncIoStream> inner);
    KJ_DISALLOW_COPY(BackpressureStream);

    /// Sets the network whose queue is bounded. It must be destroyed before the stream.
    void setNetwork(capnp::TwoPartyVatNetwork &network);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;
    void getsockopt(int level, int option, void *value, kj::uint *length) override;
    void setsockopt(int level, int option, const void *value, kj::uint length) override;

private:
    WriteState state() const;
    /// Writes in blocks, each of which counts as progress.
    kj::Promise<void> writeBlocks(kj::ArrayPtr<const kj::byte> bytes);
    kj::Promise<void> writePieces(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces);
    kj::Promise<void> bounded(kj::Promise<void> write);
    kj::Promise<void> failWhenStalled();
    void noteProgress();

    LibFiber::Loop &loop;
    kj::Own<kj::AsyncIoStream> inner;
    capnp::TwoPartyVatNetwork *network = nullptr;
    WriteState writes;
    kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> pausedRead;
};

} // namespace LibPeers
