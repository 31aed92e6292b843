#include "Fleet.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace FleetTest
{

namespace
{

AK::Endpoint endpointOf(size_t host, uint16_t port)
{
    const int pid = getpid();
    return {AK::concat("127.", 30 + pid % 97, ".", pid / 97 % 250 + 1, ".", host + 1), port};
}

void throwIfError(const absl::Status &status)
{
    if (!status.ok()) {
        throw std::runtime_error(std::string(status.message()));
    }
}

} // namespace

std::shared_ptr<const LibConfiguration::Configuration> TestConfiguration::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->value;
}

std::shared_ptr<const LibConfiguration::Configuration> TestConfiguration::waitForChange(const std::shared_ptr<const LibConfiguration::Configuration> &seen,
                                                                                        AK::Milliseconds timeout) const
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, std::chrono::milliseconds(timeout), [&] { return this->value != seen; });
    return this->value;
}

void TestConfiguration::publish(LibConfiguration::Configuration next)
{
    const std::lock_guard lock(this->mutex);
    this->value = std::make_shared<const LibConfiguration::Configuration>(std::move(next));
    this->changed.notify_all();
}

TestMembership::TestMembership(TestMemberTable &table, std::string self)
    : table(table)
    , self(std::move(self))
{
}

std::vector<LibMembership::Member> TestMembership::members() const
{
    const std::lock_guard lock(this->table.mutex);
    std::vector<LibMembership::Member> all;
    for (const auto &[name, member] : this->table.members) {
        all.push_back(member);
    }
    return all;
}

std::optional<LibMembership::Member> TestMembership::find(const std::string &name) const
{
    const std::lock_guard lock(this->table.mutex);
    const auto found = this->table.members.find(name);
    return found == this->table.members.end() ? std::nullopt : std::optional(found->second);
}

uint64_t TestMembership::changeCount() const
{
    const std::lock_guard lock(this->table.mutex);
    return this->table.changes;
}

void TestMembership::updateSelf(const std::function<void(LibMembership::Member &)> &change)
{
    const std::lock_guard lock(this->table.mutex);
    change(this->table.members[this->self]);
    ++this->table.changes;
}

void TestMembership::reportUnreachable(const std::string & /*name*/)
{
}

void TestGate::closeForSwitch()
{
    ++this->closed;
}

bool TestGate::waitDrained(AK::Milliseconds /*timeout*/)
{
    return true;
}

void TestGate::reopen()
{
    ++this->opened;
}

int TestGate::callsInFlight() const
{
    return 0;
}

FaultyChunkHandler::FaultyChunkHandler(LibWire::ChunkHandler &inner)
    : inner(inner)
{
}

void FaultyChunkHandler::waitWhilePaused() const
{
    while (this->fault == PeerFault::Pause) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void FaultyChunkHandler::chunkMap(std::string_view root, bool wantManifest, Wire::Node::ChunkMapResults::Builder results)
{
    this->waitWhilePaused();
    this->inner.chunkMap(root, wantManifest, results);
}

void FaultyChunkHandler::fetchChunk(std::string_view root, uint32_t index, Wire::Node::FetchChunkResults::Builder results, kj::WaitScope &scope)
{
    this->waitWhilePaused();
    while (this->fault == PeerFault::Stall) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    this->inner.fetchChunk(root, index, results, scope);
    if (this->fault == PeerFault::Corrupt) {
        results.getData()[0] = static_cast<kj::byte>(results.getData()[0] ^ 1);
    }
}

Fleet::Fleet(FleetOptions fleetOptions)
    : options(std::move(fleetOptions))
    , keys(std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"key", "secret-secret-secret"}}, this->clock))
{
    this->store = std::make_unique<Fakes::FakeWeightStore>(endpointOf(200, 7301), this->clock, this->options.weights, std::vector<std::string>{"1", "2"},
                                                           this->options.originBytesPerSecond);
    throwIfError(this->store->start());
    for (size_t i = 0; i < this->options.regions.size(); ++i) {
        auto agent = std::make_unique<TestAgent>();
        agent->settings.role = LibSettings::ProcessRole::Agent;
        agent->settings.name = AK::concat("agent-", i < 10 ? "0" : "", i);
        agent->settings.region = this->options.regions[i];
        agent->settings.rpcAddress = endpointOf(i, 7200);
        agent->settings.httpAddress = endpointOf(i, 7100);
        agent->settings.timing.statusPollMs = 20;
        agent->settings.timing.rpcTimeoutMs = 500;
        agent->settings.agent.service = "assistant";
        agent->settings.agent.upstreamAddress = endpointOf(i, 7400);
        agent->settings.agent.weightStore = endpointOf(200, 7301);
        agent->settings.agent.originRegion = "a";
        agent->settings.agent.weightsBytesPerSecond = 64 << 20;
        agent->settings.agent.designatedTimeoutMs = 200;
        agent->settings.agent.chunkMapIntervalMs = 20;
        agent->membership = std::make_unique<TestMembership>(this->table, agent->settings.name);
        LibMembership::Member member;
        member.name = agent->settings.name;
        member.role = LibSettings::ProcessRole::Agent;
        member.region = agent->settings.region;
        member.service = "assistant";
        member.rpcAddress = agent->settings.rpcAddress;
        this->table.members[member.name] = member;
        this->agents.push_back(std::move(agent));
    }
}

