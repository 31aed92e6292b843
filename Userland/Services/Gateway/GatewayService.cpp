#include "GatewayService.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibFiber/Acceptor.h>
#include <LibHttpStream/MessageReader.h>

namespace Gateway
{

namespace
{

// Time in which a client reads the last response before the connection is closed.
constexpr AK::Milliseconds lingerTime = 300;
// Short, because another entry can take the call at once.
constexpr AK::Milliseconds drainRetryAfter = 50;
// Large bodies of other clients are held for about as long as a call takes.
constexpr AK::Milliseconds noMemoryRetryAfter = 500;
constexpr int unavailable = 503;
// Added to the idle timeout of the configuration; clients reuse a connection for up to 80 % of that timeout.
constexpr AK::Milliseconds idleMargin = 1'000;

int statusFor(const absl::Status &status, bool headRead)
{
    constexpr int payloadTooLarge = 413;
    constexpr int headTooLarge = 431;
    constexpr int timedOut = 408;
    constexpr int badRequest = 400;
    switch (status.code()) {
    case absl::StatusCode::kResourceExhausted:
        return headRead ? payloadTooLarge : headTooLarge;
    case absl::StatusCode::kAborted:
        return unavailable;
    case absl::StatusCode::kDeadlineExceeded:
        return timedOut;
    default:
        return badRequest;
    }
}

} // namespace

GatewayService::GatewayService(const CallContext &context, AK::Endpoint address)
    : context(context)
    , address(std::move(address))
    , answersDue(nullptr)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->answerNow = kj::mv(paf.fulfiller);
    this->answersDue = paf.promise.fork();
}

absl::Status GatewayService::start()
{
    auto receiver = LibFiber::listenOn(this->context.loop, this->address);
    if (!receiver.ok()) {
        return receiver.status();
    }
    LibFiber::acceptEach(this->context.loop, kj::mv(*receiver),
                         [this](kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream) { this->serve(scope, kj::mv(stream)); });
    return absl::OkStatus();
}

LibFleet::ClientLimits GatewayService::limits() const
{
    const auto configuration = this->context.fleet.configuration();
    return configuration ? configuration->limits : LibFleet::ClientLimits{};
}

void GatewayService::serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream)
{
    LibFiber::ByteChannel channel(this->context.loop, kj::mv(stream));
    Connection connection;
    this->connections.insert(&connection);
    KJ_DEFER(this->connections.erase(&connection));
    while (true) {
        if (channel.buffered().empty() && !this->awaitRequest(scope, channel, connection)) {
            return;
        }
        ReceivedRequest request{LibHttpStream::BodyShare(this->context.bodyMemory)};
        if (const absl::Status status = this->readRequest(scope, channel, request); !status.ok()) {
            // What was read is dropped; the client may take its time to read the response.
            request.share.release();
            this->refuseUnreadableRequest(scope, channel, request, status);
            return;
        }
        if (!this->serveCall(scope, channel, std::move(request.head), std::move(request.body))) {
            return;
        }
    }
}

bool GatewayService::awaitRequest(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Connection &connection)
{
    const LibFiber::Loop &loop = this->context.loop;
    const AK::Milliseconds idleSince = loop.clock().now();
    auto paf = kj::newPromiseAndFulfiller<void>();
    connection.closeWhenIdle = kj::mv(paf.fulfiller);
    KJ_DEFER(connection.closeWhenIdle = nullptr);
    bool stopped = false;
    kj::ForkedPromise<void> stop = paf.promise.then([&stopped] { stopped = true; }).fork();
    while (!stopped && !channel.ended()) {
        // Read again after each wait, because a new configuration may have changed it.
        const AK::Milliseconds left = idleSince + this->limits().idleTimeout + idleMargin - loop.clock().now();
        if (left <= 0) {
            break;
        }
        channel.whenReadable().exclusiveJoin(stop.addBranch()).exclusiveJoin(this->context.loop.after(left)).wait(scope);
        if (!channel.buffered().empty()) {
            return true;
        }
    }
    // A request may have arrived in the turn in which the wait ended.
    return channel.fill(scope, loop.clock().now()).ok();
}

