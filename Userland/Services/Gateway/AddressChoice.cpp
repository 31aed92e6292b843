#include "AddressChoice.h"

#include <algorithm>

namespace Gateway
{

namespace
{

// One response in this many lists all entries: of the calls that are restricted to regions, at most one in 20 may reach another region.
constexpr uint64_t allEntriesInterval = 20;

} // namespace

std::vector<AK::Endpoint> chooseAddresses(const std::vector<DirectoryEntry> &entries, const std::string &failureDomain, AK::Random &random)
{
    const bool anyInDomain = std::any_of(entries.begin(), entries.end(), [&](const DirectoryEntry &entry) { return entry.failureDomain == failureDomain; });
    const bool all = !anyInDomain || AK::uniformBelow(random, allEntriesInterval) == 0;
    std::vector<AK::Endpoint> addresses;
    for (const DirectoryEntry &entry : entries) {
        if (all || entry.failureDomain == failureDomain) {
            addresses.push_back(entry.address);
        }
    }
    return addresses;
}

} // namespace Gateway
