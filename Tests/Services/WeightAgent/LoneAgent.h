#pragma once

#include <AK/Hash.h>
#include <WeightAgent/AgentService.h>

/// An agent without entries, peers and store, whose engine and origin are given by the test.
namespace LoneAgentTest
{

inline const std::string model = "glue-line";
inline constexpr int64_t oldVersion = 1;
inline constexpr int64_t newVersion = 2;
inline constexpr uint32_t chunkCount = 4;

std::string soundChunk(uint32_t index);
WeightAgent::WeightsManifest soundManifest(int64_t version);

/// A store that never answers; the test sets the state of the deployment itself.
class NoSource final : public Fleet::ObjectSource
{
public:
    absl::StatusOr<LibFleet::ObjectPage> list(kj::WaitScope &scope, LibFleet::ObjectKind kind) override;
    absl::StatusOr<LibFleet::ObjectPage> watch(kj::WaitScope &scope, LibFleet::ObjectKind kind, int64_t position, AK::Milliseconds limit) override;
    absl::Status put(kj::WaitScope &scope, LibFleet::ObjectKind kind, const std::string &name, const std::string &spec) override;
    absl::Status erase(kj::WaitScope &scope, LibFleet::ObjectKind kind, const std::string &name) override;
};

class NoDecoder final : public Fleet::ObjectDecoder
{
public:
    void decode(LibFleet::ObjectKind kind, const std::map<std::string, std::string> &specs, AK::Milliseconds, LibFleet::FleetState &state) override;
    std::string agentPart(LibFleet::ObjectKind kind, const std::string &spec) const override;
    std::string encodeEntry(const LibFleet::EntryRecord &entry) const override;
};

/// Sends sound manifests and chunks.
class SoundOrigin : public WeightAgent::WeightsOrigin
{
public:
    absl::Status probe(kj::WaitScope &scope, const AK::Endpoint &origin) override;
    absl::StatusOr<std::string> manifestText(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version) override;
    absl::StatusOr<std::string> chunk(kj::WaitScope &scope, const AK::Endpoint &origin, const std::string &name, int64_t version, uint32_t index) override;
    absl::StatusOr<WeightAgent::WeightsManifest> parseManifest(const std::string &text) const override;
};

/// Stages chunks and loads them at once.
class MemoryEngine : public WeightAgent::EngineControl
{
public:
    absl::StatusOr<WeightAgent::EngineStatus> status(kj::WaitScope &scope) override;
    absl::Status stageChunk(kj::WaitScope &scope, const std::string &name, uint32_t index, const std::string &data) override;
    absl::StatusOr<std::string> stagedChunk(kj::WaitScope &scope, const std::string &name, uint32_t index) override;
    absl::StatusOr<WeightAgent::LoadOutcome> load(kj::WaitScope &scope, const std::string &name, int64_t version, WeightAgent::LoadStrategy strategy,
                                                  int64_t expectedSequence) override;

    std::map<uint32_t, std::string> staged;
    std::map<uint32_t, std::string> loaded;
    int64_t loadedVersion = oldVersion;
    int64_t loads = 0;
};

/// An agent that the operator has told to load `named`, newVersion unless given; nothing for no version at all.
class LoneAgent
{
public:
    LoneAgent(LibFiber::Loop &loop, WeightAgent::EngineControl &engine, WeightAgent::WeightsOrigin &origin, std::optional<int64_t> named = newVersion);

    /// Names a version as the operator does.
    void name(int64_t version);

    /// Lists other engines of the service. Their agents can't be reached.
    void listPeers(int count);

    /// Runs the agent until `condition` holds; false after `limit` ms.
    bool runUntil(const std::function<bool()> &condition, AK::Milliseconds limit = 20'000);

private:
    LibFiber::Loop &loop;
    NoSource source;
    NoDecoder decoder;
    LibFleet::FleetState fleet;
    Fleet::ObjectFeeds feeds;
    Fleet::PeerExchange exchange;

public:
    WeightAgent::AgentService service;

private:
    LibFiber::SpawnedFibersGuard guard;
};

} // namespace LoneAgentTest
