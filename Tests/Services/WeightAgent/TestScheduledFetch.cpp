#include "LoneAgent.h"

#include <LibPeers/PeerServer.h>
#include <Loopback/ProcessHost.h>
#include <gtest/gtest.h>

namespace
{

using namespace LoneAgentTest;
using namespace WeightAgent;

constexpr size_t agentCount = 8;
constexpr uint32_t chunks = 32;
constexpr uint16_t firstPort = 17'930;

WeightsManifest longManifest()
{
    WeightsManifest manifest{newVersion, 1, {}};
    for (uint32_t i = 0; i < chunks; ++i) {
        manifest.digests.push_back(AK::sha256Hex(soundChunk(i)));
    }
    return manifest;
}

/// An origin that is away for a while and whose reads share a link.
class SlowOrigin final : public SoundOrigin
{
public:
    explicit SlowOrigin(LibFiber::Loop &loop)
        : loop(loop)
        , startedAt(loop.clock().now())
    {
    }

    absl::Status probe(kj::WaitScope & /*scope*/, const AK::Endpoint & /*origin*/) override
    {
        return this->away() ? absl::UnavailableError("away") : absl::OkStatus();
    }
    absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint & /*origin*/, const std::string & /*name*/, int64_t /*version*/,
                                      uint32_t index) override
    {
        constexpr AK::Milliseconds chunkTime = 20;
        ++this->reading;
        KJ_DEFER(--this->reading);
        this->mostReading = std::max(this->mostReading, this->away() ? 0 : this->reading);
        this->loop.sleep(scope, chunkTime * this->reading);
        if (this->away()) {
            return absl::UnavailableError("away");
        }
        ++this->sent;
        return soundChunk(index);
    }
    bool away() const
    {
        const AK::Milliseconds elapsed = this->loop.clock().now() - this->startedAt;
        return elapsed > 200 && elapsed < 1'500;
    }

    LibFiber::Loop &loop;
    AK::Milliseconds startedAt;
    int reading = 0;
    int mostReading = 0;
    size_t sent = 0;
};

struct Agent final : LibPeers::PeerHandler {
    Agent(LibFiber::Loop &loop, uint16_t port)
        : store(loop.clock(), 10'000'000)
        , held(this->store.add(model, "text", longManifest()))
        , server(loop, *this, &this->store, nullptr)
        , listening(this->server.listen({Loopback::processHost(), port}))
    {
    }
    LibPeers::NodeState exchange(const LibPeers::NodeState &) override
    {
        return {};
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind, LibFleet::StorePosition, bool) override
    {
        return {};
    }

    VersionStore store;
    std::shared_ptr<HeldVersion> held;
    LibPeers::PeerServer server;
    absl::Status listening;
    ManifestProof proof;
    OriginContact contact;
};

// Guards against agents that all read from an origin that was away for a while when it is back, and against agents that wait for it in vain.
TEST(ScheduledFetch, GoesOnWhenTheOriginIsBack)
{
    LibFiber::Loop loop;
    SlowOrigin origin(loop);
    std::vector<std::unique_ptr<Agent>> agents;
    std::vector<SwarmPeer> all;
    for (size_t i = 0; i < agentCount; ++i) {
        const auto port = static_cast<uint16_t>(firstPort + i);
        agents.push_back(std::make_unique<Agent>(loop, port));
        ASSERT_TRUE(agents.back()->listening.ok());
        all.push_back({{"a" + std::to_string(i), "lima"}, {Loopback::processHost(), port}});
    }
    const AK::Milliseconds startedAt = loop.clock().now();
    size_t complete = 0;
    for (size_t i = 0; i < agentCount; ++i) {
        loop.spawn([&, i](kj::WaitScope &scope) {
            SwarmView view{all, AK::Endpoint{"127.0.0.1", 1}, "lima", 0, {10, 10, 25'000}};
            view.peers.erase(view.peers.begin() + static_cast<std::ptrdiff_t>(i));
            SwarmFetch fetch(loop, origin, agents[i]->proof, agents[i]->contact, {all[i].member.name, "lima"}, model, newVersion, view, startedAt);
            fetch.fetchAll(scope, *agents[i]->held,
                           {[] { return true; }, [&] { return view; },
                            [](size_t) {
                            }});
            ++complete;
        });
    }
    constexpr AK::Milliseconds limit = 6'000;
    while (complete < agentCount && loop.clock().now() - startedAt < limit) {
        loop.sleep(loop.rootScope(), 10);
    }
    EXPECT_EQ(complete, agentCount);
    EXPECT_LE(origin.sent, chunks * 13 / 10);
    EXPECT_LE(origin.mostReading, 5);
    RecordProperty("sent", static_cast<int>(origin.sent));
    RecordProperty("ms", static_cast<int>(loop.clock().now() - startedAt));
    RecordProperty("most", origin.mostReading);
    loop.cancelSpawned();
}

} // namespace
