#pragma once

#include "CallTask.h"
#include <set>

namespace Gateway
{

/// Takes the connections of clients; one fiber for each connection and one for each call on it.
class GatewayService
{
public:
    GatewayService(const CallContext &context, AK::Endpoint address);

    /// Errors: those of LibFiber::listenOn().
    absl::Status start();

    /// From now on each answer ends its connection. Idle connections stay open for clients that have not asked for addresses again yet. After `takeFor` ms
    /// calls are refused, because a stream might not end before the process must.
    void beginDrain(AK::Milliseconds takeFor);

    /// Ends the connections on which nothing is going on.
    void closeIdle();

    size_t openConnections() const;
    size_t callsInProgress() const;

private:
    /// A connection as the service sees it from outside its fiber.
    struct Connection {
        kj::Own<kj::PromiseFulfiller<void>> closeWhenIdle;
    };

    void serve(kj::WaitScope &scope, kj::Own<kj::AsyncIoStream> stream);
    absl::StatusOr<LibHttpStream::RequestHead> readRequest(kj::WaitScope &scope, LibFiber::ByteChannel &channel, std::string &body);
    void endAfterAnswer(kj::WaitScope &scope, LibFiber::ByteChannel &channel);
    bool serveCall(kj::WaitScope &scope, LibFiber::ByteChannel &channel, LibHttpStream::RequestHead head, std::string body);
    void refuseUnreadable(kj::WaitScope &scope, LibFiber::ByteChannel &channel, const absl::Status &status);
    LibFleet::ClientLimits limits() const;

    CallContext context;
    AK::Endpoint address;
    std::set<Connection *> connections;
    size_t calls = 0;
    bool draining = false;
    AK::Milliseconds takeUntil = 0;
    LibLog::Logger logger{"gateway"};
};

} // namespace Gateway
