#include "Site.h"

#include <thread>

namespace TestSite
{

namespace
{

constexpr uint16_t callerPort = 7100;

} // namespace

Site::Site(LibSettings::UpstreamKind kind, LibHttp::HttpServer::Handler upstreamHandler, int slots, int entries)
    : upstream(endpoint(1, 7400), LibHttp::HttpServerLimits{64, 1 << 20}, std::move(upstreamHandler))
    , keys(std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"k", "secret-secret-secret"}}, this->clock))
{
    this->configuration.revision.number = 3;
    this->configuration.site.failureDomains = {{"lima", {"peru", true}}};
    this->configuration.site.accounts = {{"desk", {AK::sha256Hex("key"), 1, 0}}};
    LibSettings::ServiceSpec service;
    service.kind = kind;
    service.target = LibSettings::WeightsTarget{"m", "a", "2", root};
    service.routes = {{"POST", "/confirm", false}, {"POST", "/stock", true}};
    this->configuration.site.services = {{"svc", service}};
    this->configuration.site.upstreams = {{"w1", {"svc", "lima", true}}};
    this->configurationView.set(this->configuration);
    LibMembership::Member member;
    member.name = "w1";
    member.role = LibSettings::ProcessRole::Agent;
    member.rpcAddress = endpoint(1, 7200);
    member.region = "peru";
    member.servingState = LibMembership::ServingState::Serving;
    member.weightsRoot = root;
    this->membership.list = {member};
    this->agentSettings.name = "w1";
    this->agentSettings.timing.statusMaxAgeMs = 600'000;
    this->agentSettings.agent.service = "svc";
    this->agentSettings.agent.upstreamKind = kind;
    this->agentSettings.agent.upstreamAddress = endpoint(1, 7400);
    this->agentSettings.agent.capacity = slots;
    this->agentSettings.agent.coldSlots = slots;
    this->agentSettings.agent.queueLimit = 256;
    this->entrySettings.region = "peru";
    this->confirmEngine();
    EXPECT_TRUE(this->upstream.start().ok());
    this->callService =
        std::make_unique<Agent::CallService>(this->agentSettings, this->clock, this->configurationView, this->membership, this->engine, this->metrics);
    EXPECT_TRUE(this->callService->start().ok());
    LibWire::NodeHandlers handlers;
    handlers.call = this->callService.get();
    this->rpcServer = std::make_unique<LibWire::RpcServer>(endpoint(1, 7200), this->keys, handlers, 500);
    EXPECT_TRUE(this->rpcServer->start().ok());
    for (int i = 0; i < entries; ++i) {
        this->entries.push_back(std::make_unique<Entry::EntryService>(this->entrySettings, this->clock, this->configurationView, this->membership,
                                                                      this->onceRunner, LibWire::RpcIdentity{AK::concat("entry-", i), this->keys},
                                                                      this->metrics));
        Entry::EntryService *entry = this->entries.back().get();
        this->entryServers.push_back(std::make_unique<LibHttp::HttpServer>(endpoint(10 + i, callerPort), LibHttp::HttpServerLimits{64, 1 << 20},
                                                                           [entry](LibHttp::HttpExchange &exchange) { entry->handle(exchange); }));
        EXPECT_TRUE(this->entryServers.back()->start().ok());
    }
}

Site::~Site()
{
    // CivetWeb takes up to 2 s to stop, so the servers are stopped in parallel.
    std::vector<std::thread> stopThreads;
    for (auto &server : this->entryServers) {
        stopThreads.emplace_back([&server] { server->stop(); });
    }
    stopThreads.emplace_back([this] { this->upstream.stop(); });
    this->rpcServer->stop();
    for (auto &stop : stopThreads) {
        stop.join();
    }
    this->callService->stop();
}

void Site::confirmEngine()
{
    this->engine.confirm({root, fingerprint, 0, this->clock.now()});
}

absl::StatusOr<LibHttp::HttpResponse> Site::post(const std::string &path, const std::string &body, LibHttp::HttpHeaders headers, int entry)
{
    headers.emplace("authorization", "Bearer key");
    return LibHttp::httpCall(endpoint(10 + entry, callerPort), {"POST", path, {}, std::move(headers), body}, 30'000);
}

std::unique_ptr<LibHttp::HttpStream> Site::openStream(const std::string &body)
{
    auto stream = LibHttp::HttpStream::open(endpoint(10, callerPort), {"POST", "/v1/completions", {}, {{"authorization", "Bearer key"}}, body}, 30'000);
    EXPECT_TRUE(stream.ok()) << stream.status();
    return stream.ok() ? std::move(*stream) : nullptr;
}

} // namespace TestSite
