#include "Composition.h"

#include <AK/StatusMacros.h>
#include <Addresses/AddressService.h>
#include <Agent/CallService.h>
#include <Entry/EntryService.h>
#include <Http/HttpFrontService.h>
#include <LibConfiguration/ConfigurationService.h>
#include <LibMembership/MembershipService.h>
#include <LibOnce/ClaimRunner.h>
#include <LibWeights/WeightsService.h>
#include <LibWire/RpcServer.h>
#include <Operator/OperatorService.h>
#include <cstdlib>

namespace
{

// Entries accept gossip connections from agents and other entries. Agents also need a connection for each call in flight and for each neighbour.
constexpr size_t entryRpcConnections = 256;
constexpr size_t agentRpcConnectionsBesidesCalls = 256;

std::vector<LibWire::SharedKey> sharedKeys(const LibSettings::ProcessSettings &settings)
{
    std::vector<LibWire::SharedKey> keys;
    for (const LibSettings::KeySetting &key : settings.keys) {
        keys.push_back({key.id, key.secret});
    }
    return keys;
}

} // namespace

Composition::Composition(LibSettings::ProcessSettings settings, const AK::Clock &clock)
    : settings(std::move(settings))
    , clock(clock)
    , store(this->settings.objectApi)
    , identity{this->settings.name, std::make_shared<LibWire::KeyRing>(sharedKeys(this->settings), clock), std::make_shared<LibWire::TrafficCounter>()}
{
}

Kernel::ServiceRegistry &Composition::services()
{
    return this->registry;
}

template <typename Type>
Type &Composition::require(std::string_view name)
{
    Type *service = this->registry.find<Type>(name);
    if (service == nullptr) {
        // A programming error: the services below are added in the wrong order.
        std::abort();
    }
    return *service;
}

absl::Status Composition::addSharedServices()
{
    CATKINLINK_TRY(
        this->registry.add(std::make_unique<LibMembership::MembershipService>(this->settings, this->clock, this->identity, this->store, this->metrics)));
    auto &membership = this->require<LibMembership::MembershipService>("membership");
    CATKINLINK_TRY(this->registry.add(
        std::make_unique<LibConfiguration::ConfigurationService>(this->settings, this->clock, this->store, membership, this->identity, this->metrics)));
    membership.setObserver(&this->require<LibConfiguration::ConfigurationService>("configuration"));
    return absl::OkStatus();
}

absl::Status Composition::addAgentServices()
{
    auto &membership = this->require<LibMembership::MembershipService>("membership");
    auto &configuration = this->require<LibConfiguration::ConfigurationService>("configuration");
    CATKINLINK_TRY(
        this->registry.add(std::make_unique<Agent::CallService>(this->settings, this->clock, configuration, membership, this->engineState, this->metrics)));
    auto &calls = this->require<Agent::CallService>("calls");
    LibWire::NodeHandlers handlers{&membership, &configuration, &calls, nullptr};
    std::vector<LibHttp::RequestHandler *> requestHandlers;
    if (this->settings.agent.upstreamKind == LibSettings::UpstreamKind::Engine) {
        CATKINLINK_TRY(this->registry.add(std::make_unique<LibWeights::WeightsService>(this->settings, this->clock, configuration, membership,
                                                                                       this->engineState, calls, this->identity, this->metrics)));
        auto &weights = this->require<LibWeights::WeightsService>("weights");
        handlers.chunk = &weights;
        requestHandlers.push_back(&weights);
    }
    const size_t connections = agentRpcConnectionsBesidesCalls + static_cast<size_t>(this->settings.agent.capacity + this->settings.agent.queueLimit);
    CATKINLINK_TRY(this->registry.add(
        std::make_unique<LibWire::RpcServer>(this->settings.rpcAddress, this->identity.keys, handlers, connections, this->identity.traffic)));
    return this->registry.add(std::make_unique<Http::HttpFrontService>(this->settings, this->clock, configuration, this->metrics, requestHandlers,
                                                                       [this] { this->refreshMetrics(); }));
}

absl::Status Composition::addEntryServices()
{
    auto &membership = this->require<LibMembership::MembershipService>("membership");
    auto &configuration = this->require<LibConfiguration::ConfigurationService>("configuration");
    CATKINLINK_TRY(this->registry.add(std::make_unique<LibOnce::ClaimRunner>(this->settings, this->clock, this->store, this->metrics)));
    auto &once = this->require<LibOnce::ClaimRunner>("once");
    const LibWire::NodeHandlers handlers{&membership, &configuration, nullptr, nullptr};
    CATKINLINK_TRY(this->registry.add(
        std::make_unique<LibWire::RpcServer>(this->settings.rpcAddress, this->identity.keys, handlers, entryRpcConnections, this->identity.traffic)));
    CATKINLINK_TRY(
        this->registry.add(std::make_unique<Entry::EntryService>(this->settings, this->clock, configuration, membership, once, this->identity, this->metrics)));
    CATKINLINK_TRY(this->registry.add(std::make_unique<Addresses::AddressService>(this->settings, this->clock, configuration, membership)));
    CATKINLINK_TRY(
        this->registry.add(std::make_unique<Operator::OperatorService>(this->settings, this->clock, configuration, membership, this->store, this->metrics)));
    const std::vector<LibHttp::RequestHandler *> requestHandlers{&this->require<Addresses::AddressService>("addresses"),
                                                                 &this->require<Operator::OperatorService>("operator"),
                                                                 &this->require<Entry::EntryService>("entry")};
    return this->registry.add(std::make_unique<Http::HttpFrontService>(this->settings, this->clock, configuration, this->metrics, requestHandlers,
                                                                       [this] { this->refreshMetrics(); }));
}

absl::Status Composition::build()
{
    CATKINLINK_TRY(this->addSharedServices());
    return this->settings.role == LibSettings::ProcessRole::Entry ? this->addEntryServices() : this->addAgentServices();
}

void Composition::announceLeaving()
{
    this->require<LibMembership::MembershipService>("membership").announceLeaving();
}

void Composition::refreshMetrics()
{
    const auto configuration = this->require<LibConfiguration::ConfigurationService>("configuration").current();
    this->metrics.set("catkinlink_configuration_revision", {}, configuration ? static_cast<double>(configuration->revision.number) : 0);
    this->metrics.set("catkinlink_store_calls_total", {}, static_cast<double>(this->store.callCount()));
    this->metrics.set("catkinlink_logins_refused_total", {}, static_cast<double>(this->require<LibWire::RpcServer>("rpc").refusedLogins()));
    this->metrics.set("catkinlink_rpc_bytes_total", {}, static_cast<double>(this->identity.traffic->bytes()));
    int alive = 0;
    for (const LibMembership::Member &member : this->require<LibMembership::MembershipService>("membership").members()) {
        alive += member.status == LibMembership::MemberStatus::Alive ? 1 : 0;
    }
    this->metrics.set("catkinlink_members_alive", {}, alive);
}
