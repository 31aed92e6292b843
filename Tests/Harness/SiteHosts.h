#pragma once

#include <AK/Endpoint.h>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Harness
{

/// A failure domain of a test site.
struct DomainPlan {
    std::string name;
    std::string region;
};

/// Upstreams of one service; they are spread over the failure domains in turn and named `<service>-<n>` from 1.
struct ServicePlan {
    std::string name;
    bool engine = true;
    int upstreams = 3;
    /// Routes of a plain service, as in the site document.
    nlohmann::json routes = nlohmann::json::array();
};

struct SitePlan {
    std::string binFolder;
    int entries = 4;
    std::vector<DomainPlan> domains{{"lima", "coast"}, {"cusco", "andes"}, {"arequipa", "andes"}};
    std::vector<ServicePlan> services{{"bench-assistant", true, 3}};
    int accounts = 10;
    /// Versions "1", "2", ... offered by the weight store.
    int versions = 2;
    int64_t weightBytes = 1 << 20;
    int64_t chunkBytes = 64 << 10;
    int64_t originBytesPerSecond = 64 << 20;
    /// Engines that share one process; more than one saves processes at large sizes.
    size_t enginesPerProcess = 1;
    std::vector<std::string> engineFlags;
    std::vector<std::string> plainFlags;
    /// Merged into the settings of each process.
    nlohmann::json timing = nlohmann::json::object();
    nlohmann::json entrySettings = nlohmann::json::object();
    nlohmann::json agentSettings = nlohmann::json::object();
    std::string logLevel = "info";
    /// Puts the fault proxy between our processes and the object API.
    bool proxyBeforeObjectApi = false;
};

/// Names, places and addresses of the processes of a test site, on a loopback network of its own.
class SiteHosts
{
public:
    explicit SiteHosts(SitePlan plan);

    AK::Endpoint entryAddress(int number) const;
    AK::Endpoint httpAddress(const std::string &process) const;
    AK::Endpoint rpcAddress(const std::string &process) const;
    AK::Endpoint upstreamAddress(const std::string &agent) const;
    AK::Endpoint objectApi() const;
    /// The fault proxy before the object API, and its admin address.
    AK::Endpoint objectApiProxy() const;
    AK::Endpoint objectApiProxyAdmin() const;
    AK::Endpoint weightStore() const;
    std::string failureDomainOf(const std::string &agent) const;
    std::vector<std::string> agents(const std::string &service) const;
    std::vector<std::string> daemonNames() const;
    const SitePlan &plan() const;

protected:
    struct Host {
        int index = 0;
        bool entry = false;
        std::string service;
        std::string domain;
        std::string region;
    };

    std::string hostAddress(int index) const;

    SitePlan layout;
    std::map<std::string, Host> hosts;

private:
    void planHosts();

    int networkHigh = 0;
    int networkLow = 0;
};

} // namespace Harness
