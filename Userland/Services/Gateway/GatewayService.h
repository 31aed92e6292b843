#pragma once

#include "CallTask.h"
#include <set>

namespace Gateway
{

/// Accepts the connections of clients and runs their calls, with one fiber per connection and one per call.
class GatewayService
{
public:
    GatewayService(const CallContext &context, AK::Endpoint address);

    /// Errors: those of LibFiber::listenOn().
    absl::Status start();

    /// From now on each response ends its connection. Idle connections stay open for clients that have not yet fetched a new list of addresses. After
    /// `acceptFor` ms calls are refused, because a stream might not end before the process must stop.
    void beginDrain(AK::Milliseconds acceptFor);

    /// Gives each call whose response has not begun its final answer now: "not run" if it was not sent to an upstream. Streams that have begun go on.
    void answerCalls();

    /// Closes the connections that have no call in progress.
    void closeIdle();

    size_t openConnections() const;
    size_t callsInProgress() const;

private:
    /// Lets the service close a connection from outside the connection's fiber.
    struct Connection {
        kj::Own<kj::PromiseFulfiller<void>> closeWhenIdle;
    };

    struct ReceivedRequest {
        /// Memory of the body.
        LibHttpStream::BodyShare share;
        /// False while the head has not been read.
        bool headRead = false;
        LibHttpStream::RequestHead head;
        std::string body;
    };

    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);
    /// Waits for the first byte of a request. Returns false when the connection has ended, has been idle for too long or is to be closed.
    bool awaitRequest(kj::WaitScope &scope, LibFiber::ByteChannel &channel, Connection &connection);
    /// Errors: those of LibHttpStream::readHeadText(), parseRequestHead() and readBody().
    absl::Status readRequest(kj::WaitScope &scope, LibFiber::ByteChannel &channel, ReceivedRequest &request);
    /// Closes the sending side and waits a short time until the client has closed its side.
    void closeGracefully(kj::WaitScope &scope, LibFiber::ByteChannel &channel);
    /// Returns whether the connection may carry another call.
    bool serveCall(kj::WaitScope &scope, LibFiber::ByteChannel &channel, LibHttpStream::RequestHead head, std::string body);
    /// Runs a call until its response is complete or has to end. Returns whether the client has left.
    bool runCall(kj::WaitScope &scope, LibFiber::ByteChannel &channel, ClientChannel &client, LibHttpStream::RequestHead head, std::string body);
    void refuseUnreadableRequest(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const ReceivedRequest &request, const absl::Status &status);
    LibFleet::ClientLimits limits() const;

    CallContext context;
    AK::Endpoint address;
    std::set<Connection *> connections;
    size_t calls = 0;
    bool draining = false;
    AK::Milliseconds acceptUntil = 0;
    kj::Own<kj::PromiseFulfiller<void>> answerNow;
    kj::ForkedPromise<void> answersDue;
    LibLog::Logger logger{"gateway"};
};

} // namespace Gateway
