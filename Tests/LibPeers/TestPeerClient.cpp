#include <LibPeers/PeerClient.h>
#include <LibPeers/PeerServer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>
#include <kj/debug.h>
#include <list>
#include <sys/socket.h>

namespace
{

using namespace LibPeers;

class EmptyPeerHandler final : public PeerHandler
{
public:
    NodeState exchange(const NodeState & /*from*/) override
    {
        return {};
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind /*kind*/, LibFleet::StorePosition /*newerThan*/, bool /*agentPart*/) override
    {
        return {};
    }
};

/// Passes connections on to a server and can reset all of them at once, as the end of the server's process does.
class ResettingRelay
{
public:
    ResettingRelay(LibFiber::Loop &loop, const AK::Endpoint &address, const AK::Endpoint &server)
        : loop(loop)
        , server(server)
    {
        auto opened = LibFiber::listenOn(loop, address);
        KJ_ASSERT(opened.ok());
        this->receiver = kj::mv(*opened);
        loop.spawn([this](kj::WaitScope &scope) { this->accept(scope); });
    }

    void resetAll()
    {
        for (Pair &pair : this->pairs) {
            pair.pumps = nullptr;
            const linger reset{1, 0};
            pair.fromClient->setsockopt(SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        }
        this->pairs.clear();
    }

private:
    struct Pair {
        kj::Own<kj::AsyncIoStream> fromClient;
        kj::Own<kj::AsyncIoStream> toServer;
        kj::Promise<void> pumps = nullptr;
    };

    void accept(kj::WaitScope &scope)
    {
        while (true) {
            Pair pair;
            pair.fromClient = this->receiver->accept().wait(scope);
            auto target = LibFiber::networkAddress(this->loop, this->server);
            KJ_ASSERT(target.ok());
            pair.toServer = (*target)->connect().wait(scope);
            auto pumps = kj::heapArrayBuilder<kj::Promise<void>>(2);
            pumps.add(pair.fromClient->pumpTo(*pair.toServer).ignoreResult());
            pumps.add(pair.toServer->pumpTo(*pair.fromClient).ignoreResult());
            pair.pumps = kj::joinPromises(pumps.finish()).eagerlyEvaluate([](kj::Exception &&) {});
            this->pairs.push_back(kj::mv(pair));
        }
    }

    LibFiber::Loop &loop;
    AK::Endpoint server;
    kj::Own<kj::ConnectionReceiver> receiver;
    std::list<Pair> pairs;
};

// Guards against a process that ends when several peers are killed at once: a call that failed at one of them went on to the next, whose connection was reset
// in the same turn of the event loop.
TEST(PeerClient, SurvivesSeveralConnectionsThatAreResetAtOnce)
{
    constexpr uint16_t serverPort = 17'810;
    constexpr uint16_t firstRelayPort = 17'811;
    constexpr size_t peers = 4;
    constexpr int rounds = 100;
    constexpr AK::Milliseconds callTime = 1'000;
    LibFiber::Loop loop;
    kj::WaitScope &scope = loop.rootScope();
    EmptyPeerHandler handler;
    PeerServer server(loop, handler, nullptr, nullptr);
    ASSERT_TRUE(server.listen({Loopback::processHost(), serverPort}).ok());
    std::vector<std::unique_ptr<ResettingRelay>> relays;
    std::vector<std::unique_ptr<PeerClient>> clients;
    for (size_t i = 0; i < peers; ++i) {
        const AK::Endpoint address{Loopback::processHost(), static_cast<uint16_t>(firstRelayPort + i)};
        relays.push_back(std::make_unique<ResettingRelay>(loop, address, AK::Endpoint{Loopback::processHost(), serverPort}));
        clients.push_back(std::make_unique<PeerClient>(loop, address));
    }
    int failures = 0;
    for (int round = 0; round < rounds; ++round) {
        for (const auto &client : clients) {
            ASSERT_TRUE(client->exchange(scope, {}, loop.clock().now() + callTime).ok());
        }
        int ended = 0;
        for (size_t first = 0; first < peers; ++first) {
            loop.spawn([&, first](kj::WaitScope &inner) {
                for (size_t i = 0; i < peers; ++i) {
                    const auto offered = clients[(first + i) % peers]->requestSlot(inner, {}, loop.clock().now() + callTime);
                    failures += offered.ok() ? 0 : 1;
                }
                ++ended;
            });
        }
        // Lets the calls be sent.
        kj::evalLater([] {}).wait(scope);
        for (const auto &relay : relays) {
            relay->resetAll();
        }
        while (ended < static_cast<int>(peers)) {
            loop.sleep(scope, 1);
        }
    }
    EXPECT_GT(failures, rounds);
    loop.cancelSpawned();
}

} // namespace
