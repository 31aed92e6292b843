#pragma once

#include <AK/Endpoint.h>
#include <AK/Random.h>
#include <string>
#include <vector>

namespace Gateway
{

/// An entry whose address may be given to clients.
struct DirectoryEntry {
    AK::Endpoint address;
    std::string failureDomain;
};

/// Addresses for a client in a failure domain: usually only the entries in that domain, so that calls stay in the region; sometimes all entries, so that
/// every entry gets some clients and the load is balanced. All entries if the domain has none.
std::vector<AK::Endpoint> chooseAddresses(const std::vector<DirectoryEntry> &entries, const std::string &failureDomain, AK::Random &random);

} // namespace Gateway
