#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibMembership/MembershipView.h>
#include <map>
#include <string>
#include <vector>

namespace LibWeights
{

/// Live agents whose service has one root as its target, by region. The target is taken from the configuration and not from the member records, because those
/// arrive later.
struct PeerDirectory {
    std::map<std::string, std::vector<std::string>> namesByRegion;
    std::map<std::string, AK::Endpoint> endpoints;
};

PeerDirectory findPeers(const std::string &self, const std::string &root, const LibConfiguration::Configuration &configuration,
                        const std::vector<LibMembership::Member> &members);

} // namespace LibWeights
