#pragma once

#include <AK/Clock.h>
#include <LibSettings/ProcessSettings.h>
#include <absl/status/statusor.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace LibSettings
{

struct FailureDomain {
    std::string region;
    bool inService = true;
};

struct ClientAccount {
    /// SHA-256 of the account's bearer key, in hex.
    std::string keySha256;
    /// Share of an upstream relative to other accounts.
    uint32_t weight = 1;
    uint32_t priority = 0;
};

/// Exactly one set of weights. The root pins every byte of it.
struct WeightsTarget {
    std::string model;
    std::string adapter;
    std::string version;
    /// SHA-256 over the canonical chunk list of the manifest, in hex.
    std::string root;

    bool operator==(const WeightsTarget &) const = default;
};

struct RolloutPolicy {
    /// Share of a service's agents that may switch at once.
    double waveShare = 0.34;
    /// A wave in which a greater share of calls failed stops the later ones.
    double maxErrorShare = 0.05;
    bool paused = false;
};

/// Calls of a plain service by method and path prefix.
struct Route {
    std::string method;
    std::string path;
    /// False: runs at most once and needs an Idempotency-Key.
    bool repeatable = true;
};

struct ServiceSpec {
    UpstreamKind kind = UpstreamKind::Engine;
    std::optional<WeightsTarget> target;
    /// Weights that agents may still serve while the rollout of the target goes on.
    std::optional<WeightsTarget> previous;
    RolloutPolicy rollout;
    std::vector<Route> routes;
};

/// An upstream has the name of the agent on its host.
struct UpstreamSpec {
    std::string service;
    std::string failureDomain;
    bool inService = true;
};

/// What the operators of a site declare.
struct SiteDocument {
    std::string site;
    std::map<std::string, FailureDomain> failureDomains;
    std::map<std::string, ClientAccount> accounts;
    std::map<std::string, ServiceSpec> services;
    std::map<std::string, UpstreamSpec> upstreams;
    /// Ids of emergency restrictions that this revision records or withdraws.
    std::vector<std::string> settledRestrictions;
};

/// Checks and reads a site document. Errors: kInvalidArgument with the path of the field.
absl::StatusOr<SiteDocument> parseSiteDocument(const nlohmann::json &json);

/// Applies an overlay to a base (JSON Merge Patch, RFC 7396) and checks the result as parseSiteDocument().
/// Errors: kInvalidArgument, also when the overlay changes a host, failure domain or service that the base does not have without defining it in full.
absl::StatusOr<nlohmann::json> mergeOverlay(const nlohmann::json &base, const nlohmann::json &overlay);

/// Whether an upstream may receive new work by the document: it exists, it is in service and so is its failure domain.
bool upstreamInService(const SiteDocument &document, const std::string &upstream);

/// JSON Schema of the site document.
std::string_view siteDocumentSchema();

} // namespace LibSettings
