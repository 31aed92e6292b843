#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibFleet/ObjectFeed.h>
#include <array>
#include <kj/memory.h>
#include <optional>
#include <string>
#include <vector>

namespace LibPeers
{

/// What an agent read of its engine.
struct EngineReport {
    /// "IP:port" that takes calls.
    std::string upstream;
    /// Complete weights loaded, 0 when none.
    int64_t weightsVersion = 0;
    uint32_t running = 0;
    uint32_t waiting = 0;
    /// Tokens times layers.
    uint64_t kvUsed = 0;
    uint64_t kvTotal = 0;
    /// Above 1 the engine is slower than its operator states.
    double slowdown = 1;
    /// A load command is in progress or about to be given; no new work.
    bool switching = false;
    /// Wall time of the engine's start in ms.
    int64_t startTime = 0;
};

/// What a process tells another in each exchange.
struct NodeState {
    std::string name;
    std::string failureDomain;
    std::string rpcAddress;
    /// Entries: "IP:port" where clients connect.
    std::string clientAddress;
    bool ready = false;
    bool leaving = false;
    /// Store revision at which the known objects last changed, by kind of object.
    std::array<int64_t, LibFleet::objectKindCount> revisions{};
    std::optional<EngineReport> engine;
};

/// Asks for a place at an upstream that the other entry owns.
struct SlotRequest {
    std::string service;
    int64_t promptTokens = 0;
    /// 0 is the most urgent.
    int priority = 0;
    bool returning = false;
    /// Allowed regions; empty for any.
    std::vector<std::string> regions;
    /// Upstreams that may not get the call.
    std::vector<std::string> excluded;
};

/// A place at an upstream; given back when it is dropped.
class HeldSlot
{
public:
    HeldSlot() = default;
    virtual ~HeldSlot() noexcept(false) = default;
    KJ_DISALLOW_COPY(HeldSlot);

    /// The upstream has read the prompt: its first event has arrived.
    virtual void promptRead() = 0;
};

struct OfferedSlot {
    /// Id of the upstream.
    std::string upstream;
    kj::Own<HeldSlot> slot;
};

/// Gives places at the upstreams of this entry to calls of other entries.
class SlotProvider
{
public:
    virtual ~SlotProvider() = default;

    /// Returns at once; nothing when no place is free.
    virtual kj::Maybe<OfferedSlot> offerSlot(const SlotRequest &request) = 0;
};

/// Answers the calls of other processes. Each function returns at once.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    /// Takes the state of the caller and returns that of this process.
    virtual NodeState exchange(const NodeState &from) = 0;
    /// Objects of a kind; revision 0 when nothing newer is known. `agentPart`: without what only entries use.
    virtual LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, int64_t newerThan, bool agentPart) = 0;
};

/// Offers weights to other agents. Empty answers mean that nothing is there.
class ChunkProvider
{
public:
    virtual ~ChunkProvider() = default;

    virtual std::string manifest(const std::string &model, int64_t version) = 0;
    /// One bit a chunk, lowest bit first.
    virtual std::string heldChunks(const std::string &model, int64_t version) = 0;
    virtual std::string chunk(const std::string &model, int64_t version, uint32_t index) = 0;
    /// Time to wait before `bytes` may be sent, in ms; nothing when too much waits already. Keeps the link free for live answers.
    virtual std::optional<AK::Milliseconds> reserveUpload(size_t bytes) = 0;
};

} // namespace LibPeers