absl::Status GatewayService::readRequest(kj::WaitScope &scope, LibFiber::ByteChannel &channel, ReceivedRequest &request)
{
    const LibFleet::ClientLimits limits = this->limits();
    const AK::Milliseconds deadline = this->context.loop.clock().now() + limits.headTimeout;
    CATKINLINK_ASSIGN(const std::string text, LibHttpStream::readHeadText(channel, scope, limits.headBytes, deadline));
    CATKINLINK_ASSIGN(request.head, LibHttpStream::parseRequestHead(text));
    request.headRead = true;
    CATKINLINK_ASSIGN(const LibHttpStream::BodyFraming framing, LibHttpStream::requestBodyFraming(request.head.headers));
    if (framing.kind == LibHttpStream::FramingKind::Length && framing.length > limits.bodyBytes) {
        return absl::ResourceExhaustedError(AK::concat("the request body of ", framing.length, " bytes exceeds the limit of ", limits.bodyBytes, " bytes"));
    }
    LibHttpStream::BodyReader reader(channel, framing);
    CATKINLINK_ASSIGN(request.body, LibHttpStream::readBody(reader, scope, limits.bodyBytes, deadline + limits.idleTimeout, &request.share));
    return absl::OkStatus();
}

void GatewayService::refuseUnreadableRequest(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const ReceivedRequest &request, const absl::Status &status)
{
    if (absl::IsOutOfRange(status) || absl::IsUnavailable(status) || absl::IsDataLoss(status)) {
        return;
    }
    this->logger.info("request_unreadable", {{"reason", std::string(status.message())}});
    ClientChannel client(channel, true);
    const int code = statusFor(status, request.headRead);
    if (client.refuse(scope, code, LibHttpStream::reasonPhrase(code), code == unavailable ? noMemoryRetryAfter : 0).ok()) {
        // Closing a socket with unread bytes resets the connection, and the client could lose the response.
        this->closeGracefully(scope, channel);
    }
}

void GatewayService::closeGracefully(kj::WaitScope &scope, LibFiber::ByteChannel &channel)
{
    channel.finishWriting();
    this->context.loop.after(lingerTime).exclusiveJoin(channel.whenClosed()).wait(scope);
}

bool GatewayService::serveCall(kj::WaitScope &scope, LibFiber::ByteChannel &channel, LibHttpStream::RequestHead head, std::string body)
{
    ++this->calls;
    KJ_DEFER(--this->calls);
    const bool lastCall = this->draining || LibHttpStream::hasToken(head.headers, "Connection", "close");
    ClientChannel client(channel, lastCall);
    if (this->draining && this->context.loop.clock().now() >= this->acceptUntil) {
        this->logger.info("call_refused", {{"reason", "this entry is about to stop"}});
        if (client.refuse(scope, unavailable, "this entry is about to stop", drainRetryAfter).ok()) {
            this->closeGracefully(scope, channel);
        }
        return false;
    }
    const bool clientGone = this->runCall(scope, channel, client, std::move(head), std::move(body));
    if (clientGone || !client.complete()) {
        channel.resetOnClose();
        return false;
    }
    if (client.closeAfter()) {
        this->closeGracefully(scope, channel);
        return false;
    }
    return true;
}

bool GatewayService::runCall(kj::WaitScope &scope, LibFiber::ByteChannel &channel, ClientChannel &client, LibHttpStream::RequestHead head, std::string body)
{
    bool clientGone = false;
    bool answerDue = false;
    CallTask task(this->context, std::move(head), std::move(body), client);
    kj::Promise<void> gone = channel.whenClosed().then([&clientGone] { clientGone = true; });
    kj::ForkedPromise<void> ended = this->context.loop.fiber([&task](kj::WaitScope &inner) { task.run(inner); }).exclusiveJoin(kj::mv(gone)).fork();
    ended.addBranch().exclusiveJoin(this->answersDue.addBranch().then([&answerDue] { answerDue = true; })).wait(scope);
    if (answerDue && client.begun() && !client.complete()) {
        ended.addBranch().wait(scope);
    } else if (answerDue && !clientGone && !client.begun()) {
        // Cancels the call.
        ended = nullptr;
        client.requestClose();
        task.endBeforeStop(scope, drainRetryAfter);
    }
    return clientGone;
}

void GatewayService::beginDrain(AK::Milliseconds acceptFor)
{
    this->draining = true;
    this->acceptUntil = this->context.loop.clock().now() + acceptFor;
}

void GatewayService::answerCalls()
{
    this->answerNow->fulfill();
}

void GatewayService::closeIdle()
{
    for (Connection *connection : this->connections) {
        if (connection->closeWhenIdle.get() != nullptr) {
            connection->closeWhenIdle->fulfill();
        }
    }
}

size_t GatewayService::openConnections() const
{
    return this->connections.size();
}

size_t GatewayService::callsInProgress() const
{
    return this->calls;
}

} // namespace Gateway
