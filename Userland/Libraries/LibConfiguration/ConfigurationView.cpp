#include <LibConfiguration/ConfigurationView.h>

namespace LibConfiguration
{

bool failureDomainAllowed(const Configuration &configuration, const std::string &failureDomain, AK::Milliseconds wallTime)
{
    const auto found = configuration.site.failureDomains.find(failureDomain);
    if (found == configuration.site.failureDomains.end() || !found->second.inService) {
        return false;
    }
    for (const auto &[id, restriction] : configuration.restrictions) {
        if (restriction.failureDomain == failureDomain && wallTime < restriction.expiresAt) {
            return false;
        }
    }
    return true;
}

bool upstreamAllowed(const Configuration &configuration, const std::string &upstream, AK::Milliseconds wallTime)
{
    const auto found = configuration.site.upstreams.find(upstream);
    if (found == configuration.site.upstreams.end() || !found->second.inService) {
        return false;
    }
    for (const auto &[id, restriction] : configuration.restrictions) {
        if (restriction.upstream == upstream && wallTime < restriction.expiresAt) {
            return false;
        }
    }
    return failureDomainAllowed(configuration, found->second.failureDomain, wallTime);
}

} // namespace LibConfiguration
