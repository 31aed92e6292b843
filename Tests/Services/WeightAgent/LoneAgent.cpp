#include "LoneAgent.h"

#include <nlohmann/json.hpp>

namespace LoneAgentTest
{

using namespace WeightAgent;

namespace
{

AgentService::Settings agentSettings()
{
    AgentService::Settings settings;
    settings.service = "bench-assistant";
    settings.engineAddress = {"127.0.0.1", 2};
    settings.region = "lima";
    settings.regionsByDomain = {{"lima-1", "lima"}};
    settings.statusInterval = 20;
    return settings;
}

LibFleet::Configuration modelConfiguration()
{
    LibFleet::Configuration configuration;
    configuration.version = 1;
    LibFleet::ServiceSpec service;
    service.name = "bench-assistant";
    service.engine.emplace();
    service.engine->model = model;
    service.engine->chunks = chunkCount;
    LibFleet::ServiceSpec origin;
    origin.name = "weights";
    origin.origin = AK::Endpoint{"127.0.0.1", 1};
    origin.originFailureDomain = "lima-1";
    configuration.services = {{service.name, service}, {origin.name, origin}};
    return configuration;
}

} // namespace

std::string soundChunk(uint32_t index)
{
    return "chunk " + std::to_string(index);
}

WeightsManifest soundManifest(int64_t version)
{
    WeightsManifest manifest{version, 1, {}};
    for (uint32_t i = 0; i < chunkCount; ++i) {
        manifest.digests.push_back(AK::sha256Hex(soundChunk(i)));
    }
    return manifest;
}

absl::StatusOr<LibFleet::ObjectPage> NoSource::list(kj::WaitScope & /*scope*/, LibFleet::ObjectKind /*kind*/)
{
    return absl::UnavailableError("no store");
}

absl::StatusOr<LibFleet::ObjectPage> NoSource::watch(kj::WaitScope & /*scope*/, LibFleet::ObjectKind /*kind*/, int64_t /*position*/, AK::Milliseconds /*limit*/)
{
    return absl::UnavailableError("no store");
}

absl::Status NoSource::put(kj::WaitScope & /*scope*/, LibFleet::ObjectKind /*kind*/, const std::string & /*name*/, const std::string & /*spec*/)
{
    return absl::UnavailableError("no store");
}

absl::Status NoSource::erase(kj::WaitScope & /*scope*/, LibFleet::ObjectKind /*kind*/, const std::string & /*name*/)
{
    return absl::UnavailableError("no store");
}

void NoDecoder::decode(LibFleet::ObjectKind /*kind*/, const std::map<std::string, std::string> & /*specs*/, AK::Milliseconds /*unnoticed*/,
                       LibFleet::FleetState & /*state*/)
{
}

std::string NoDecoder::agentPart(LibFleet::ObjectKind /*kind*/, const std::string &spec) const
{
    return spec;
}

std::string NoDecoder::encodeEntry(const LibFleet::EntryRecord & /*entry*/) const
{
    return "{}";
}

absl::Status SoundOrigin::probe(kj::WaitScope & /*scope*/, const AK::Endpoint & /*origin*/)
{
    return absl::OkStatus();
}

absl::StatusOr<std::string> SoundOrigin::manifestText(kj::WaitScope & /*scope*/, const AK::Endpoint & /*origin*/, const std::string & /*name*/, int64_t version)
{
    return nlohmann::json{{"version", version}, {"digests", soundManifest(version).digests}}.dump();
}

absl::StatusOr<std::string> SoundOrigin::chunk(kj::WaitScope & /*scope*/, const AK::Endpoint & /*origin*/, const std::string & /*name*/, int64_t /*version*/,
                                               uint32_t index)
{
    return soundChunk(index);
}

absl::StatusOr<WeightsManifest> SoundOrigin::parseManifest(const std::string &text) const
{
    const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
    if (body.is_discarded()) {
        return absl::InvalidArgumentError("manifest: is not JSON");
    }
    return WeightsManifest{body.at("version").get<int64_t>(), 1, body.at("digests").get<std::vector<std::string>>()};
}

absl::StatusOr<EngineStatus> MemoryEngine::status(kj::WaitScope & /*scope*/)
{
    EngineStatus status;
    status.report.weightsVersion = this->loadedVersion;
    status.commandSequence = this->loads;
    return status;
}

absl::Status MemoryEngine::stageChunk(kj::WaitScope & /*scope*/, const std::string & /*name*/, uint32_t index, const std::string &data)
{
    this->staged[index] = data;
    return absl::OkStatus();
}

absl::StatusOr<std::string> MemoryEngine::stagedChunk(kj::WaitScope & /*scope*/, const std::string & /*name*/, uint32_t index)
{
    const auto found = this->staged.find(index);
    return found == this->staged.end() ? absl::StatusOr<std::string>(absl::NotFoundError("not staged")) : found->second;
}

absl::StatusOr<LoadOutcome> MemoryEngine::load(kj::WaitScope & /*scope*/, const std::string & /*name*/, int64_t version, LoadStrategy /*strategy*/,
                                               int64_t /*expectedSequence*/)
{
    ++this->loads;
    this->loaded = this->staged;
    this->loadedVersion = version;
    return LoadOutcome::Accepted;
}

LoneAgent::LoneAgent(LibFiber::Loop &loop, EngineControl &engine, WeightsOrigin &origin, std::optional<int64_t> named)
    : loop(loop)
    , fleet(loop.clock())
    , feeds(loop, this->source, this->decoder, this->fleet)
    , exchange(loop, {"agent", "lima-1", "lima", {"127.0.0.1", 1}, std::nullopt, {}}, this->feeds, this->fleet)
    , service(loop, agentSettings(), this->fleet, engine, origin, this->exchange)
    , guard(loop)
{
    this->fleet.setConfiguration(modelConfiguration());
    this->fleet.setWeightsTargets(named ? std::map<std::string, int64_t>{{model, *named}} : std::map<std::string, int64_t>{}, 0);
    this->service.start();
}

void LoneAgent::name(int64_t version)
{
    this->fleet.setWeightsTargets({{model, version}}, 0);
}

void LoneAgent::listPeers(int count)
{
    constexpr int firstPort = 3;
    std::map<std::string, LibFleet::UpstreamRecord> peers;
    for (int i = 0; i < count; ++i) {
        LibFleet::UpstreamRecord peer;
        peer.id = "peer-" + std::to_string(i);
        peer.service = "bench-assistant";
        peer.address = {"127.0.0.1", static_cast<uint16_t>(firstPort + i)};
        peer.failureDomain = "lima-1";
        peers[peer.id] = peer;
    }
    this->fleet.setUpstreams(std::move(peers));
}

bool LoneAgent::runUntil(const std::function<bool()> &condition, AK::Milliseconds limit)
{
    const AK::Milliseconds until = this->loop.clock().now() + limit;
    while (!condition() && this->loop.clock().now() < until) {
        this->loop.sleep(this->loop.rootScope(), 10);
    }
    return condition();
}

} // namespace LoneAgentTest
