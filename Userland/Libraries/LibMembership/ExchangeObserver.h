#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <string>
#include <vector>

namespace LibMembership
{

/// A restriction as exchanges carry it. Exactly one of failureDomain and upstream is set.
struct CarriedRestriction {
    std::string id;
    std::string failureDomain;
    std::string upstream;
    std::string author;
    std::string reason;
    /// Wall time in ms.
    AK::Milliseconds expiresAt = 0;
};

/// Receives and supplies data of another service in the exchanges of MembershipService. Called from gossip and connection threads; must not block.
class ExchangeObserver
{
public:
    virtual ~ExchangeObserver() = default;

    /// Called with the configuration revision that a peer has in force.
    virtual void peerRevision(const AK::Endpoint &peer, uint64_t revision) = 0;

    /// Restrictions to send.
    virtual std::vector<CarriedRestriction> carriedRestrictions() const = 0;

    /// Returns whether any of them was new; they are then pushed to other members at once.
    virtual bool restrictionsReceived(const std::vector<CarriedRestriction> &restrictions) = 0;
};

} // namespace LibMembership
