#pragma once

#include <Gateway/Dispatcher.h>
#include <LibPeers/PeerServer.h>

#include <Loopback/ProcessHost.h>
#include <kj/debug.h>

inline constexpr double prefillPerSecond = 19'100;
// Tokens; two such prompts exceed the prefill backlog that an engine may have.
inline constexpr int64_t longPrompt = 1'300;
inline constexpr AK::Milliseconds shortWait = 300;

class EmptyPeerHandler final : public LibPeers::PeerHandler
{
public:
    LibPeers::NodeState exchange(const LibPeers::NodeState & /*from*/) override
    {
        return {};
    }
    LibFleet::ObjectPage objects(LibFleet::ObjectKind /*kind*/, LibFleet::StorePosition /*newerThan*/, bool /*agentPart*/) override
    {
        return {};
    }
};

inline LibFleet::UpstreamRecord engineRecord(const std::string &id, const std::string &failureDomain, uint16_t port)
{
    LibFleet::UpstreamRecord record;
    record.id = id;
    record.service = "s";
    record.address = {"10.0.0.1", port};
    record.failureDomain = failureDomain;
    record.slots = 4;
    record.weightsVersion = 1;
    record.isEngine = true;
    return record;
}

inline Gateway::DispatchSettings settingsOf(const std::string &name, const std::string &region, bool competition = false)
{
    Gateway::DispatchSettings settings;
    settings.competition = competition;
    settings.upstreams.name = name;
    settings.upstreams.region = region;
    return settings;
}

/// Two entries in two regions, each with one engine in its failure domain; the second entry serves slot requests on loopback.
class SlotSite
{
public:
    explicit SlotSite(double coldCallsPerSecond = 0, bool competition = false)
        : fleet(loop.clock())
        , firstClient(loop, fleet)
        , secondClient(loop, fleet)
        , first(loop, fleet, settingsOf("e1", "lima", competition), &firstClient)
        , second(loop, fleet, settingsOf("e2", "cusco", competition), &secondClient)
        , server(kj::heap<LibPeers::PeerServer>(loop, handler, nullptr, &second))
    {
        // Above the ports of GatewaySite.
        static uint16_t port = 18'400;
        const AK::Endpoint address{Loopback::processHost(), ++port};
        KJ_ASSERT(this->server->listen(address).ok());
        LibFleet::Configuration configuration;
        configuration.version = 1;
        LibFleet::ServiceSpec service;
        service.name = "s";
        service.coldCallsPerSecond = coldCallsPerSecond;
        service.engine = LibFleet::EngineSpec{};
        service.engine->prefillPerSecond = prefillPerSecond;
        service.engine->model = "m";
        configuration.services["s"] = service;
        this->fleet.setConfiguration(configuration);
        this->fleet.setUpstreams({{"i-1", engineRecord("i-1", "lima-1", 1)}, {"i-2", engineRecord("i-2", "cusco-1", 2)}});
        this->fleet.setEntries({{"e1", {"e1", {Loopback::processHost(), 1}, {}, "lima", "lima-1"}}, {"e2", {"e2", address, {}, "cusco", "cusco-1"}}});
        for (Gateway::Dispatcher *dispatcher : {&this->first, &this->second}) {
            dispatcher->setRegions({{"lima-1", "lima"}, {"cusco-1", "cusco"}});
            dispatcher->setEntries({{"e1", "lima-1"}, {"e2", "cusco-1"}});
        }
    }

    Gateway::CallRequirements requirements(int64_t promptTokens = longPrompt) const
    {
        Gateway::CallRequirements requirements;
        requirements.service = "s";
        requirements.promptTokens = promptTokens;
        requirements.arrivedAt = this->loop.clock().now();
        requirements.startBy = requirements.arrivedAt + shortWait;
        return requirements;
    }

    kj::Maybe<kj::Own<Gateway::Grant>> acquire(Gateway::Dispatcher &dispatcher, const Gateway::CallRequirements &requirements)
    {
        Gateway::GrantOrRefusal result = dispatcher.acquire(this->loop.rootScope(), requirements);
        return kj::mv(result.grant);
    }

    kj::Own<Gateway::Grant> hold(Gateway::Dispatcher &dispatcher)
    {
        kj::Maybe<kj::Own<Gateway::Grant>> grant = this->acquire(dispatcher, this->requirements());
        return kj::mv(KJ_ASSERT_NONNULL(grant));
    }

    LibFiber::Loop loop;
    LibFleet::FleetState fleet;
    Gateway::SlotClient firstClient;
    Gateway::SlotClient secondClient;
    Gateway::Dispatcher first;
    Gateway::Dispatcher second;
    EmptyPeerHandler handler;
    kj::Own<LibPeers::PeerServer> server;
    LibFiber::SpawnedFibersGuard fibersGuard{this->loop};
};

/// Id of the upstream of a grant; empty without one.
inline std::string upstreamOf(const kj::Maybe<kj::Own<Gateway::Grant>> &grant)
{
    KJ_IF_MAYBE (held, grant) {
        return (*held)->upstream().id;
    }
    return "";
}
