#include <LibFleet/Configuration.h>

#include <AK/Hash.h>
#include <algorithm>

namespace LibFleet
{

const std::string &serviceFor(const Route &route, const std::string &requestId)
{
    double total = 0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    // Derived from the request id, so that a retry goes to the same service.
    double position = static_cast<double>(AK::stableHash(requestId) % 1'000'000) / 1'000'000 * total;
    for (const ServiceShare &share : route.services) {
        if (position < share.weight) {
            return share.service;
        }
        position -= share.weight;
    }
    return route.services.back().service;
}

RouteTable::RouteTable(const Configuration &configuration)
{
    for (const Route &route : configuration.routes) {
        this->byHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : this->byHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const Route *left, const Route *right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = this->byHost.find(host);
    if (found == this->byHost.end()) {
        return nullptr;
    }
    const auto &routes = found->second;
    const auto match =
        std::find_if(routes.begin(), routes.end(), [&](const Route *route) { return path.substr(0, route->pathPrefix.size()) == route->pathPrefix; });
    return match == routes.end() ? nullptr : *match;
}

} // namespace LibFleet
