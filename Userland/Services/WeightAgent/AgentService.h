#pragma once

#include "SwarmFetch.h"
#include "VersionChoice.h"
#include <AK/RecentCheck.h>
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
    std::shared_ptr<HeldVersion> newestCompleteVersion(const std::string &model) const;
    /// Adds the chunks that are already staged at the engine to `held`.
    void adoptStagedChunks(kj::WaitScope &scope, const std::string &model, HeldVersion &held);
    struct Comparison {
        AK::RecentCheck check;
        /// Chunks that were missing or differed. They have not been read back.
        size_t staged = 0;
    };

    /// Stages the chunks of the version that is being fetched as they arrive, so that only the comparison is left when it is complete.
    void runStageLoop(kj::WaitScope &scope);
    /// The chunk to stage next. Nothing while a complete version waits to be loaded: the staging area is then that version's.
    std::optional<uint32_t> nextToStage(const std::string &model, const HeldVersion &held) const;
    bool loadPending(const std::string &model) const;
    /// Waits until no chunk of another version can reach the staging area any more.
    void waitForStaging(kj::WaitScope &scope, int64_t version) const;
    /// Compares all staged chunks with `held` and stages those that are missing or differ. Returns nothing when the engine fails.
    std::optional<Comparison> compareStaged(kj::WaitScope &scope, const std::string &model, const HeldVersion &held);
    /// Returns the status on which a load command is to be based. `compared` holds then, after more comparisons if necessary. Nothing when the engine must not
    /// or need not load the version now.
    std::optional<EngineStatus> statusForLoad(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, AK::RecentCheck compared);
    void switchTo(kj::WaitScope &scope, const std::string &model, const HeldVersion &held, const AK::RecentCheck &compared);
    /// Waits for a status that was read after this call. Errors: kUnavailable when the engine does not answer.
    absl::StatusOr<EngineStatus> waitForFreshStatus(kj::WaitScope &scope) const;
    /// Waits for loadDelay(). False when `version` is no longer the newest complete version.
    bool waitForLoadTurn(kj::WaitScope &scope, const std::string &model, int64_t version);
    void drainCalls(kj::WaitScope &scope) const;
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
    ManifestProof manifestProof;
    OriginContact originContact;
    std::map<int64_t, KnownOffers> offersByVersion;
    /// Version that is being fetched, 0 for none.
    int64_t fetchedVersion = 0;
    /// Version of which chunks are staged as they arrive, and these chunks.
    int64_t stagedVersion = 0;
    std::set<uint32_t> stagedChunks;
    bool staging = false;
    /// Time of the last chunk that was not staged; the engine may still receive it.
    std::optional<AK::Milliseconds> stagingFailedAt;
    std::optional<EngineStatus> status;
    AK::Milliseconds statusReadAt = 0;
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
