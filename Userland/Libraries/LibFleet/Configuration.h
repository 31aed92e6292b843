#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace LibFleet
{

/// What may be repeated.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a client.
    AtMostOnce,
    /// Answers with an event stream; at most once unless resumable.
    Stream,
};

inline constexpr std::array routeKindNames{
    AK::EnumName{RouteKind::Idempotent, "idempotent"},
    AK::EnumName{RouteKind::AtMostOnce, "at_most_once"},
    AK::EnumName{RouteKind::Stream, "stream"},
};

struct ServiceShare {
    std::string service;
    double weight = 1;
};

struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Idempotent;
    /// Longest time that a call may be kept, in ms.
    AK::Milliseconds timeout = 0;
    /// Time to the response, or to the first event, that counts as on time, in ms.
    AK::Milliseconds targetLatency = 0;
    /// Longest pause between events that counts as on time, in ms.
    AK::Milliseconds gapTarget = 0;
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<ServiceShare> services;
    int maxAttempts = 1;
    /// Needs no key of a client account.
    bool isPublic = false;
    bool resumable = false;
    /// Empty: any region.
    std::vector<std::string> allowedRegions;

    /// Whether a call may be sent again after it may have run.
    bool repeatable() const
    {
        return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->resumable);
    }
};

/// Pace of a model engine as its operator states it.
struct EngineSpec {
    int slots = 0;
    /// ms of one token step.
    double stepMs = 0;
    /// ms added to a step for each sequence that is written.
    double perSequenceMs = 0;
    /// Prompt tokens read in a second.
    double prefillPerSecond = 0;
    /// Steps executed in a pass that has writers.
    int stride = 1;
    std::string model;
    /// Pieces that a version of the weights consists of.
    uint32_t chunks = 0;
    uint32_t chunkBytes = 0;
    int layers = 0;
};

struct ServiceSpec {
    std::string name;
    std::string healthPath;
    int maxConnections = 0;
    /// ms for which an upstream bears little after its start.
    AK::Milliseconds coldStart = 0;
    /// Calls a second that a cold upstream bears; 0 for no bound.
    double coldCallsPerSecond = 0;
    std::optional<EngineSpec> engine;
    /// Set for the service that hands out weights; it takes no calls.
    std::optional<AK::Endpoint> origin;
    std::string originFailureDomain;
    double originLinkMbps = 0;
};

struct ClientAccount {
    std::string name;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    std::vector<std::string> allowedRegions;
};

/// Bounds on what a client may send.
struct ClientLimits {
    size_t headBytes = 16384;
    uint64_t bodyBytes = 4UL << 20;
    AK::Milliseconds headTimeout = 3'000;
    AK::Milliseconds idleTimeout = 15'000;
};

/// A configuration in full, as the operator accepted it. Immutable once published.
struct Configuration {
    int64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceSpec> services;
    /// Accounts by key. Empty: calls carry no keys.
    std::map<std::string, std::shared_ptr<const ClientAccount>> accountsByKey;
    bool hasAccounts = false;
    ClientLimits limits;
};

/// Finds routes by host and longest path prefix.
class RouteTable
{
public:
    explicit RouteTable(const Configuration &configuration);

    /// The route, or nullptr. The pointer lives as long as the configuration.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<const Route *>, std::less<>> byHost;
};

} // namespace LibFleet
