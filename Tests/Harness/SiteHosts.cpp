#include <Harness/SiteHosts.h>

#include <AK/Text.h>
#include <unistd.h>

namespace Harness
{

namespace
{

constexpr uint16_t httpPort = 7100;
constexpr uint16_t rpcPort = 7200;
constexpr uint16_t objectApiPort = 7300;
constexpr uint16_t weightStorePort = 7301;
constexpr uint16_t objectApiProxyPort = 7302;
constexpr uint16_t proxyAdminPort = 7303;
constexpr uint16_t upstreamPort = 7400;
// Sites that one process usually has.
constexpr int sitesPerProcess = 4;

// Where the search for a network begins, so that programs that run at the same time rarely try the same one.
int firstNetwork()
{
    static int sites = 0;
    return ::getpid() * sitesPerProcess + sites++ % sitesPerProcess;
}

} // namespace

SiteHosts::SiteHosts(SitePlan plan)
    : sitePlan(std::move(plan))
    , network(firstNetwork())
{
    this->planHosts();
}

void SiteHosts::planHosts()
{
    int index = 1;
    for (int i = 0; i < this->sitePlan.entries; ++i) {
        const DomainPlan &domain = this->sitePlan.domains[static_cast<size_t>(i) % this->sitePlan.domains.size()];
        this->hosts[AK::concat("entry-", i + 1)] = {index++, true, "", domain.name, domain.region};
    }
    for (const ServicePlan &service : this->sitePlan.services) {
        for (int i = 0; i < service.upstreams; ++i) {
            const DomainPlan &domain = this->sitePlan.domains[static_cast<size_t>(i) % this->sitePlan.domains.size()];
            this->hosts[AK::concat(service.name, "-", i + 1)] = {index++, false, service.name, domain.name, domain.region};
        }
    }
}

std::string SiteHosts::hostAddress(int index) const
{
    return this->network.hostAddress(index);
}

AK::Endpoint SiteHosts::objectApi() const
{
    return {this->hostAddress(0), objectApiPort};
}

AK::Endpoint SiteHosts::objectApiProxy() const
{
    return {this->hostAddress(0), objectApiProxyPort};
}

AK::Endpoint SiteHosts::objectApiProxyAdmin() const
{
    return {this->hostAddress(0), proxyAdminPort};
}

AK::Endpoint SiteHosts::weightStore() const
{
    return {this->hostAddress(0), weightStorePort};
}

AK::Endpoint SiteHosts::entryAddress(int number) const
{
    return this->httpAddress(AK::concat("entry-", number));
}

AK::Endpoint SiteHosts::httpAddress(const std::string &process) const
{
    return {this->hostAddress(this->hosts.at(process).index), httpPort};
}

AK::Endpoint SiteHosts::rpcAddress(const std::string &process) const
{
    return {this->hostAddress(this->hosts.at(process).index), rpcPort};
}

AK::Endpoint SiteHosts::upstreamAddress(const std::string &agent) const
{
    return {this->hostAddress(this->hosts.at(agent).index), upstreamPort};
}

std::string SiteHosts::failureDomainOf(const std::string &agent) const
{
    return this->hosts.at(agent).domain;
}

std::vector<std::string> SiteHosts::agents(const std::string &service) const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : this->hosts) {
        if (host.service == service) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> SiteHosts::daemonNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, host] : this->hosts) {
        names.push_back(name);
    }
    return names;
}

const SitePlan &SiteHosts::plan() const
{
    return this->sitePlan;
}

} // namespace Harness
