#include "AddressChoice.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <set>

namespace Gateway
{

namespace
{

// One response in this many lists entries beyond the nearest.
constexpr uint64_t spreadInterval = 20;

using Regions = std::vector<std::string>;

bool isRestricted(const CallHomes &homes)
{
    return !homes.routes.empty() || !homes.accounts.empty();
}

// Number of routes, and of accounts, that keep their calls out of a region. Routes go first: the homes of an account bind only some of the calls.
std::pair<size_t, size_t> excluded(const CallHomes &homes, const std::string &region)
{
    const auto excludes = [&](const Regions &allowed) {
        return std::ranges::find(allowed, region) == allowed.end();
    };
    return {std::ranges::count_if(homes.routes, excludes), std::ranges::count_if(homes.accounts, excludes)};
}

// Regions with an entry that the fewest routes and accounts exclude; no region when all of them are excluded by everyone.
std::set<std::string> homeRegions(const std::vector<DirectoryEntry> &entries, const CallHomes &homes)
{
    std::set<std::string> best;
    std::pair<size_t, size_t> fewest{homes.routes.size(), homes.accounts.size()};
    for (const DirectoryEntry &entry : entries) {
        const auto exclusions = excluded(homes, entry.region);
        if (exclusions < fewest) {
            fewest = exclusions;
            best.clear();
        }
        if (exclusions == fewest && exclusions != std::pair{homes.routes.size(), homes.accounts.size()}) {
            best.insert(entry.region);
        }
    }
    return best;
}

template <typename Predicate>
std::vector<AK::Endpoint> addressesWhere(const std::vector<DirectoryEntry> &entries, Predicate &&matches)
{
    std::vector<AK::Endpoint> addresses;
    for (const DirectoryEntry &entry : entries) {
        if (matches(entry)) {
            addresses.push_back(entry.address);
        }
    }
    return addresses;
}

AddressChoice nearestEntries(const std::vector<DirectoryEntry> &entries, const DirectoryClient &client, const std::set<std::string> &homes)
{
    const auto inDomain = [&](const DirectoryEntry &entry) {
        return !client.failureDomain.empty() && entry.failureDomain == client.failureDomain;
    };
    const auto inRegion = [&](const DirectoryEntry &entry) {
        return !client.region.empty() && entry.region == client.region;
    };
    const auto atHome = [&](const DirectoryEntry &entry) {
        return homes.contains(entry.region);
    };
    if (std::ranges::any_of(entries, inDomain)) {
        return {AddressScope::Domain, addressesWhere(entries, inDomain)};
    }
    if (std::ranges::any_of(entries, inRegion)) {
        return {AddressScope::Region, addressesWhere(entries, inRegion)};
    }
    if (!homes.empty()) {
        return {AddressScope::Homes, addressesWhere(entries, atHome)};
    }
    return {AddressScope::All, addressesWhere(entries, [](const DirectoryEntry &) { return true; })};
}

} // namespace

const CallHomes &HomesByHost::of(const std::string &host) const
{
    const auto found = this->named.find(absl::AsciiStrToLower(host));
    return found == this->named.end() ? this->others : found->second;
}

HomesByHost homesByHost(const LibFleet::Configuration &configuration)
{
    HomesByHost result;
    std::set<const LibFleet::ClientAccount *> seen;
    for (const auto &[key, account] : configuration.accountsByKey) {
        if (!account->allowedRegions.empty() && seen.insert(account.get()).second) {
            result.others.accounts.push_back(account->allowedRegions);
        }
    }
    for (const LibFleet::Route &route : configuration.routes) {
        CallHomes &homes = result.named.try_emplace(absl::AsciiStrToLower(route.host), result.others).first->second;
        if (!route.allowedRegions.empty()) {
            homes.routes.push_back(route.allowedRegions);
        }
    }
    return result;
}

AddressChoice chooseAddresses(const std::vector<DirectoryEntry> &entries, const DirectoryClient &client, const CallHomes &homes, AK::Random &random)
{
    const std::set<std::string> regions = homeRegions(entries, homes);
    AddressChoice choice = nearestEntries(entries, client, regions);
    if (AK::uniformBelow(random, spreadInterval) == 0) {
        std::vector<AK::Endpoint> wider = addressesWhere(entries, [&](const DirectoryEntry &entry) {
            const bool inRegion = !client.region.empty() && entry.region == client.region;
            return !isRestricted(homes) || inRegion || regions.contains(entry.region);
        });
        if (wider.size() > choice.addresses.size()) {
            choice = {AddressScope::Spread, std::move(wider)};
        }
    }
    std::ranges::shuffle(choice.addresses, random);
    choice.addresses.resize(std::min(choice.addresses.size(), maxDirectoryAddresses));
    return choice;
}

} // namespace Gateway
