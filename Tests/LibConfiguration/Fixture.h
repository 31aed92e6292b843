#pragma once

#include "StoreDouble.h"
#include <AK/Text.h>
#include <LibConfiguration/ConfigurationService.h>
#include <algorithm>
#include <unistd.h>

namespace Tests
{

/// A clock whose wall time is set by the test. Its monotonic time is that of the machine, so that timeouts elapse.
class SettableClock final : public AK::Clock
{
public:
    AK::Milliseconds now() const override
    {
        return this->system.now();
    }
    AK::Milliseconds wallTime() const override
    {
        return this->wall;
    }
    void sleep(AK::Milliseconds) const override
    {
    }

    std::atomic<AK::Milliseconds> wall{1'000'000'000};

private:
    AK::SystemClock system;
};

/// A membership whose members are set by the test.
class MembershipDouble final : public LibMembership::MembershipView
{
public:
    std::vector<LibMembership::Member> members() const override
    {
        const std::lock_guard lock(this->mutex);
        return this->memberList;
    }
    std::optional<LibMembership::Member> find(const std::string &) const override
    {
        return std::nullopt;
    }
    uint64_t changeCount() const override
    {
        return 0;
    }
    void updateSelf(const std::function<void(LibMembership::Member &)> &change) override
    {
        const std::lock_guard lock(this->mutex);
        change(this->memberList.front());
    }
    void reportUnreachable(const std::string &) override
    {
    }

    mutable std::mutex mutex;
    std::vector<LibMembership::Member> memberList{LibMembership::Member{}};
};

inline nlohmann::json siteDocument(bool firstInService = true, bool secondInService = true)
{
    return {{"site", "taller"},
            {"failure_domains", {{"lima", {{"region", "pe"}}}, {"cusco", {{"region", "pe"}}}}},
            {"accounts", nlohmann::json::object()},
            {"services", {{"ledger", {{"kind", "plain"}, {"routes", {{{"method", "GET"}, {"path", "/"}, {"repeatable", true}}}}}}}},
            {"upstreams",
             {{"a-1", {{"service", "ledger"}, {"failure_domain", "lima"}, {"in_service", firstInService}}},
              {"a-2", {{"service", "ledger"}, {"failure_domain", "cusco"}, {"in_service", secondInService}}}}}};
}

inline LibConfiguration::ApplyRequest changeRequest(const std::string &changeId, uint64_t expected, nlohmann::json document = siteDocument())
{
    return {std::move(document), expected, changeId, "rosa", "test"};
}

/// The configuration service and RPC server of one process, with a given store.
struct ConfigurationNode {
    ConfigurationNode(int host, StoreDouble &store, const AK::Clock &clock, std::vector<AK::Endpoint> seeds = {})
        : settings(makeSettings(host, std::move(seeds)))
        , identity{settings.name, std::make_shared<LibWire::KeyRing>(std::vector<LibWire::SharedKey>{{"k", "0123456789abcdef"}}, systemClock)}
    {
        this->membership.memberList.front().name = this->settings.name;
        this->service = std::make_unique<LibConfiguration::ConfigurationService>(this->settings, clock, store, this->membership, this->identity, this->metrics);
        LibWire::NodeHandlers handlers;
        handlers.revision = this->service.get();
        this->server = std::make_unique<LibWire::RpcServer>(this->settings.rpcAddress, this->identity.keys, handlers, 100);
    }
    ~ConfigurationNode()
    {
        this->server->stop();
        this->service->stop();
    }

    static LibSettings::ProcessSettings makeSettings(int host, std::vector<AK::Endpoint> seeds)
    {
        LibSettings::ProcessSettings settings;
        settings.name = AK::concat("p-", host);
        settings.site = "taller";
        settings.failureDomain = "lima";
        settings.rpcAddress = {AK::concat("127.", 100 + getpid() / 250 % 100, ".", getpid() % 250 + 1, ".", host), 7200};
        settings.seeds = std::move(seeds);
        settings.timing.gossipIntervalMs = 50;
        settings.timing.watchWaitMs = 100;
        return settings;
    }

    /// Waits up to 20 s for a revision of at least `minimum`; returns the number of the one in force, 0 when there is none.
    uint64_t waitForRevision(uint64_t minimum) const
    {
        auto seen = this->service->current();
        const AK::Milliseconds end = this->systemClock.now() + 20'000;
        while ((!seen || seen->revision.number < minimum) && this->systemClock.now() < end) {
            seen = this->service->waitForChange(seen, 1'000);
        }
        return seen ? seen->revision.number : 0;
    }

    AK::SystemClock systemClock;
    LibSettings::ProcessSettings settings;
    LibWire::RpcIdentity identity;
    MembershipDouble membership;
    LibMetrics::MetricRegistry metrics;
    std::unique_ptr<LibConfiguration::ConfigurationService> service;
    std::unique_ptr<LibWire::RpcServer> server;
};

} // namespace Tests
