#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibFleet/FleetState.h>
#include <LibFleet/ObjectFeed.h>
#include <array>
#include <kj/async.h>
#include <kj/memory.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace LibPeers
{

/// State of an engine that its agent reports.
struct EngineReport {
    /// "IP:port" where the engine accepts calls.
    std::string upstream;
    /// Version of the weights that are loaded completely, 0 when none.
    int64_t weightsVersion = 0;
    uint32_t running = 0;
    uint32_t waiting = 0;
    /// KV cache in use and in total, in tokens times layers.
    uint64_t kvUsed = 0;
    uint64_t kvTotal = 0;
    /// Factor by which the engine is slower than its operator states; 1 is as stated.
    double slowdown = 1;
    /// A load command is running or about to be sent; the engine must get no new calls.
    bool switching = false;
    /// Wall time of the engine's start in ms.
    int64_t startTime = 0;
};

/// What one entry tells another about a third one.
struct EntrySighting {
    /// entryHash() of its name.
    uint32_t entry = 0;
    /// Newest heartbeat that the sender knows of.
    uint32_t heartbeat = 0;
    bool ready = false;
    bool leaving = false;
    /// Calls that the engines which the entry owns could take, at most 255.
    uint8_t openSlots = 0;
    bool storeLost = false;
};

/// Names an entry in sightings. Two of 1,000 entries have the same hash in one of 8,600 deployments; these two are then taken for each other.
uint32_t entryHash(std::string_view name);

/// A call that may have crashed an upstream.
struct SuspectReport {
    /// Hash of the last part of its prompt.
    uint64_t prompt = 0;
    /// Time from its send to the crash, in ms.
    AK::Milliseconds sentBefore = 0;
    /// Parts of the prompt that other calls may share, in order.
    std::vector<std::string> parts;
};

/// The crash of an upstream.
struct CrashReport {
    /// Id of the upstream instance.
    std::string upstream;
    /// Time since the crash, in ms.
    AK::Milliseconds age = 0;
    std::vector<SuspectReport> suspects;
};

/// A part of a prompt with which an upstream has written a response.
struct SoundPartReport {
    std::string part;
    /// Time since then, in ms.
    AK::Milliseconds age = 0;
};

/// A rate limit that an upstream has named in its responses.
struct RateLimitReport {
    /// Id of the upstream instance.
    std::string upstream;
    /// Nothing when it names no limit any more.
    std::optional<double> callsPerSecond;
    /// Time since the newest response that told so, in ms.
    AK::Milliseconds age = 0;
};

/// An upstream that has said in a response that it is leaving.
struct LeavingUpstreamReport {
    /// Id of the upstream instance.
    std::string upstream;
    /// Wall time of the start of the incarnation that leaves in ms, 0 when unknown.
    int64_t startTime = 0;
};

/// State that processes send each other in each exchange.
struct NodeState {
    std::string name;
    std::string failureDomain;
    std::string rpcAddress;
    /// Entries: "IP:port" where clients connect; empty for agents.
    std::string clientAddress;
    bool ready = false;
    bool leaving = false;
    /// Position of the store at which the known objects last changed, by kind of object.
    std::array<LibFleet::StorePosition, LibFleet::objectKindCount> revisions{};
    std::optional<EngineReport> engine;
    /// Entries: grows while the process runs, modulo 2^32.
    uint32_t heartbeat = 0;
    /// Entries: calls that the engines which this entry owns can take now.
    uint16_t openSlots = 0;
    /// Entries: the store does not answer this process.
    bool storeLost = false;
    /// Between entries: what the sender knows of the others that are alive.
    std::vector<EntrySighting> sightings;
    /// Between entries: those of `sightings` that the store does not list; without sightings of their own.
    std::vector<NodeState> introduced;
    /// Between entries: crashes that the sender has learned of lately, and the parts of their prompts that are known to be sound.
    std::vector<CrashReport> crashes;
    std::vector<SoundPartReport> soundParts;
    /// Between entries: limits of which the sender had news lately.
    std::vector<RateLimitReport> rateLimits;
    /// Between entries: upstreams on their way out of which others may not know yet.
    std::vector<LeavingUpstreamReport> leavingUpstreams;
    /// Weights named lately, also those that newer ones have replaced.
    std::vector<LibFleet::WeightsTargetAge> weightsTargets;
    /// Ages in ms of the begin and the end of a period in which the store answered without an absence in which leases can lapse; both 0 when unknown.
    AK::Milliseconds storeSteadyFrom = 0;
    AK::Milliseconds storeSteadyTo = 0;
};

/// Asks for a slot at an upstream that another entry owns.
struct SlotRequest {
    std::string service;
    int64_t promptTokens = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// The client is taken to be retrying after a refusal.
    bool returning = false;
    /// Allowed regions; empty for any.
    std::vector<std::string> regions;
    /// Upstreams that may not get the call.
    std::vector<std::string> excluded;
    /// How long the request may wait at the owner, in ms.
    AK::Milliseconds wait = 0;
    /// Client account of the call; empty without one.
    std::string account;
};

/// A slot at an upstream; the destructor releases it.
class HeldSlot
{
public:
    HeldSlot() = default;
    virtual ~HeldSlot() noexcept(false) = default;
    KJ_DISALLOW_COPY(HeldSlot);

    /// Must be called when the first event has arrived, which shows that the upstream has processed the prompt.
    virtual void promptRead() = 0;
};

struct OfferedSlot {
    /// Id of the upstream.
    std::string upstream;
    kj::Own<HeldSlot> slot;
    /// Version of the weights that the owner has seen at the engine, 0 when unknown.
    int64_t weightsVersion = 0;
};

/// Offers slots at the upstreams of this entry to calls of other entries.
class SlotProvider
{
public:
    virtual ~SlotProvider() = default;

    /// Returns nothing when no slot is free. Must not block.
    virtual kj::Maybe<OfferedSlot> offerSlot(const SlotRequest &request) = 0;

    /// The same for a request that may wait; dropping the promise withdraws it. Must be dropped before this object is destroyed.
    virtual kj::Promise<kj::Maybe<OfferedSlot>> awaitSlot(const SlotRequest &request)
    {
        return this->offerSlot(request);
    }
};

/// Answers the calls of other processes. The functions must not block.
class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    /// Receives the state of the caller and returns that of this process.
    virtual NodeState exchange(const NodeState &from) = 0;
    /// Returns all objects of a kind, or a page with position 0 when nothing newer is known. `agentPart` leaves out what only entries use.
    virtual LibFleet::ObjectPage objects(LibFleet::ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart) = 0;
};

/// Serves weights to other agents. An empty result means that the requested data is not held.
class ChunkProvider
{
public:
    virtual ~ChunkProvider() = default;

    virtual std::string manifest(const std::string &model, int64_t version) = 0;
    /// One bit per chunk, lowest bit first; set for a chunk that is held.
    virtual std::string heldChunks(const std::string &model, int64_t version) = 0;
    virtual std::string chunk(const std::string &model, int64_t version, uint32_t index) = 0;
    /// Reserves upload bandwidth, so that uploads leave enough for the responses to live calls. Returns the time to wait before `bytes` may be sent, in ms, or
    /// nothing when too many bytes are waiting already.
    virtual std::optional<AK::Milliseconds> reserveUpload(size_t bytes) = 0;
};

} // namespace LibPeers
