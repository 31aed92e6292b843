#pragma once

#include <LibMembership/ExchangeObserver.h>
#include <LibMembership/MembershipView.h>
#include <LibWire/generated/wire.capnp.h>
#include <vector>

namespace LibMembership
{

void writeMember(const Member &member, Wire::MemberRecord::Builder record);

/// Reads a record. One with a malformed address or an unknown status gets an empty name, which the table rejects.
Member readMember(Wire::MemberRecord::Reader record);

void writeRestriction(const CarriedRestriction &restriction, Wire::Restriction::Builder record);
CarriedRestriction readRestriction(Wire::Restriction::Reader record);

} // namespace LibMembership
