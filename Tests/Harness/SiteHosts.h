#pragma once

#include <AK/Endpoint.h>
#include <Loopback/LoopbackNetwork.h>
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

/// Upstreams of one service. They are assigned to the failure domains in turn and named `<service>-<n>`, with n from 1.
struct ServicePlan {
    std::string name;
    /// A model service with engines; otherwise a plain service.
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
    /// Number of versions in the weight store; they are named "1", "2", ...
    int versions = 2;
    int64_t weightBytes = 1 << 20;
    int64_t chunkBytes = 64 << 10;
    int64_t originBytesPerSecond = 64 << 20;
    /// Number of engines in one process; more than one saves processes at large sites.
    size_t enginesPerProcess = 1;
    std::vector<std::string> engineFlags;
    std::vector<std::string> plainFlags;
    /// Sections `timing`, `entry` and `agent` of the settings of each daemon; agentSettings are merged into the generated section.
    nlohmann::json timing = nlohmann::json::object();
    nlohmann::json entrySettings = nlohmann::json::object();
    nlohmann::json agentSettings = nlohmann::json::object();
    std::string logLevel = "info";
    /// Puts the fault proxy between the daemons and the object API.
    bool proxyBeforeObjectApi = false;
};

/// Names, failure domains and addresses of the processes of a test site on its own loopback network.
class SiteHosts
{
public:
    explicit SiteHosts(SitePlan plan);

    AK::Endpoint entryAddress(int number) const;
    AK::Endpoint httpAddress(const std::string &process) const;
    AK::Endpoint rpcAddress(const std::string &process) const;
    AK::Endpoint upstreamAddress(const std::string &agent) const;
    AK::Endpoint objectApi() const;
    /// The fault proxy in front of the object API, and its admin address.
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

    SitePlan sitePlan;
    std::map<std::string, Host> hosts;

private:
    void planHosts();

    Loopback::LoopbackNetwork network;
};

} // namespace Harness
