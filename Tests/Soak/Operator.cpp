#include "Operator.h"

#include <AK/Text.h>
#include <nlohmann/json.hpp>

namespace Soak
{

namespace
{

constexpr AK::Milliseconds plainLimit = 1'500;
constexpr AK::Milliseconds streamLimit = 4'000;

constexpr std::string_view kindOnWire(CallKind kind)
{
    return isStream(kind) ? "streaming" : kind == CallKind::Unsafe ? "unsafe" : "safe";
}

nlohmann::json routeOf(const std::string &prefix, CallKind kind, const std::string &service)
{
    return {{"name", prefix},       {"host", "soak.example"},
            {"pathPrefix", prefix}, {"kind", kindOnWire(kind)},
            {"service", service},   {"timeoutMs", Operator::limitOf(kind)},
            {"maxAttempts", 3},     {"targetLatencyMs", 400},
            {"gapTargetMs", 400},   {"resumable", kind == CallKind::ResumableStream}};
}

} // namespace

Operator::Operator(const AK::Clock &clock, History &history, FakeStore &store, uint64_t seed)
    : clock(clock)
    , history(history)
    , store(store)
    , random(seed)
{
    this->services.fill("plain-a");
    this->write();
}

std::string Operator::prefixOf(CallKind kind)
{
    return AK::concat("/", AK::nameOf(callKindNames, kind), "/");
}

std::string Operator::changingPrefix(int index)
{
    return AK::concat("/changing-", index, "/");
}

AK::Milliseconds Operator::limitOf(CallKind kind)
{
    return isStream(kind) ? streamLimit : plainLimit;
}

void Operator::setStoreAway(bool away)
{
    this->storeAway = away;
}

void Operator::change()
{
    if (this->storeAway) {
        return;
    }
    if (AK::uniformBelow(this->random, 8) == 0) {
        constexpr std::array<AK::Milliseconds, 3> timeouts{3'000, 6'000, 15'000};
        this->idleTimeout = timeouts[AK::uniformBelow(this->random, timeouts.size())];
    } else {
        constexpr std::array states{"", "plain-a", "plain-b"};
        std::string &service = this->services[AK::uniformBelow(this->random, changingRoutes)];
        const std::string before = service;
        while (service == before) {
            service = states[AK::uniformBelow(this->random, states.size())];
        }
    }
    this->write();
}

void Operator::repeat()
{
    this->store.put("config", "\"main\"", this->spec());
}

void Operator::write()
{
    this->version += 1 + static_cast<int64_t>(AK::uniformBelow(this->random, 9));
    ConfigurationVersion written{this->version, 0, {}};
    for (const auto &[kind, name] : callKindNames) {
        written.services[prefixOf(kind)] = isStream(kind) ? "streams" : "plain-a";
    }
    for (int i = 0; i < changingRoutes; ++i) {
        if (!this->services[static_cast<size_t>(i)].empty()) {
            written.services[changingPrefix(i)] = this->services[static_cast<size_t>(i)];
        }
    }
    this->store.put("config", "\"main\"", this->spec());
    written.acceptedAt = this->clock.now();
    this->history.configurations.push_back(std::move(written));
}

std::string Operator::spec() const
{
    nlohmann::json routes = nlohmann::json::array();
    for (const auto &[kind, name] : callKindNames) {
        routes.push_back(routeOf(prefixOf(kind), kind, isStream(kind) ? "streams" : "plain-a"));
    }
    for (int i = 0; i < changingRoutes; ++i) {
        if (!this->services[static_cast<size_t>(i)].empty()) {
            routes.push_back(routeOf(changingPrefix(i), CallKind::Safe, this->services[static_cast<size_t>(i)]));
        }
    }
    nlohmann::json known = nlohmann::json::array();
    for (const char *name : {"plain-a", "plain-b", "streams"}) {
        known.push_back({{"name", name}, {"healthPath", "/health"}, {"maxConns", 400}, {"coldStartS", 0.0}, {"coldPerS", 0.0}});
    }
    return nlohmann::json{{"version", this->version},
                          {"routes", routes},
                          {"services", known},
                          {"limits", {{"maxHeaderBytes", 16'384}, {"maxBodyBytes", 1 << 20}, {"headerTimeoutMs", 3'000}, {"idleTimeoutMs", this->idleTimeout}}},
                          {"tenants", {{{"name", "acc"}, {"apiKeys", {"key"}}, {"priority", 1}, {"allowedRegions", nlohmann::json::array()}}}}}
        .dump();
}

} // namespace Soak
