#include <LibPeers/WireCodec.h>

namespace LibPeers
{

namespace
{

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

} // namespace

void encode(const NodeState &state, PeerWire::NodeState::Builder builder)
{
    builder.setName(state.name.c_str());
    builder.setFailureDomain(state.failureDomain.c_str());
    builder.setRpcAddress(state.rpcAddress.c_str());
    builder.setClientAddress(state.clientAddress.c_str());
    builder.setReady(state.ready);
    builder.setLeaving(state.leaving);
    auto revisions = builder.initRevisions(static_cast<capnp::uint>(state.revisions.size()));
    for (capnp::uint i = 0; i < revisions.size(); ++i) {
        revisions.set(i, state.revisions[i]);
    }
    builder.setHasEngine(state.engine.has_value());
    if (state.engine) {
        encodeEngine(*state.engine, builder.initEngine());
    }
}

NodeState decode(PeerWire::NodeState::Reader reader)
{
    NodeState state;
    state.name = toText(reader.getName());
    state.failureDomain = toText(reader.getFailureDomain());
    state.rpcAddress = toText(reader.getRpcAddress());
    state.clientAddress = toText(reader.getClientAddress());
    state.ready = reader.getReady();
    state.leaving = reader.getLeaving();
    const auto revisions = reader.getRevisions();
    for (capnp::uint i = 0; i < revisions.size() && i < state.revisions.size(); ++i) {
        state.revisions[i] = revisions[i];
    }
    if (reader.getHasEngine()) {
        state.engine = decodeEngine(reader.getEngine());
    }
    return state;
}

} // namespace LibPeers
