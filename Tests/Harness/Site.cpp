#include <Harness/Site.h>

#include <AK/Hash.h>
#include <AK/Random.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibSettings/Revision.h>
#include <LibWeights/Manifest.h>
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace Harness
{

namespace
{

constexpr AK::Milliseconds startLimitMs = 30'000;
// The more processes start at the same time on one machine, the longer they take to discover each other.
constexpr AK::Milliseconds extraLimitPerHostMs = 500;
constexpr AK::Milliseconds requestTimeoutMs = 5'000;
constexpr size_t shownLogBytes = 4'000;

const std::string siteName = "costilla-luz";
const std::string platform = "platform";
const std::string model = "glue-line";
const std::string adapter = "base";
const std::string sharedSecret = "test-secret-test-secret";

} // namespace

Site::Site(SitePlan plan)
    : SiteHosts(std::move(plan))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "catkinlink-site-XXXXXX").string();
    this->temporaryFolder = ::mkdtemp(pattern.data());
}

Site::~Site()
{
    for (auto &[name, child] : this->processes) {
        child->signal(SIGCONT);
        child->signal(SIGKILL);
    }
    this->processes.clear();
    if (std::getenv("CATKINLINK_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->temporaryFolder, ignored);
    }
}

std::string Site::accountKey(int account) const
{
    return AK::concat("account-key-", account);
}

std::string Site::operatorKey() const
{
    return "operator-key-of-the-test-site";
}

std::string Site::operatorKeyFile() const
{
    return this->temporaryFolder + "/operator.key";
}

std::string Site::weightsRoot(const std::string &, const std::string &version) const
{
    return this->roots.at(version);
}

const std::string &Site::folder() const
{
    return this->temporaryFolder;
}

nlohmann::json Site::processSettings(const std::string &name) const
{
    const Host &host = this->hosts.at(name);
    nlohmann::json settings{
        {"role", host.entry ? "entry" : "agent"},
        {"name", name},
        {"site", siteName},
        {"region", host.region},
        {"failure_domain", host.domain},
        {"http_address", this->httpAddress(name).text()},
        {"rpc_address", this->rpcAddress(name).text()},
        {"object_api", (this->sitePlan.proxyBeforeObjectApi ? this->objectApiProxy() : this->objectApi()).text()},
        {"seeds", nlohmann::json::array()},
        {"keys", {{{"id", "k1"}, {"secret", sharedSecret}}}},
        {"operators", {{{"name", "rosa"}, {"key_sha256", AK::sha256Hex(this->operatorKey())}}}},
        {"log_level", this->sitePlan.logLevel},
        {"timing", this->sitePlan.timing},
        {"entry", this->sitePlan.entrySettings},
    };
    for (int i = 0; i < this->sitePlan.entries; ++i) {
        settings["seeds"].push_back(this->rpcAddress(AK::concat("entry-", i + 1)).text());
    }
    if (!host.entry) {
        const auto service = std::ranges::find(this->sitePlan.services, host.service, &ServicePlan::name);
        nlohmann::json agent{
            {"upstream_address", this->upstreamAddress(name).text()},
            {"upstream_kind", service->engine ? "engine" : "plain"},
            {"service", host.service},
            {"weight_store", this->weightStore().text()},
            {"origin_region", this->sitePlan.domains.front().region},
        };
        agent.merge_patch(this->sitePlan.agentSettings);
        settings["agent"] = agent;
    }
    return settings;
}

void Site::writeSettings(const std::string &name, const nlohmann::json &settings) const
{
    std::ofstream(AK::concat(this->temporaryFolder, "/", name, ".json")) << settings.dump(2);
}

void Site::spawn(const std::string &name, const std::string &program, std::vector<std::string> arguments)
{
    this->processes[name].reset();
    this->processes[name] = std::make_unique<ChildProcess>(AK::concat(this->sitePlan.binFolder, "/", program), std::move(arguments), this->logFile(name));
}

void Site::startFakes()
{
    this->spawn("object-api", "fake_object_api", {"--address", this->objectApi().text()});
    std::string versions;
    for (int i = 1; i <= this->sitePlan.versions; ++i) {
        versions += AK::concat(i == 1 ? "" : ",", i);
    }
    this->spawn("weight-store", "fake_weight_store",
                {"--address", this->weightStore().text(), "--model", model, "--adapter", adapter, "--versions", versions, "--size-bytes",
                 std::to_string(this->sitePlan.weightBytes), "--chunk-bytes", std::to_string(this->sitePlan.chunkBytes), "--bytes-per-s",
                 std::to_string(this->sitePlan.originBytesPerSecond)});
    if (this->sitePlan.proxyBeforeObjectApi) {
        this->spawn("object-api-proxy", "fault_proxy",
                    {"--listen", this->objectApiProxy().text(), "--target", this->objectApi().text(), "--admin", this->objectApiProxyAdmin().text()});
    }
}

void Site::startUpstreams()
{
    for (const ServicePlan &service : this->sitePlan.services) {
        const size_t enginesPerProcess = service.engine ? this->sitePlan.enginesPerProcess : 1;
        const auto &flags = service.engine ? this->sitePlan.engineFlags : this->sitePlan.plainFlags;
        const std::vector<std::string> names = this->agents(service.name);
        for (size_t first = 0; first < names.size(); first += enginesPerProcess) {
            std::vector<std::string> arguments = flags;
            for (size_t i = first; i < std::min(first + enginesPerProcess, names.size()); ++i) {
                arguments.insert(arguments.end(), {"--address", this->upstreamAddress(names[i]).text()});
            }
            this->spawn("upstream-" + names[first], service.engine ? "fake_engine" : "fake_plain", std::move(arguments));
        }
    }
}

absl::Status Site::waitHttp(const std::string &name, const AK::Endpoint &address, const std::string &path, AK::Milliseconds limit)
{
    const bool responded = waitUntil(limit, [&] { return LibHttp::httpCall(address, {.path = path}, 1'000).ok(); });
    if (!responded) {
        const std::optional<int> exitStatus = this->process(name).wait(0);
        return absl::DeadlineExceededError(AK::concat("process ", name, " does not respond at ", address.text(), " within ", limit, " ms; it ",
                                                      exitStatus ? AK::concat("has ended with status ", *exitStatus) : std::string("is running"),
                                                      "; the end of its log:\n", this->endOfLog(name)));
    }
    return absl::OkStatus();
}

std::string Site::logFile(const std::string &name) const
{
    return AK::concat(this->temporaryFolder, "/", name, ".log");
}

std::string Site::endOfLog(const std::string &name) const
{
    std::ifstream file(this->logFile(name));
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    return text.substr(text.size() - std::min(text.size(), shownLogBytes));
}

absl::Status Site::readRoots()
{
    for (int version = 1; version <= this->sitePlan.versions; ++version) {
        const std::string path = LibWeights::weightsPath(model, adapter, std::to_string(version)) + "/manifest.json";
        CATKINLINK_ASSIGN(const LibHttp::HttpResponse response, LibHttp::httpCall(this->weightStore(), {.path = path}, requestTimeoutMs));
        CATKINLINK_ASSIGN(const LibWeights::Manifest manifest, LibWeights::parseManifest(response.body));
        this->roots[std::to_string(version)] = LibWeights::rootOf(manifest);
    }
    return absl::OkStatus();
}

absl::Status Site::start()
{
    std::ofstream(this->operatorKeyFile()) << this->operatorKey() << "\n";
    this->startFakes();
    CATKINLINK_TRY(this->waitHttp("object-api", this->objectApi(), "/fake/stats", startLimitMs));
    CATKINLINK_TRY(this->waitHttp("weight-store", this->weightStore(), "/fake/stats", startLimitMs));
    CATKINLINK_TRY(this->readRoots());
    nlohmann::json hostList{{"hosts", nlohmann::json::array()}};
    for (const auto &[name, host] : this->hosts) {
        hostList["hosts"].push_back({{"name", name}, {"address", this->hostAddress(host.index)}, {"state", "live"}});
    }
    CATKINLINK_TRY(postJson(this->objectApi(), "/fake/hosts", hostList).status());
    this->startUpstreams();
    for (const auto &[name, host] : this->hosts) {
        this->writeSettings(name, this->processSettings(name));
        this->startDaemon(name);
    }
    for (const auto &[name, host] : this->hosts) {
        CATKINLINK_TRY(this->waitHttp(name, this->httpAddress(name), "/health/live", startLimitMs));
    }
    return absl::OkStatus();
}

void Site::startDaemon(const std::string &name)
{
    this->spawn(name, "catkinlinkd", {"--config", AK::concat(this->temporaryFolder, "/", name, ".json")});
}

ChildProcess &Site::process(const std::string &name)
{
    return *this->processes.at(name);
}

nlohmann::json Site::initialDocument() const
{
    nlohmann::json document{{"site", siteName},
                            {"failure_domains", nlohmann::json::object()},
                            {"accounts", nlohmann::json::object()},
                            {"services", nlohmann::json::object()},
                            {"upstreams", nlohmann::json::object()}};
    for (const DomainPlan &domain : this->sitePlan.domains) {
        document["failure_domains"][domain.name] = {{"region", domain.region}};
    }
    for (int i = 1; i <= this->sitePlan.accounts; ++i) {
        document["accounts"][AK::concat("account-", i)] = {{"key_sha256", AK::sha256Hex(this->accountKey(i))}};
    }
    for (const ServicePlan &service : this->sitePlan.services) {
        nlohmann::json &entry = document["services"][service.name];
        entry["kind"] = service.engine ? "engine" : "plain";
        if (service.engine) {
            entry["target"] = {{"model", model}, {"adapter", adapter}, {"version", "1"}, {"root", this->roots.at("1")}};
        } else {
            entry["routes"] = service.routes;
        }
    }
    for (const auto &[name, host] : this->hosts) {
        if (!host.entry) {
            document["upstreams"][name] = {{"service", host.service}, {"failure_domain", host.domain}};
        }
    }
    return document;
}

absl::StatusOr<uint64_t> Site::apply(const nlohmann::json &document, const std::string &reason)
{
    const LibHttp::HttpHeaders headers{{"authorization", "Bearer " + this->operatorKey()}};
    absl::Status lastError = absl::UnavailableError("no entry");
    for (int i = 1; i <= this->sitePlan.entries; ++i) {
        const absl::StatusOr<nlohmann::json> current = getJson(this->entryAddress(i), "/operator/v1/revision", headers);
        const uint64_t expected = current.ok() ? current->value("revision", uint64_t{0}) : 0;
        static AK::Random random = AK::seededFromSystem();
        const nlohmann::json body{{"document", document}, {"expected_revision", expected}, {"change_id", AK::randomHex(random, 24)}, {"reason", reason}};
        const absl::StatusOr<nlohmann::json> response = postJson(this->entryAddress(i), "/operator/v1/apply", body, headers);
        if (response.ok()) {
            return response->at("revision").get<uint64_t>();
        }
        lastError = response.status();
    }
    return lastError;
}

absl::StatusOr<uint64_t> Site::change(const std::function<void(nlohmann::json &)> &edit, const std::string &reason)
{
    const LibHttp::HttpHeaders headers{{"authorization", "Bearer " + this->operatorKey()}};
    absl::Status lastError = absl::UnavailableError("no entry");
    for (int i = 1; i <= this->sitePlan.entries; ++i) {
        const absl::StatusOr<nlohmann::json> current = getJson(this->entryAddress(i), "/operator/v1/revision", headers);
        if (current.ok()) {
            nlohmann::json document = current->at("document");
            edit(document);
            return this->apply(document, reason);
        }
        lastError = current.status();
    }
    return lastError;
}

absl::Status Site::applyInitial()
{
    CATKINLINK_ASSIGN(const uint64_t revision, this->apply(this->initialDocument(), "initial document"));
    CATKINLINK_TRY(this->waitForRevision(revision, startLimitMs));
    return this->waitForMembers(startLimitMs + static_cast<AK::Milliseconds>(this->hosts.size()) * extraLimitPerHostMs);
}

absl::Status Site::waitForRevision(uint64_t revision, AK::Milliseconds limit)
{
    return this->waitForGauge("catkinlink_configuration_revision", revision, limit);
}

absl::Status Site::waitForMembers(AK::Milliseconds limit)
{
    return this->waitForGauge("catkinlink_members_alive", this->hosts.size(), limit);
}

absl::Status Site::waitForGauge(const std::string &name, uint64_t value, AK::Milliseconds limit)
{
    const std::string marker = AK::concat("\n", name, " ");
    std::string lagging;
    const bool reached = waitUntil(limit, [&] {
        for (const auto &[daemon, host] : this->hosts) {
            if (!this->processes.at(daemon)->running()) {
                continue;
            }
            const auto metrics = LibHttp::httpCall(this->httpAddress(daemon), {.path = "/metrics"}, 1'000);
            const size_t position = metrics.ok() ? metrics->body.find(marker) : std::string::npos;
            if (position == std::string::npos || std::strtoull(metrics->body.c_str() + position + marker.size(), nullptr, 10) < value) {
                lagging = daemon;
                return false;
            }
        }
        return true;
    });
    return reached ? absl::OkStatus() : absl::DeadlineExceededError(AK::concat(name, " of ", lagging, " is below ", value, " after ", limit, " ms"));
}

absl::StatusOr<nlohmann::json> Site::status(const AK::Endpoint &entry)
{
    return getJson(entry, "/operator/v1/status", {{"authorization", "Bearer " + this->operatorKey()}});
}

absl::Status Site::waitServing(const std::string &service, const std::string &version, AK::Milliseconds limit)
{
    const std::string root = this->roots.at(version);
    std::string notServing;
    const bool serving = waitUntil(limit, [&] {
        const absl::StatusOr<nlohmann::json> view = this->status(this->entryAddress(1));
        if (!view.ok()) {
            notServing = "status of entry-1";
            return false;
        }
        std::map<std::string, const nlohmann::json *> members;
        for (const nlohmann::json &member : view->at("members")) {
            members[member.at("name")] = &member;
        }
        for (const std::string &name : this->agents(service)) {
            if (!this->processes.at(name)->running()) {
                continue;
            }
            const auto found = members.find(name);
            if (found == members.end() || (*found->second)["weights_root"] != root || (*found->second)["serving_state"] != "serving") {
                notServing = name;
                return false;
            }
        }
        return true;
    });
    return serving ? absl::OkStatus()
                   : absl::DeadlineExceededError(AK::concat(notServing, " does not serve version ", version, " of ", service, " within ", limit, " ms"));
}

absl::StatusOr<LibHttp::HttpResponse> Site::complete(const AK::Endpoint &entry, const std::string &service, const std::string &prompt, bool stream, int tokens,
                                                     int account)
{
    const nlohmann::json body{{"model", service}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
    const LibHttp::HttpHeaders headers{{"authorization", "Bearer " + this->accountKey(account)}, {"content-type", "application/json"}};
    return LibHttp::httpCall(entry, {.method = "POST", .path = "/v1/completions", .headers = headers, .body = body.dump()}, 30'000);
}

} // namespace Harness
