#pragma once

#include <AK/Endpoint.h>
#include <AK/Random.h>
#include <string>
#include <vector>

namespace Gateway
{

/// An entry that may be named to clients.
struct DirectoryEntry {
    AK::Endpoint address;
    std::string failureDomain;
};

/// Addresses for a client in a failure domain: mostly the entries of its own, so that calls stay in the region, and now and then all, so that every entry
/// gets some clients and load evens out.
std::vector<AK::Endpoint> chooseAddresses(const std::vector<DirectoryEntry> &entries, const std::string &failureDomain, AK::Random &random);

} // namespace Gateway
