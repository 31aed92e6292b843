#pragma once

#include <AK/Endpoint.h>
#include <Harness/ChildProcess.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <functional>
#include <map>
#include <memory>
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

/// A site of real processes on a loopback network of its own.
class Site
{
public:
    explicit Site(SitePlan plan);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts the fakes, the entries and the agents. Errors: kDeadlineExceeded naming the process that does not answer.
    absl::Status start();

    /// Applies the site's document with all services at version "1"; waits until it is in force on every process and every process knows all.
    absl::Status applyInitial();

    /// The document that applyInitial() applies.
    nlohmann::json initialDocument() const;

    /// Applies a document through the first entry that accepts it. Returns the revision.
    absl::StatusOr<uint64_t> apply(const nlohmann::json &document, const std::string &reason);

    /// Applies the document in force after a change. Returns the revision.
    absl::StatusOr<uint64_t> change(const std::function<void(nlohmann::json &document)> &edit, const std::string &reason);

    /// Waits until every running process reports at least the revision. Errors: kDeadlineExceeded naming one that does not.
    absl::Status waitForRevision(uint64_t revision, AK::Milliseconds limit);

    /// Waits until every daemon knows all daemons as alive. Errors: kDeadlineExceeded naming one that does not.
    absl::Status waitForMembers(AK::Milliseconds limit);

    /// Waits until all running agents of a service serve a version and are verified.
    absl::Status waitServing(const std::string &service, const std::string &version, AK::Milliseconds limit);

    /// One completion of a service; stream or whole.
    absl::StatusOr<LibHttp::HttpResponse> complete(const AK::Endpoint &entry, const std::string &service, const std::string &prompt, bool stream,
                                                   int tokens = 8, int account = 1);

    /// Status of one entry's view of the site, parsed.
    absl::StatusOr<nlohmann::json> status(const AK::Endpoint &entry);

    AK::Endpoint entryAddress(int number) const;
    AK::Endpoint httpAddress(const std::string &process) const;
    AK::Endpoint rpcAddress(const std::string &process) const;
    AK::Endpoint upstreamAddress(const std::string &agent) const;
    AK::Endpoint objectApi() const;
    /// Admin address of the fault proxy before the object API.
    AK::Endpoint objectApiProxyAdmin() const;
    AK::Endpoint weightStore() const;
    std::string failureDomainOf(const std::string &agent) const;
    std::vector<std::string> agents(const std::string &service) const;
    std::vector<std::string> daemonNames() const;
    std::string accountKey(int account) const;
    std::string operatorKey() const;
    /// A file that holds operatorKey().
    std::string operatorKeyFile() const;
    std::string weightsRoot(const std::string &service, const std::string &version) const;
    const std::string &folder() const;
    const SitePlan &plan() const;

    /// Starts a daemon again after it has ended, with the same settings.
    void startDaemon(const std::string &name);
    ChildProcess &process(const std::string &name);

private:
    std::string hostAddress(int index) const;
    nlohmann::json processSettings(const std::string &name, int index, bool entry) const;
    void writeSettings(const std::string &name, const nlohmann::json &settings) const;
    void spawn(const std::string &name, const std::string &program, std::vector<std::string> arguments);
    void startFakes();
    void startUpstreams();
    void planHosts();
    absl::Status waitHttp(const std::string &name, const AK::Endpoint &address, const std::string &path, AK::Milliseconds limit);
    absl::Status readRoots();
    /// Waits until a gauge of every running daemon has at least the value.
    absl::Status waitForGauge(const std::string &name, uint64_t value, AK::Milliseconds limit);

    struct Host {
        int index = 0;
        bool entry = false;
        std::string service;
        std::string domain;
        std::string region;
    };

    SitePlan layout;
    std::string temporaryFolder;
    int networkHigh = 0;
    int networkLow = 0;
    std::map<std::string, Host> hosts;
    std::map<std::string, std::unique_ptr<ChildProcess>> processes;
    std::map<std::string, std::string> roots;
};

/// Polls until the condition holds. False when `limit` ms are over.
bool waitUntil(AK::Milliseconds limit, const std::function<bool()> &condition);

/// A request whose JSON answer is expected with status 200.
absl::StatusOr<nlohmann::json> getJson(const AK::Endpoint &target, const std::string &path, const LibHttp::HttpHeaders &headers = {});
absl::StatusOr<nlohmann::json> postJson(const AK::Endpoint &target, const std::string &path, const nlohmann::json &body,
                                        const LibHttp::HttpHeaders &headers = {});

} // namespace Harness
