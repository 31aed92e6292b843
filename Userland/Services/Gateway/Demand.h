#pragma once

#include <LibGateway/Waiting.h>
#include <set>
#include <string>
#include <vector>

namespace Gateway
{

/// What a call needs of an upstream.
struct Demand {
    std::string service;
    LibGateway::WaitingPlace place;
    AK::Milliseconds arrivedAt = 0;
    int64_t promptTokens = 0;
    /// Time after which a start is of no use.
    AK::Milliseconds startBy = 0;
    /// Allowed regions; empty for any.
    std::vector<std::string> regions;
    std::vector<std::string> accountRegions;
    /// Upstreams that have had this call.
    std::set<std::string> excluded;
};

/// Whether a list of allowed regions, empty for any, has a region.
bool allowsRegion(const std::vector<std::string> &allowed, const std::string &region);

} // namespace Gateway
