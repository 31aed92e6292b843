#include <LibPeers/BackpressureStream.h>

#include <algorithm>
#include <kj/debug.h>

namespace LibPeers
{

namespace
{

// A peer that accepts fewer bytes than this within writeStallLimit makes no progress.
constexpr size_t blockBytes = 65'536;

} // namespace

ConnectionStep nextStep(const WriteState &state, AK::Milliseconds now)
{
    if (state.lastProgress && now - *state.lastProgress >= writeStallLimit) {
        return ConnectionStep::End;
    }
    // One message alone never pauses reads: it may be written already and only be counted still, and then no end of a write would resume them.
    const bool full = state.queuedMessages > maxQueuedMessages || (state.queuedMessages > 1 && state.queuedBytes > maxQueuedBytes);
    return full ? ConnectionStep::PauseReads : ConnectionStep::Read;
}

void recordCheck(WriteState &state, AK::Milliseconds now)
{
    if (state.lastProgress && now - state.lastCheck > 2 * writeCheckInterval) {
        state.lastProgress = now;
    }
    state.lastCheck = now;
}

BackpressureStream::BackpressureStream(LibFiber::Loop &loop, kj::Own<kj::AsyncIoStream> inner)
    : loop(loop)
    , inner(kj::mv(inner))
{
}

void BackpressureStream::setNetwork(capnp::TwoPartyVatNetwork &network)
{
    this->network = &network;
}

WriteState BackpressureStream::state() const
{
    WriteState state = this->writes;
    if (this->network != nullptr) {
        state.queuedMessages = this->network->getCurrentQueueCount();
        state.queuedBytes = this->network->getCurrentQueueSize();
    }
    return state;
}

kj::Promise<size_t> BackpressureStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    // A stalled write fails by itself, which cancels the read.
    if (nextStep(this->state(), this->loop.clock().now()) == ConnectionStep::Read) {
        return this->inner->tryRead(buffer, minBytes, maxBytes);
    }
    auto paused = kj::newPromiseAndFulfiller<void>();
    this->pausedRead = kj::mv(paused.fulfiller);
    return paused.promise.then([this, buffer, minBytes, maxBytes] { return this->tryRead(buffer, minBytes, maxBytes); });
}

kj::Promise<void> BackpressureStream::write(const void *buffer, size_t size)
{
    return this->bounded(this->writeBlocks(kj::arrayPtr(static_cast<const kj::byte *>(buffer), size)));
}

kj::Promise<void> BackpressureStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    size_t total = 0;
    for (const auto piece : pieces) {
        total += piece.size();
    }
    return this->bounded(total <= blockBytes ? this->inner->write(pieces) : this->writePieces(pieces));
}

kj::Promise<void> BackpressureStream::writeBlocks(kj::ArrayPtr<const kj::byte> bytes)
{
    const size_t size = std::min(bytes.size(), blockBytes);
    return this->inner->write(bytes.begin(), size).then([this, rest = bytes.slice(size, bytes.size())]() -> kj::Promise<void> {
        this->noteProgress();
        return rest.size() == 0 ? kj::Promise<void>(kj::READY_NOW) : this->writeBlocks(rest);
    });
}

kj::Promise<void> BackpressureStream::writePieces(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (pieces.size() == 0) {
        return kj::READY_NOW;
    }
    return this->writeBlocks(pieces[0]).then([this, rest = pieces.slice(1, pieces.size())] { return this->writePieces(rest); });
}

void BackpressureStream::noteProgress()
{
    this->writes.lastProgress = this->loop.clock().now();
}

kj::Promise<void> BackpressureStream::bounded(kj::Promise<void> write)
{
    this->noteProgress();
    this->writes.lastCheck = *this->writes.lastProgress;
    return write
        .then([this] {
            this->writes.lastProgress = std::nullopt;
            // The read checks the queue again and pauses once more when it is still too long.
            KJ_IF_MAYBE (fulfiller, this->pausedRead) {
                (*fulfiller)->fulfill();
                this->pausedRead = nullptr;
            }
        })
        .exclusiveJoin(this->failWhenStalled());
}

kj::Promise<void> BackpressureStream::failWhenStalled()
{
    return this->loop.after(writeCheckInterval).then([this]() -> kj::Promise<void> {
        const AK::Milliseconds now = this->loop.clock().now();
        recordCheck(this->writes, now);
        if (nextStep(this->state(), now) != ConnectionStep::End) {
            return this->failWhenStalled();
        }
        kj::runCatchingExceptions([&] { this->inner->shutdownWrite(); });
        return KJ_EXCEPTION(DISCONNECTED, "the peer does not read");
    });
}

kj::Promise<void> BackpressureStream::whenWriteDisconnected()
{
    return this->inner->whenWriteDisconnected();
}

void BackpressureStream::shutdownWrite()
{
    this->inner->shutdownWrite();
}

void BackpressureStream::abortRead()
{
    this->inner->abortRead();
}

void BackpressureStream::getsockopt(int level, int option, void *value, kj::uint *length)
{
    this->inner->getsockopt(level, option, value, length);
}

void BackpressureStream::setsockopt(int level, int option, const void *value, kj::uint length)
{
    this->inner->setsockopt(level, option, value, length);
}

} // namespace LibPeers
