#pragma once

#include "StagingArea.h"
#include "SwarmFetch.h"
#include "VersionChoice.h"
#include <Fleet/PeerExchange.h>

namespace WeightAgent
{

/// Loads the weights version that the operator has set into the engine of this host, and reports the load of the engine to the entries.
class AgentService
{
public:
    /// Version that engines have at the start of a deployment, before the operator names one.
    static constexpr int64_t initialVersion = 1;

    struct Settings {
        std::string service;
        AK::Endpoint engineAddress;
        std::string region;
        std::map<std::string, std::string> regionsByDomain;
        /// RPC port of every agent.
        uint16_t rpcPort = 0;
        /// Time from learning of a new version until engines with an older one must not start any more calls.
        AK::Milliseconds switchTimeLimit = 8'000;
        AK::Milliseconds statusInterval = 100;
        /// Bandwidth limit for chunks sent to other agents, in bytes per second.
        double uploadBytesPerSecond = 0;
        /// Bandwidth of this host's link in Mbit/s, 0 when unknown.
        double linkMbps = 0;
    };

    AgentService(LibFiber::Loop &loop, Settings settings, const LibFleet::FleetState &fleet, EngineControl &engine, WeightsOrigin &origin,
                 Fleet::PeerExchange &exchange);

    void start();

    /// Applies changed settings. Only the regions, the switch time limit and the rates take effect; all others keep their values from the start.
    void reconfigure(const Settings &changed);

    VersionStore &versions();

    /// Version of the weights that the engine has loaded completely, 0 for none or unknown.
    int64_t loadedVersion() const;

private:
    void pollEngine(kj::WaitScope &scope);
    void runFetchLoop(kj::WaitScope &scope);
    void runLoadLoop(kj::WaitScope &scope);
    /// Reads the manifests of all announced versions as soon as they are known, also while another version is fetched.
    void runManifestLoop(kj::WaitScope &scope);
    void readManifest(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version);
    void fetch(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version);
    SwarmFetch makeFetch(const LibFleet::EngineSpec &spec, int64_t version, AK::Milliseconds startedAt);
    /// The version to load: the newest complete target, or while newer ones are not complete an older version that calls may still use for a while. Nothing
    /// when the engine has it or a newer one.
    std::shared_ptr<HeldVersion> versionToLoad(const std::string &model) const;
    bool isToLoad(const std::string &model, const HeldVersion &held) const;
    /// Stages the chunks of the version that is being fetched as they arrive, so that only the comparison is left when it is complete.
    void runStageLoop(kj::WaitScope &scope);
    /// The chunk to stage next. Nothing while a complete version waits to be loaded: the staging area is then that version's.
    std::optional<uint32_t> nextToStage(const std::string &model, const HeldVersion &held) const;
    bool loadPending(const std::string &model) const;
    /// Stages, compares and loads a version. Returns early when the engine fails, or when another version is the one to load.
    void loadVersion(kj::WaitScope &scope, const std::string &model, const HeldVersion &held);
    /// Returns the status on which a load command is to be based. `compared` proves then that all chunks are staged, after more comparisons if necessary.
    /// Nothing when the engine must not or need not load the version now.
    std::optional<EngineStatus> statusForLoad(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, StagingArea::Comparison compared);
    void switchTo(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, const StagingArea::Comparison &compared);
    /// Reads the status of the engine now. Errors: those of EngineControl::status().
    absl::StatusOr<EngineStatus> readStatus(kj::WaitScope &scope);
    /// Waits for loadDelay(). False when another version is the one to load.
    bool waitForLoadTurn(kj::WaitScope &scope, const std::string &model, const HeldVersion &held);
    void drainCalls(kj::WaitScope &scope, const std::string &model, const HeldVersion &held) const;
    std::optional<LibFleet::EngineSpec> engineSpec() const;
    /// Targets that are newer than the loaded version, and the newest, oldest first.
    std::vector<LibFleet::WeightsTarget> targetsToFetch(const std::string &model) const;
    int64_t versionToFetch(const LibFleet::EngineSpec &spec) const;
    AK::Milliseconds timeLeft(const std::string &model, int64_t version) const;
    SwarmView swarmView() const;
    OriginLink originLink() const;
    VersionOutlook outlookOf(const LibFleet::EngineSpec &spec, const LibFleet::WeightsTarget &target) const;

    LibFiber::Loop &loop;
    Settings settings;
    const LibFleet::FleetState &fleet;
    EngineControl &engine;
    WeightsOrigin &origin;
    Fleet::PeerExchange &exchange;
    VersionStore store;
    StagingArea staging;
    ManifestProof manifestProof;
    OriginContact originContact;
    std::map<int64_t, KnownOffers> offersByVersion;
    /// Version that is being fetched, 0 for none.
    int64_t fetchedVersion = 0;
    std::optional<EngineStatus> status;
    AK::Milliseconds statusReadAt = 0;
    /// Time at which `status` was asked for.
    AK::Milliseconds statusAskedAt = 0;
    bool switchPending = false;
    /// Time at which this agent began to fetch the chunks of each version.
    std::map<int64_t, AK::Milliseconds> fetchStartedAt;
    /// Time at which it first looked for the manifest of each version.
    std::map<int64_t, AK::Milliseconds> manifestWantedAt;
    /// Versions whose manifest is being read.
    std::set<int64_t> manifestReads;
    LibLog::Logger logger{"agent"};
};

} // namespace WeightAgent
