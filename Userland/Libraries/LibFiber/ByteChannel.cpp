#include <LibFiber/ByteChannel.h>

#include <LibFiber/SocketOptions.h>
#include <absl/strings/match.h>
#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <cstring>
#include <kj/debug.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <utility>

namespace LibFiber
{

namespace
{

constexpr size_t readBytes = 8192;
// Bytes read ahead while a response is being produced; further bytes stay in the kernel's buffer.
constexpr size_t readAheadLimit = 64UL * 1024;
constexpr size_t writePieceBytes = 64UL * 1024;
// Looks at what a peer that reads slowly has acknowledged, in the time after which it counts as stalled.
constexpr int looksPerStall = 8;

// Whether a write has failed because the peer had ended its side before the connection broke: Linux then reports EPIPE, and ECONNRESET or ETIMEDOUT otherwise.
// A failed write keeps its error number only in its text.
bool failedAfterEnd(const absl::Status &status)
{
    return absl::StrContains(status.message(), std::strerror(EPIPE));
}

} // namespace

ByteChannel::ByteChannel(Loop &loop, kj::Own<kj::AsyncIoStream> stream)
    : loop(loop)
    , stream(kj::mv(stream))
    , scratch(kj::heapArray<kj::byte>(readBytes))
{
    setLossDetection(*this->stream);
}

ByteChannel::~ByteChannel() = default;

absl::StatusOr<kj::Own<ByteChannel>> ByteChannel::connect(Loop &loop, kj::WaitScope &scope, const AK::Endpoint &endpoint, AK::Milliseconds deadline)
{
    auto address = networkAddress(loop, endpoint);
    if (!address.ok()) {
        return address.status();
    }
    auto stream = loop.await(scope, kj::evalNow([&] { return (*address)->connect(); }), deadline);
    if (!stream.ok()) {
        return stream.status();
    }
    return kj::heap<ByteChannel>(loop, kj::mv(*stream));
}

std::string_view ByteChannel::buffered() const
{
    return std::string_view(this->buffer).substr(this->consumed);
}

Loop &ByteChannel::eventLoop() const
{
    return this->loop;
}

std::optional<size_t> ByteChannel::find(std::string_view delimiter)
{
    if (delimiter != this->searchedDelimiter) {
        this->searchedDelimiter = delimiter;
        this->searched = 0;
    }
    const std::string_view bytes = this->buffered();
    const size_t found = bytes.find(delimiter, this->searched);
    if (found != std::string_view::npos) {
        this->searched = found;
        return found;
    }
    // The delimiter may begin in the last bytes.
    this->searched = bytes.size() - std::min(bytes.size(), delimiter.size() - 1);
    return std::nullopt;
}

void ByteChannel::consume(size_t bytes)
{
    this->searched = 0;
    this->consumed += bytes;
    if (this->consumed >= this->buffer.size()) {
        this->buffer.clear();
        this->consumed = 0;
    }
}

void ByteChannel::startRead()
{
    this->state = ReadState::Pending;
    // tryRead() throws when the connection is already known to be broken; evalNow() turns that into a rejected promise.
    this->pending = kj::evalNow([this] { return this->stream->tryRead(this->scratch.begin(), 1, this->scratch.size()); })
                        .then(
                            [this](size_t bytes) {
                                if (bytes == 0) {
                                    this->state = ReadState::Ended;
                                    return;
                                }
                                if (this->consumed > 0) {
                                    this->buffer.erase(0, this->consumed);
                                    this->consumed = 0;
                                }
                                this->buffer.append(reinterpret_cast<const char *>(this->scratch.begin()), bytes);
                                this->state = ReadState::Idle;
                            },
                            [this](kj::Exception &&) { this->state = ReadState::Broken; })
                        .fork();
}

kj::Promise<void> ByteChannel::readMore()
{
    if (this->state == ReadState::Ended || this->state == ReadState::Broken) {
        return kj::READY_NOW;
    }
    if (this->state == ReadState::Idle) {
        this->startRead();
    }
    return KJ_ASSERT_NONNULL(this->pending).addBranch();
}

absl::Status ByteChannel::fill(kj::WaitScope &scope, AK::Milliseconds deadline)
{
    const size_t before = this->buffered().size();
    while (this->buffered().size() == before) {
        if (this->state == ReadState::Ended && this->writesInProgress > 0) {
            // A write that has got the error of the connection fails in this turn.
            this->loop.yield(scope);
        }
        if (this->state == ReadState::Ended && !this->errorTaken) {
            return absl::OutOfRangeError("the peer closed the connection");
        }
        if (this->ended()) {
            return absl::UnavailableError("the peer reset the connection");
        }
        if (absl::Status status = this->loop.awaitDone(scope, this->readMore(), deadline); !status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

absl::Status ByteChannel::noteWriteError(absl::Status status)
{
    if (!status.ok() && !absl::IsDeadlineExceeded(status) && !failedAfterEnd(status)) {
        this->errorTaken = true;
    }
    return status;
}

absl::Status ByteChannel::write(kj::WaitScope &scope, std::string_view data, AK::Milliseconds deadline)
{
    ++this->writesInProgress;
    KJ_DEFER(--this->writesInProgress);
    return this->noteWriteError(this->loop.awaitDone(scope, kj::evalNow([&] { return this->stream->write(data.data(), data.size()); }), deadline));
}

absl::Status ByteChannel::writeWhileRead(kj::WaitScope &scope, std::string_view data, AK::Milliseconds stallTimeout)
{
    ++this->writesInProgress;
    KJ_DEFER(--this->writesInProgress);
    AK::Milliseconds readAt = this->loop.clock().now();
    const AK::Milliseconds endsBy = readAt + stallTimeout + static_cast<AK::Milliseconds>(data.size()) / minReadRate;
    std::optional<uint64_t> acknowledged;
    // Where the system does not tell what was acknowledged, a piece that goes out shows that the peer reads.
    for (; !data.empty(); data.remove_prefix(std::min(data.size(), writePieceBytes))) {
        const std::string_view piece = data.substr(0, writePieceBytes);
        kj::ForkedPromise<void> promise = kj::evalNow([&] { return this->stream->write(piece.data(), piece.size()); }).fork();
        while (true) {
            const AK::Milliseconds lookAt = std::min({this->loop.clock().now() + stallTimeout / looksPerStall, readAt + stallTimeout, endsBy});
            absl::Status status = this->noteWriteError(this->loop.awaitDone(scope, promise.addBranch(), lookAt));
            const AK::Milliseconds now = this->loop.clock().now();
            if (status.ok()) {
                readAt = now;
                break;
            }
            const std::optional<uint64_t> before = std::exchange(acknowledged, this->acknowledgedBytes());
            readAt = before && acknowledged && *acknowledged > *before ? now : readAt;
            if (!absl::IsDeadlineExceeded(status) || now >= readAt + stallTimeout || now >= endsBy) {
                return status;
            }
        }
    }
    return absl::OkStatus();
}

std::optional<uint64_t> ByteChannel::acknowledgedBytes() const
{
    KJ_IF_MAYBE (descriptor, this->stream->getFd()) {
        tcp_info info{};
        socklen_t size = sizeof info;
        const bool told = ::getsockopt(*descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
        if (told && size >= offsetof(tcp_info, tcpi_bytes_acked) + sizeof info.tcpi_bytes_acked) {
            return info.tcpi_bytes_acked;
        }
    }
    return std::nullopt;
}

kj::Promise<void> ByteChannel::whenClosed()
{
    if (this->ended()) {
        return kj::READY_NOW;
    }
    if (this->buffered().size() >= readAheadLimit) {
        return kj::NEVER_DONE;
    }
    return this->readMore().then([this] { return this->whenClosed(); });
}

kj::Promise<void> ByteChannel::whenReadable()
{
    return this->readMore();
}

bool ByteChannel::ended() const
{
    return this->state == ReadState::Ended || this->state == ReadState::Broken;
}

bool ByteChannel::peerHasClosed()
{
    if (this->ended()) {
        return true;
    }
    KJ_IF_MAYBE (descriptor, this->stream->getFd()) {
        char next = 0;
        const ssize_t size = ::recv(*descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool failed = size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
        this->errorTaken = this->errorTaken || failed;
        return size == 0 || failed;
    }
    return false;
}

void ByteChannel::finishWriting()
{
    kj::runCatchingExceptions([&] { this->stream->shutdownWrite(); });
}

void ByteChannel::resetOnClose()
{
    const linger reset{1, 0};
    kj::runCatchingExceptions([&] { this->stream->setsockopt(SOL_SOCKET, SO_LINGER, &reset, sizeof reset); });
}

} // namespace LibFiber
