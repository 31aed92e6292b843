#pragma once

#include "SwarmFetch.h"
#include <Fleet/PeerExchange.h>

namespace WeightAgent
{

/// Keeps the engine of this host on the weights that the operator has named, and tells the entries how loaded the engine is.
class AgentService
{
public:
    struct Settings {
        std::string service;
        AK::Endpoint engineAddress;
        std::string region;
        std::map<std::string, std::string> regionsByDomain;
        /// RPC port of every agent.
        uint16_t rpcPort = 0;
        /// Time after which an old version must not begin work, from the moment at which a newer one became known.
        AK::Milliseconds switchTimeLimit = 8'000;
        AK::Milliseconds statusInterval = 100;
        /// What chunks that are sent may take of the link of this host, in bytes a second.
        double uploadBytesPerSecond = 0;
    };

    AgentService(LibFiber::Loop &loop, Settings settings, const LibFleet::FleetState &fleet, EngineControl &engine, WeightsOrigin &origin,
                 Fleet::PeerExchange &exchange);

    void start();

    /// Takes over changed settings; the addresses and the service stay as they were at start.
    void reconfigure(const Settings &changed);

    VersionStore &versions();

    /// Complete weights that the engine holds, 0 for none or unknown.
    int64_t loadedVersion() const;

private:
    void watchEngine(kj::WaitScope &scope);
    void keepFetching(kj::WaitScope &scope);
    void keepLoaded(kj::WaitScope &scope);
    void fetch(kj::WaitScope &scope, const LibFleet::EngineSpec &spec, int64_t version);
    std::shared_ptr<HeldVersion> newestComplete(const std::string &model) const;
    void takeStaged(kj::WaitScope &scope, const std::string &model, HeldVersion &held);
    bool verifyStaged(kj::WaitScope &scope, const std::string &model, const HeldVersion &held);
    void switchTo(kj::WaitScope &scope, const std::string &model, const HeldVersion &held);
    /// Waits for a status that was read after this call. Errors: kUnavailable when the engine does not answer.
    absl::StatusOr<EngineStatus> freshStatus(kj::WaitScope &scope) const;
    bool waitForTurn(kj::WaitScope &scope, const std::string &model, int64_t version);
    void letCallsEnd(kj::WaitScope &scope) const;
    std::optional<LibFleet::EngineSpec> engineSpec() const;
    int64_t versionToFetch(const LibFleet::EngineSpec &spec) const;
    AK::Milliseconds timeLeft(const std::string &model, int64_t version) const;
    SwarmView view() const;

    LibFiber::Loop &loop;
    Settings settings;
    const LibFleet::FleetState &fleet;
    EngineControl &engine;
    WeightsOrigin &origin;
    Fleet::PeerExchange &exchange;
    VersionStore store;
    std::optional<EngineStatus> status;
    AK::Milliseconds statusAt = 0;
    bool aboutToSwitch = false;
    /// When the fetch of a version began.
    std::map<int64_t, AK::Milliseconds> fetchBegan;
    LibLog::Logger logger{"agent"};
};

} // namespace WeightAgent
