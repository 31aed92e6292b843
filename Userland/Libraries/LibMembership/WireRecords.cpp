#include <LibMembership/WireRecords.h>

namespace LibMembership
{

void writeMember(const Member &member, Wire::MemberRecord::Builder record)
{
    record.setName(member.name);
    record.setRpcAddress(member.rpcAddress.text());
    record.setHttpAddress(member.httpAddress.text());
    record.setRole(member.role == LibSettings::ProcessRole::Entry ? Wire::Role::ENTRY : Wire::Role::AGENT);
    record.setRegion(member.region);
    record.setFailureDomain(member.failureDomain);
    record.setInstance(member.instance);
    record.setSequence(member.sequence);
    record.setStatus(static_cast<Wire::MemberStatus>(member.status));
    record.setRevision(member.revision);
    record.setService(member.service);
    record.setServingState(static_cast<Wire::ServingState>(member.servingState));
    record.setWeightsRoot(member.weightsRoot);
    record.setTargetRoot(member.targetRoot);
    record.setChunksHeld(member.chunksHeld);
    record.setChunksTotal(member.chunksTotal);
    record.setCallsSinceSwitch(member.callsSinceSwitch);
    record.setErrorsSinceSwitch(member.errorsSinceSwitch);
    record.setWarm(member.warm);
}

Member readMember(Wire::MemberRecord::Reader record)
{
    Member member;
    auto rpcAddress = AK::parseEndpoint(record.getRpcAddress().cStr());
    auto httpAddress = AK::parseEndpoint(record.getHttpAddress().cStr());
    const bool statusKnown = record.getStatus() <= Wire::MemberStatus::DEAD && record.getServingState() <= Wire::ServingState::SERVING;
    if (!rpcAddress.ok() || !httpAddress.ok() || !statusKnown) {
        return member;
    }
    member.name = record.getName().cStr();
    member.rpcAddress = *rpcAddress;
    member.httpAddress = *httpAddress;
    member.role = record.getRole() == Wire::Role::ENTRY ? LibSettings::ProcessRole::Entry : LibSettings::ProcessRole::Agent;
    member.region = record.getRegion().cStr();
    member.failureDomain = record.getFailureDomain().cStr();
    member.instance = record.getInstance();
    member.sequence = record.getSequence();
    member.status = static_cast<MemberStatus>(record.getStatus());
    member.revision = record.getRevision();
    member.service = record.getService().cStr();
    member.servingState = static_cast<ServingState>(record.getServingState());
    member.weightsRoot = record.getWeightsRoot().cStr();
    member.targetRoot = record.getTargetRoot().cStr();
    member.chunksHeld = record.getChunksHeld();
    member.chunksTotal = record.getChunksTotal();
    member.callsSinceSwitch = record.getCallsSinceSwitch();
    member.errorsSinceSwitch = record.getErrorsSinceSwitch();
    member.warm = record.getWarm();
    return member;
}

void writeRestriction(const CarriedRestriction &restriction, Wire::Restriction::Builder record)
{
    record.setId(restriction.id);
    record.setFailureDomain(restriction.failureDomain);
    record.setUpstream(restriction.upstream);
    record.setAuthor(restriction.author);
    record.setReason(restriction.reason);
    record.setExpiresAtMs(static_cast<uint64_t>(restriction.expiresAt));
}

CarriedRestriction readRestriction(Wire::Restriction::Reader record)
{
    return {record.getId().cStr(),     record.getFailureDomain().cStr(), record.getUpstream().cStr(),
            record.getAuthor().cStr(), record.getReason().cStr(),        static_cast<AK::Milliseconds>(record.getExpiresAtMs())};
}

} // namespace LibMembership
