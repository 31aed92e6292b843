#pragma once

#include <AK/Clock.h>
#include <LibSettings/JsonSchema.h>
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
    /// Share of an upstream's capacity relative to other accounts.
    uint32_t weight = 1;
    uint32_t priority = 0;
};

/// Identifies one set of weights. `root` determines all of its bytes.
struct WeightsTarget {
    std::string model;
    std::string adapter;
    std::string version;
    /// SHA-256 over the canonical chunk list of the manifest, in hex.
    std::string root;

    bool operator==(const WeightsTarget &) const = default;
};

struct RolloutPolicy {
    /// Fraction of a service's agents that may switch at the same time.
    double waveShare = 0.34;
    /// When a greater fraction of calls fails during a wave, no further wave starts.
    double maxErrorShare = 0.05;
    bool paused = false;
};

/// Selects calls of a plain service by method and path prefix.
struct Route {
    std::string method;
    std::string path;
    /// False: a call runs at most once and needs an Idempotency-Key header.
    bool repeatable = true;
};

struct ServiceSpec {
    UpstreamKind kind = UpstreamKind::Engine;
    std::optional<WeightsTarget> target;
    /// Weights that agents may still serve while the rollout of the target is in progress.
    std::optional<WeightsTarget> previous;
    RolloutPolicy rollout;
    std::vector<Route> routes;
};

/// An upstream is named after the agent on its host.
struct UpstreamSpec {
    std::string service;
    std::string failureDomain;
    bool inService = true;
};

/// The declared configuration of a site, as submitted by its operators.
struct SiteDocument {
    std::string site;
    std::map<std::string, FailureDomain> failureDomains;
    std::map<std::string, ClientAccount> accounts;
    std::map<std::string, ServiceSpec> services;
    std::map<std::string, UpstreamSpec> upstreams;
    /// Ids of emergency restrictions that this revision replaces, either by recording their effect in the document or by lifting them.
    std::vector<std::string> settledRestrictions;
};

/// Validates and parses a site document. Errors: kInvalidArgument with the path of the invalid field.
absl::StatusOr<SiteDocument> parseSiteDocument(const nlohmann::json &json);

/// The same into an empty `document`. Returns every violation found; the document may be used only when there is none.
std::vector<Violation> parseSiteDocument(const nlohmann::json &json, SiteDocument &document);

/// Applies an overlay to a base (JSON Merge Patch, RFC 7396) and validates the result like parseSiteDocument().
/// Errors: kInvalidArgument when the result is invalid, or when the overlay names an upstream, failure domain or service that the base does not contain without
/// defining it in full.
absl::StatusOr<nlohmann::json> mergeOverlay(const nlohmann::json &base, const nlohmann::json &overlay);

/// Whether the document allows new work on an upstream: the upstream exists, and it and its failure domain are in service.
bool upstreamInService(const SiteDocument &document, const std::string &upstream);

/// JSON Schema of the site document.
std::string_view siteDocumentSchema();

} // namespace LibSettings
