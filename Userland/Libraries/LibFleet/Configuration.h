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

/// Which retries the calls of a route allow.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of a client.
    AtMostOnce,
    /// Answers with an event stream; runs at most once unless the route is resumable.
    Stream,
};

inline constexpr std::array routeKindNames{
    AK::EnumName{RouteKind::Idempotent, "idempotent"},
    AK::EnumName{RouteKind::AtMostOnce, "at_most_once"},
    AK::EnumName{RouteKind::Stream, "stream"},
};

/// A service of a route and its share of the calls, relative to the weights of the route's other services.
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
    /// Longest time that a call may take, in ms; 0 for no limit.
    AK::Milliseconds timeout = 0;
    /// Time to the response, or to the first event, that counts as on time, in ms.
    AK::Milliseconds targetLatency = 0;
    /// Longest pause between events that counts as on time, in ms.
    AK::Milliseconds gapTarget = 0;
    /// Clients leave a stream that shows no event for this long, also before its first, in ms; 0 if unknown.
    AK::Milliseconds clientGapLimit = 0;
    /// 0 is the most urgent.
    int priority = 0;
    std::vector<ServiceShare> services;
    int maxAttempts = 1;
    /// Calls need no key of a client account.
    bool isPublic = false;
    /// A stream that was cut may be sent again to another upstream.
    bool resumable = false;
    /// Empty: any region.
    std::vector<std::string> allowedRegions;

    /// Whether a call may be sent again although an earlier attempt may have run.
    bool repeatable() const
    {
        return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Stream && this->resumable);
    }
};

/// Capacity and speed of a model engine as its operator states them.
struct EngineSpec {
    /// Sequences that run at the same time.
    int slots = 0;
    /// Duration of one decoding step, in ms.
    double stepMs = 0;
    /// Time that each sequence being generated adds to a step, in ms.
    double perSequenceMs = 0;
    /// Prompt tokens processed per second.
    double prefillPerSecond = 0;
    /// Decoding steps in a pass of the engine that generates tokens.
    int stride = 1;
    std::string model;
    /// Number of chunks in a version of the weights.
    uint32_t chunks = 0;
    uint32_t chunkBytes = 0;
    int layers = 0;
};

struct ServiceSpec {
    std::string name;
    std::string healthPath;
    int maxConnections = 0;
    /// Time after its start in which an upstream has reduced capacity, in ms.
    AK::Milliseconds coldStart = 0;
    /// Most calls per second to an upstream during the cold start; 0 for no limit.
    double coldCallsPerSecond = 0;
    std::optional<EngineSpec> engine;
    /// Address of the origin; set only for the service that serves the weights, which takes no calls.
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

/// Limits on what a client may send.
struct ClientLimits {
    size_t headBytes = 16384;
    uint64_t bodyBytes = 4UL << 20;
    AK::Milliseconds headTimeout = 3'000;
    AK::Milliseconds idleTimeout = 15'000;
};

/// A complete configuration as the operator accepted it. Immutable once published.
struct Configuration {
    int64_t version = 0;
    std::vector<Route> routes;
    std::map<std::string, ServiceSpec> services;
    /// Accounts by API key. Calls need a key only when the configuration names accounts.
    std::map<std::string, std::shared_ptr<const ClientAccount>> accountsByKey;
    bool hasAccounts = false;
    ClientLimits limits;
};

/// The service that a request on a route goes to, by the weights of its services. The same for all sends of the request. The route must have a service.
const std::string &serviceFor(const Route &route, const std::string &requestId);

/// Finds routes by host and longest path prefix.
class RouteTable
{
public:
    explicit RouteTable(const Configuration &configuration);

    /// Returns the route with the longest matching prefix, or nullptr. The pointer is valid as long as the configuration.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    std::map<std::string, std::vector<const Route *>, std::less<>> byHost;
};

} // namespace LibFleet