Fleet::~Fleet()
{
    for (auto &agent : this->agents) {
        if (agent->chunks) {
            agent->chunks->fault = PeerFault::None;
        }
    }
    // CivetWeb takes up to 2 s to stop, so all agents are stopped concurrently.
    std::vector<std::thread> stops;
    for (auto &agent : this->agents) {
        stops.emplace_back([&agent = *agent] {
            if (agent.service) {
                agent.service->stop();
                agent.rpc->stop();
            }
            agent.http.reset();
            agent.engine.reset();
        });
    }
    for (std::thread &stop : stops) {
        stop.join();
    }
    this->store->stop();
}

void Fleet::setTarget(const std::string &version, const std::string &previous, const std::string &rootOverride)
{
    LibConfiguration::Configuration next;
    next.revision.number = ++this->revision;
    LibSettings::ServiceSpec service;
    const auto targetOf = [&](const std::string &name) {
        return LibSettings::WeightsTarget{this->options.weights.model, this->options.weights.adapter, name,
                                          rootOverride.empty() ? this->store->rootOf(name) : rootOverride};
    };
    service.target = targetOf(version);
    if (!previous.empty()) {
        service.previous = targetOf(previous);
    }
    next.site.services["assistant"] = service;
    for (const auto &agent : this->agents) {
        next.site.upstreams[agent->settings.name] = {"assistant", "", true};
    }
    this->configuration.publish(std::move(next));
}

void Fleet::createService(TestAgent &agent)
{
    agent.service = std::make_unique<LibWeights::WeightsService>(agent.settings, this->clock, this->configuration, *agent.membership, agent.state, agent.gate,
                                                                 LibWire::RpcIdentity{agent.settings.name, this->keys}, agent.metrics);
}

void Fleet::start(size_t index)
{
    TestAgent &agent = *this->agents[index];
    this->createService(agent);
    agent.chunks = std::make_unique<FaultyChunkHandler>(*agent.service);
    LibWire::NodeHandlers handlers;
    handlers.chunk = agent.chunks.get();
    agent.rpc = std::make_unique<LibWire::RpcServer>(agent.settings.rpcAddress, this->keys, handlers, 200);
    throwIfError(agent.rpc->start());
    if (this->options.engines) {
        agent.http = std::make_unique<LibHttp::HttpServer>(agent.settings.httpAddress, LibHttp::HttpServerLimits{4, 1 << 16},
                                                           [&agent](LibHttp::HttpExchange &exchange) { agent.service->handle(exchange); });
        throwIfError(agent.http->start());
    }
    if (this->options.engines && !agent.engine) {
        agent.engine = std::make_unique<Fakes::FakeEngine>(Fakes::FakeEngineOptions{agent.settings.agent.upstreamAddress}, this->clock);
        throwIfError(agent.engine->start());
    }
    throwIfError(agent.service->start());
}

void Fleet::startAll()
{
    for (size_t i = 0; i < this->agents.size(); ++i) {
        this->start(i);
    }
}

void Fleet::restartService(size_t index)
{
    TestAgent &agent = *this->agents[index];
    agent.service->stop();
    agent.rpc->stop();
    agent.http.reset();
    agent.state.markUnverified();
    this->start(index);
}

bool Fleet::waitFor(const std::function<bool()> &condition) const
{
    constexpr AK::Milliseconds limit = 60'000;
    for (const AK::Milliseconds end = this->clock.now() + limit; this->clock.now() < end; this->clock.sleep(5)) {
        if (condition()) {
            return true;
        }
    }
    return false;
}

bool Fleet::allHold(const std::string &version, const std::vector<size_t> &excluded) const
{
    for (size_t i = 0; i < this->agents.size(); ++i) {
        const bool skipped = std::find(excluded.begin(), excluded.end(), i) != excluded.end();
        if (!skipped && !this->agents[i]->service->holdsAll(this->store->rootOf(version))) {
            return false;
        }
    }
    return true;
}

double Fleet::metricSum(const std::string &prefix) const
{
    double sum = 0;
    for (const auto &agent : this->agents) {
        std::istringstream text(agent->metrics.text());
        for (std::string line; std::getline(text, line);) {
            if (line.starts_with(prefix)) {
                sum += std::stod(line.substr(line.rfind(' ')));
            }
        }
    }
    return sum;
}

uint64_t Fleet::versionBytes() const
{
    LibWeights::GeneratedWeights weights = this->options.weights;
    return LibWeights::buildManifest(weights, LibWeights::generateFiles(weights)).totalBytes();
}

} // namespace FleetTest
