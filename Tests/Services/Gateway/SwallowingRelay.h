#pragma once

#include <LibFiber/Loop.h>
#include <kj/debug.h>
#include <list>

/// Passes connections on to a server until it swallows what they carry, which leaves both ends open without a reset: neither end can tell it from a peer that
/// has nothing to say. New connections are passed on all the same.
class SwallowingRelay
{
public:
    SwallowingRelay(LibFiber::Loop &loop, const AK::Endpoint &address, AK::Endpoint server)
        : loop(loop)
        , server(std::move(server))
    {
        auto opened = LibFiber::listenOn(loop, address);
        KJ_ASSERT(opened.ok());
        this->receiver = kj::mv(*opened);
        loop.spawn([this](kj::WaitScope &scope) { this->accept(scope); });
    }

    void swallow()
    {
        for (Pair &pair : this->pairs) {
            pair.toServer.open = false;
            pair.toClient.open = false;
        }
    }

    /// Ends the connections so far with a close.
    void close()
    {
        this->pairs.clear();
    }

private:
    struct Direction {
        kj::AsyncIoStream *from = nullptr;
        kj::AsyncIoStream *to = nullptr;
        bool open = true;
        kj::Promise<void> pump = nullptr;
    };

    struct Pair {
        kj::Own<kj::AsyncIoStream> client;
        kj::Own<kj::AsyncIoStream> upstream;
        Direction toServer;
        Direction toClient;
    };

    void accept(kj::WaitScope &scope)
    {
        while (true) {
            kj::Own<kj::AsyncIoStream> client = this->receiver->accept().wait(scope);
            auto target = LibFiber::networkAddress(this->loop, this->server);
            KJ_ASSERT(target.ok());
            Pair &pair = this->pairs.emplace_back();
            pair.client = kj::mv(client);
            pair.upstream = (*target)->connect().wait(scope);
            this->start(pair.toServer, *pair.client, *pair.upstream);
            this->start(pair.toClient, *pair.upstream, *pair.client);
        }
    }

    void start(Direction &direction, kj::AsyncIoStream &from, kj::AsyncIoStream &to)
    {
        direction.from = &from;
        direction.to = &to;
        direction.pump = this->loop
                             .fiber([&direction](kj::WaitScope &scope) {
                                 kj::byte bytes[4096];
                                 while (const size_t read = direction.from->tryRead(bytes, 1, sizeof bytes).wait(scope)) {
                                     if (direction.open) {
                                         direction.to->write(bytes, read).wait(scope);
                                     }
                                 }
                                 if (direction.open) {
                                     direction.to->shutdownWrite();
                                 }
                             })
                             .eagerlyEvaluate([](kj::Exception &&) {});
    }

    LibFiber::Loop &loop;
    AK::Endpoint server;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::list<Pair> pairs;
};
