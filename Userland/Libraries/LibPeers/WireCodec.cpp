#include <LibPeers/WireCodec.h>

#include <AK/Hash.h>
#include <LibPeers/MessageLimits.h>
#include <algorithm>

namespace LibPeers
{

namespace
{

/// The rows of a list that another process has sent.
template <typename List>
List rowsOf(List list)
{
    requireRows(list.size(), maxRows);
    return list;
}

std::string toText(capnp::Text::Reader text)
{
    return {text.cStr(), text.size()};
}

void encodeEngine(const EngineReport &report, PeerWire::EngineReport::Builder builder)
{
    builder.setUpstream(report.upstream.c_str());
    builder.setWeightsVersion(report.weightsVersion);
    builder.setRunning(report.running);
    builder.setWaiting(report.waiting);
    builder.setKvUsed(report.kvUsed);
    builder.setKvTotal(report.kvTotal);
    builder.setPace(report.slowdown);
    builder.setSwitching(report.switching);
    builder.setBorn(report.startTime);
}

EngineReport decodeEngine(PeerWire::EngineReport::Reader reader)
{
    return {toText(reader.getUpstream()), reader.getWeightsVersion(), reader.getRunning(),   reader.getWaiting(), reader.getKvUsed(),
            reader.getKvTotal(),          reader.getPace(),           reader.getSwitching(), reader.getBorn()};
}

constexpr uint16_t openSlotsMask = 0xff;
constexpr uint16_t readyBit = 0x100;
constexpr uint16_t leavingBit = 0x200;
constexpr uint16_t storeLostBit = 0x400;

uint16_t stateBits(const EntrySighting &sighting)
{
    const int bits = sighting.openSlots | (sighting.ready ? readyBit : 0) | (sighting.leaving ? leavingBit : 0) | (sighting.storeLost ? storeLostBit : 0);
    return static_cast<uint16_t>(bits);
}

void encodeSightings(const std::vector<EntrySighting> &sightings, PeerWire::NodeState::Builder builder)
{
    const auto count = static_cast<capnp::uint>(sightings.size());
    auto entries = builder.initSightedEntries(count);
    auto heartbeats = builder.initSightedHeartbeats(count);
    auto states = builder.initSightedStates(count);
    for (capnp::uint i = 0; i < count; ++i) {
        const EntrySighting &sighting = sightings[i];
        entries.set(i, sighting.entry);
        heartbeats.set(i, sighting.heartbeat);
        states.set(i, stateBits(sighting));
    }
}

std::vector<EntrySighting> decodeSightings(PeerWire::NodeState::Reader reader)
{
    const auto entries = reader.getSightedEntries();
    const auto heartbeats = reader.getSightedHeartbeats();
    const auto states = reader.getSightedStates();
    std::vector<EntrySighting> sightings;
    const capnp::uint count = std::min({entries.size(), heartbeats.size(), states.size()});
    requireRows(count, maxRows);
    sightings.reserve(count);
    for (capnp::uint i = 0; i < count; ++i) {
        const uint16_t state = states[i];
        sightings.push_back({entries[i], heartbeats[i], (state & readyBit) != 0, (state & leavingBit) != 0, static_cast<uint8_t>(state & openSlotsMask),
                             (state & storeLostBit) != 0});
    }
    return sightings;
}

uint32_t toUnsigned(AK::Milliseconds duration)
{
    return static_cast<uint32_t>(std::clamp<AK::Milliseconds>(duration, 0, UINT32_MAX));
}

void encodeCrash(const CrashReport &crash, PeerWire::CrashReport::Builder builder)
{
    builder.setUpstream(crash.upstream.c_str());
    builder.setAgeMs(toUnsigned(crash.age));
    auto suspects = builder.initSuspects(static_cast<capnp::uint>(crash.suspects.size()));
    for (capnp::uint i = 0; i < suspects.size(); ++i) {
        const SuspectReport &suspect = crash.suspects[i];
        suspects[i].setPrompt(suspect.prompt);
        suspects[i].setSentBeforeMs(toUnsigned(suspect.sentBefore));
        auto parts = suspects[i].initParts(static_cast<capnp::uint>(suspect.parts.size()));
        for (capnp::uint part = 0; part < parts.size(); ++part) {
            parts.set(part, suspect.parts[part].c_str());
        }
    }
}

CrashReport decodeCrash(PeerWire::CrashReport::Reader reader)
{
    CrashReport crash{toText(reader.getUpstream()), reader.getAgeMs(), {}};
    for (const auto suspect : rowsOf(reader.getSuspects())) {
        SuspectReport &decoded = crash.suspects.emplace_back();
        decoded.prompt = suspect.getPrompt();
        decoded.sentBefore = suspect.getSentBeforeMs();
        for (const auto part : rowsOf(suspect.getParts())) {
            decoded.parts.push_back(toText(part));
        }
    }
    return crash;
}

void encodeRateLimits(const NodeState &state, PeerWire::NodeState::Builder builder)
{
    auto limits = builder.initRateLimits(static_cast<capnp::uint>(state.rateLimits.size()));
    for (capnp::uint i = 0; i < limits.size(); ++i) {
        limits[i].setUpstream(state.rateLimits[i].upstream.c_str());
        limits[i].setCallsPerSecond(state.rateLimits[i].callsPerSecond.value_or(-1));
        limits[i].setAgeMs(toUnsigned(state.rateLimits[i].age));
    }
}

void encodeLeavingUpstreams(const NodeState &state, PeerWire::NodeState::Builder builder)
{
    auto leaving = builder.initLeavingUpstreams(static_cast<capnp::uint>(state.leavingUpstreams.size()));
    for (capnp::uint i = 0; i < leaving.size(); ++i) {
        leaving[i].setUpstream(state.leavingUpstreams[i].upstream.c_str());
        leaving[i].setStartTime(state.leavingUpstreams[i].startTime);
    }
}

void encodeWeightsTargets(const NodeState &state, PeerWire::NodeState::Builder builder)
{
    auto targets = builder.initWeightsTargets(static_cast<capnp::uint>(state.weightsTargets.size()));
    for (capnp::uint i = 0; i < targets.size(); ++i) {
        targets[i].setModel(state.weightsTargets[i].model.c_str());
        targets[i].setVersion(state.weightsTargets[i].version);
        targets[i].setAgeMs(toUnsigned(state.weightsTargets[i].age));
        targets[i].setAssumed(state.weightsTargets[i].assumed);
    }
}

void encodeCrashes(const NodeState &state, PeerWire::NodeState::Builder builder)
{
    auto crashes = builder.initCrashes(static_cast<capnp::uint>(state.crashes.size()));
    for (capnp::uint i = 0; i < crashes.size(); ++i) {
        encodeCrash(state.crashes[i], crashes[i]);
    }
    auto soundParts = builder.initSoundParts(static_cast<capnp::uint>(state.soundParts.size()));
    for (capnp::uint i = 0; i < soundParts.size(); ++i) {
        soundParts[i].setPart(state.soundParts[i].part.c_str());
        soundParts[i].setAgeMs(toUnsigned(state.soundParts[i].age));
    }
}

} // namespace

uint32_t entryHash(std::string_view name)
{
    return static_cast<uint32_t>(AK::stableHash(name));
}

void encode(const NodeState &state, PeerWire::NodeState::Builder builder)
{
    builder.setName(state.name.c_str());
    builder.setFailureDomain(state.failureDomain.c_str());
    builder.setRpcAddress(state.rpcAddress.c_str());
    builder.setClientAddress(state.clientAddress.c_str());
    builder.setReady(state.ready);
    builder.setLeaving(state.leaving);
    auto revisions = builder.initRevisions(static_cast<capnp::uint>(state.revisions.size()));
    auto eras = builder.initEras(revisions.size());
    for (capnp::uint i = 0; i < revisions.size(); ++i) {
        revisions.set(i, state.revisions[i].revision);
        eras.set(i, state.revisions[i].era);
    }
    builder.setHasEngine(state.engine.has_value());
    if (state.engine) {
        encodeEngine(*state.engine, builder.initEngine());
    }
    builder.setHeartbeat(state.heartbeat);
    builder.setOpenSlots(state.openSlots);
    builder.setStoreLost(state.storeLost);
    builder.setStoreSteadyFromMs(toUnsigned(state.storeSteadyFrom));
    builder.setStoreSteadyToMs(toUnsigned(state.storeSteadyTo));
    if (!state.sightings.empty()) {
        encodeSightings(state.sightings, builder);
    }
    if (!state.introduced.empty()) {
        auto introduced = builder.initIntroduced(static_cast<capnp::uint>(state.introduced.size()));
        for (capnp::uint i = 0; i < introduced.size(); ++i) {
            encode(state.introduced[i], introduced[i]);
        }
    }
    if (!state.crashes.empty()) {
        encodeCrashes(state, builder);
    }
    if (!state.rateLimits.empty()) {
        encodeRateLimits(state, builder);
    }
    if (!state.leavingUpstreams.empty()) {
        encodeLeavingUpstreams(state, builder);
    }
    if (!state.weightsTargets.empty()) {
        encodeWeightsTargets(state, builder);
    }
}

namespace
{

// Decodes what a process tells about itself; what it tells about others is decoded for the process that sends it only.
NodeState decodeOwn(PeerWire::NodeState::Reader reader)
{
    NodeState state;
    state.name = toText(reader.getName());
    state.failureDomain = toText(reader.getFailureDomain());
    state.rpcAddress = toText(reader.getRpcAddress());
    state.clientAddress = toText(reader.getClientAddress());
    state.ready = reader.getReady();
    state.leaving = reader.getLeaving();
    const auto revisions = reader.getRevisions();
    const auto eras = reader.getEras();
    for (capnp::uint i = 0; i < revisions.size() && i < state.revisions.size(); ++i) {
        state.revisions[i] = {revisions[i], i < eras.size() ? eras[i] : 0};
    }
    if (reader.getHasEngine()) {
        state.engine = decodeEngine(reader.getEngine());
    }
    state.heartbeat = reader.getHeartbeat();
    state.openSlots = reader.getOpenSlots();
    state.storeLost = reader.getStoreLost();
    state.storeSteadyFrom = reader.getStoreSteadyFromMs();
    state.storeSteadyTo = reader.getStoreSteadyToMs();
    return state;
}

} // namespace

NodeState decode(PeerWire::NodeState::Reader reader)
{
    NodeState state = decodeOwn(reader);
    state.sightings = decodeSightings(reader);
    for (const auto introduced : rowsOf(reader.getIntroduced())) {
        state.introduced.push_back(decodeOwn(introduced));
    }
    for (const auto crash : rowsOf(reader.getCrashes())) {
        state.crashes.push_back(decodeCrash(crash));
    }
    for (const auto limit : rowsOf(reader.getRateLimits())) {
        const double rate = limit.getCallsPerSecond();
        state.rateLimits.push_back({toText(limit.getUpstream()), rate >= 0 ? std::optional(rate) : std::nullopt, limit.getAgeMs()});
    }
    for (const auto leaving : rowsOf(reader.getLeavingUpstreams())) {
        state.leavingUpstreams.push_back({toText(leaving.getUpstream()), leaving.getStartTime()});
    }
    for (const auto target : rowsOf(reader.getWeightsTargets())) {
        state.weightsTargets.push_back({toText(target.getModel()), target.getVersion(), target.getAgeMs(), target.getAssumed()});
    }
    for (const auto sound : rowsOf(reader.getSoundParts())) {
        state.soundParts.push_back({toText(sound.getPart()), sound.getAgeMs()});
    }
    return state;
}

} // namespace LibPeers
