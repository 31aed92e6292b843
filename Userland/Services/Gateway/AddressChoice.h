#pragma once

#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <AK/Random.h>
#include <LibFleet/Configuration.h>
#include <string>
#include <vector>

namespace Gateway
{

/// Most addresses that a response holds; clients use no more.
inline constexpr size_t maxDirectoryAddresses = 64;

/// An entry whose address may be given to clients.
struct DirectoryEntry {
    AK::Endpoint address;
    std::string failureDomain;
    /// Empty when it is not known.
    std::string region;
};

/// What a client says of itself; empty where it says nothing.
struct DirectoryClient {
    /// The host of its calls.
    std::string host;
    std::string failureDomain;
    std::string region;
};

/// Regions to which calls are restricted, one list for each route, or client account, that restricts its calls.
struct CallHomes {
    std::vector<std::vector<std::string>> routes;
    std::vector<std::vector<std::string>> accounts;
};

/// The homes of the calls to each host that a configuration names, and of those to all others, by the accounts alone.
struct HomesByHost {
    std::map<std::string, CallHomes> named;
    CallHomes others;

    /// `host`: in any case.
    const CallHomes &of(const std::string &host) const;
};

HomesByHost homesByHost(const LibFleet::Configuration &configuration);

/// Which entries a response lists.
enum class AddressScope {
    /// Those of the client's failure domain.
    Domain,
    /// Those of the client's region, because its failure domain has none.
    Region,
    /// Those of the regions that the homes of its calls allow, because its own region has none.
    Homes,
    /// All, because nothing is known of the client and its calls, or none of the regions above has an entry.
    All,
    /// Others too, so that every entry gets some clients.
    Spread,
};

inline constexpr std::array addressScopeNames{
    AK::EnumName{AddressScope::Domain, "domain"}, AK::EnumName{AddressScope::Region, "region"}, AK::EnumName{AddressScope::Homes, "homes"},
    AK::EnumName{AddressScope::All, "all"},       AK::EnumName{AddressScope::Spread, "spread"},
};

struct AddressChoice {
    AddressScope scope = AddressScope::All;
    /// In random order; never empty when there is an entry.
    std::vector<AK::Endpoint> addresses;
};

/// Addresses for a client: usually the nearest entries that may take its calls. Now and then a response lists more, but none outside its region and the homes
/// of its calls when there are any. Load pattern: all entries of a failure domain leave, or it never had one, and its clients come to the others at once.
AddressChoice chooseAddresses(const std::vector<DirectoryEntry> &entries, const DirectoryClient &client, const CallHomes &homes, AK::Random &random);

} // namespace Gateway
