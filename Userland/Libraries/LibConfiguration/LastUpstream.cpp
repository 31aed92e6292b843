#include <LibConfiguration/LastUpstream.h>

#include <set>

namespace LibConfiguration
{

namespace
{

std::set<std::string> servicesWithUpstream(const Configuration &configuration, AK::Milliseconds wallTime)
{
    std::set<std::string> services;
    for (const auto &[name, upstream] : configuration.site.upstreams) {
        if (upstreamAllowed(configuration, name, wallTime)) {
            services.insert(upstream.service);
        }
    }
    return services;
}

} // namespace

std::optional<std::string> serviceLeftWithoutUpstream(const Configuration &before, const LibSettings::SiteDocument &after, AK::Milliseconds wallTime)
{
    Configuration next{before.revision, after, before.restrictions};
    for (const std::string &id : after.settledRestrictions) {
        next.restrictions.erase(id);
    }
    const std::set<std::string> servicesAfter = servicesWithUpstream(next, wallTime);
    for (const std::string &service : servicesWithUpstream(before, wallTime)) {
        if (!servicesAfter.contains(service)) {
            return service;
        }
    }
    return std::nullopt;
}

} // namespace LibConfiguration
