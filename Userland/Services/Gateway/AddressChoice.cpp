#include "AddressChoice.h"

#include <algorithm>

namespace Gateway
{

namespace
{

// One answer of so many names all entries. Calls bound to regions may go astray in at most one of 20.
constexpr uint64_t answersUntilAll = 20;

} // namespace

std::vector<AK::Endpoint> chooseAddresses(const std::vector<DirectoryEntry> &entries, const std::string &failureDomain, AK::Random &random)
{
    const bool anyNear = std::any_of(entries.begin(), entries.end(), [&](const DirectoryEntry &entry) { return entry.failureDomain == failureDomain; });
    const bool all = !anyNear || AK::uniformBelow(random, answersUntilAll) == 0;
    std::vector<AK::Endpoint> addresses;
    for (const DirectoryEntry &entry : entries) {
        if (all || entry.failureDomain == failureDomain) {
            addresses.push_back(entry.address);
        }
    }
    return addresses;
}

} // namespace Gateway
