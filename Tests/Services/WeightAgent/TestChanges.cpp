#include "LoneAgent.h"

#include <LibPeers/PeerServer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using namespace LoneAgentTest;
using namespace WeightAgent;

constexpr int64_t nextVersion = newVersion + 1;

/// An origin that withholds chunks from a number on until it is opened.
class GatedOrigin final : public SoundOrigin
{
public:
    GatedOrigin(LibFiber::Loop &loop, uint32_t firstWithheld)
        : loop(loop)
        , firstWithheld(firstWithheld)
    {
    }

    absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version, uint32_t index) override
    {
        while (!this->open && index >= this->firstWithheld) {
            this->loop.sleep(scope, 10);
        }
        return SoundOrigin::chunk(scope, origin, name, version, index);
    }

    LibFiber::Loop &loop;
    uint32_t firstWithheld;
    bool open = false;
};

// Guards against the manifest of a version that is read only after the one before it is complete: by then the origin may be away.
TEST(AnnouncedVersions, HaveTheirManifestsReadAtOnce)
{
    LibFiber::Loop loop;
    MemoryEngine engine;
    GatedOrigin origin(loop, 0);
    LoneAgent agent(loop, engine, origin);
    ASSERT_TRUE(agent.runUntil([&] { return !agent.service.versions().manifest(model, newVersion).empty(); }));
    agent.name(nextVersion);
    EXPECT_TRUE(agent.runUntil([&] { return !agent.service.versions().manifest(model, nextVersion).empty(); }, 2'000));
    origin.open = true;
    EXPECT_TRUE(agent.runUntil([&] { return engine.loadedVersion == nextVersion; }));
}

// Guards against engines that idle while all chunks are staged after the last one has arrived.
TEST(Staging, FollowsTheChunks)
{
    LibFiber::Loop loop;
    MemoryEngine engine;
    GatedOrigin origin(loop, chunkCount - 1);
    LoneAgent agent(loop, engine, origin);
    EXPECT_TRUE(agent.runUntil([&] { return engine.staged.size() == chunkCount - 1; }, 4'000));
    EXPECT_EQ(engine.loads, 0);
    origin.open = true;
    EXPECT_TRUE(agent.runUntil([&] { return engine.loadedVersion == newVersion; }));
    for (uint32_t i = 0; i < chunkCount; ++i) {
        EXPECT_EQ(engine.loaded[i], soundChunk(i));
    }
}

class NoExchange final : public LibPeers::PeerHandler
{
public:
    LibPeers::NodeState exchange(const LibPeers::NodeState &) override
    {
        return {};
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind, LibFleet::StorePosition, bool) override
    {
        return {};
    }
};

// Guards against a fetch that ends when the set of peers changes and forgets what the others offer, and against one that never asks a peer that joins later.
TEST(SwarmFetch, GoesOnWhenPeersJoin)
{
    LibFiber::Loop loop;
    NoExchange handler;
    VersionStore store(loop.clock(), 10'000'000);
    const auto offered = store.add(model, "text", soundManifest(newVersion));
    for (uint32_t i = 0; i < chunkCount; ++i) {
        ASSERT_TRUE(offered->put(i, soundChunk(i)).ok());
    }
    constexpr uint16_t port = 17'927;
    const AK::Endpoint address{Loopback::processHost(), port};
    LibPeers::PeerServer server(loop, handler, &store, nullptr);
    ASSERT_TRUE(server.listen(address).ok());
    SoundOrigin origin;
    ManifestProof proof;
    SwarmView view;
    view.peers.push_back({{"silent", "lima"}, {Loopback::processHost(), static_cast<uint16_t>(port + 1)}});
    const AK::Milliseconds startedAt = loop.clock().now();
    const auto currentView = [&] {
        SwarmView now = view;
        if (loop.clock().now() - startedAt > 400) {
            now.peers[0] = {{"joined", "lima"}, address};
        }
        return now;
    };
    HeldVersion held("text", soundManifest(newVersion));
    OriginContact contact;
    SwarmFetch fetch(loop, origin, proof, contact, {"self", "lima"}, model, newVersion, view, startedAt);
    fetch.fetchAll(loop.rootScope(), held,
                   {[&] { return loop.clock().now() - startedAt < 4'000; }, currentView,
                    [](size_t) {
                    }});
    EXPECT_TRUE(held.complete());
    loop.cancelSpawned();
}

} // namespace
