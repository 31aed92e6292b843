#include <LibSettings/SiteDocument.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibSettings/JsonSchema.h>

namespace LibSettings
{

namespace
{

absl::Status invalid(const std::string &pointer, const std::string &reason)
{
    return absl::InvalidArgumentError(AK::concat("site document: ", pointer, ": ", reason));
}

std::optional<WeightsTarget> readTarget(const nlohmann::json &service, const char *key)
{
    const auto found = service.find(key);
    if (found == service.end()) {
        return std::nullopt;
    }
    return WeightsTarget{found->at("model"), found->at("adapter"), found->at("version"), found->at("root")};
}

ServiceSpec readService(const nlohmann::json &json)
{
    ServiceSpec service;
    service.kind = *AK::valueOf(upstreamKindNames, json.at("kind").get<std::string>());
    service.target = readTarget(json, "target");
    service.previous = readTarget(json, "previous");
    if (const auto rollout = json.find("rollout"); rollout != json.end()) {
        service.rollout.waveShare = rollout->value("wave_share", service.rollout.waveShare);
        service.rollout.maxErrorShare = rollout->value("max_error_share", service.rollout.maxErrorShare);
        service.rollout.paused = rollout->value("paused", service.rollout.paused);
    }
    if (const auto routes = json.find("routes"); routes != json.end()) {
        for (const nlohmann::json &route : *routes) {
            service.routes.push_back({route.at("method"), route.at("path"), route.at("repeatable")});
        }
    }
    return service;
}

void checkServices(const SiteDocument &document, std::vector<Violation> &violations)
{
    for (const auto &[name, service] : document.services) {
        const std::string pointer = AK::concat("/services/", name);
        if (service.kind == UpstreamKind::Engine && !service.target) {
            violations.push_back({AK::concat(pointer, "/target"), "is required when kind is \"engine\""});
        }
        if (service.kind == UpstreamKind::Plain && (service.target || service.previous)) {
            violations.push_back({pointer, "a plain service has no weights"});
        }
        if (service.kind == UpstreamKind::Plain && service.routes.empty()) {
            violations.push_back({AK::concat(pointer, "/routes"), "a plain service needs at least one route"});
        }
    }
}

void checkReferences(const SiteDocument &document, std::vector<Violation> &violations)
{
    for (const auto &[name, upstream] : document.upstreams) {
        const std::string pointer = AK::concat("/upstreams/", name);
        if (!document.services.contains(upstream.service)) {
            violations.push_back({AK::concat(pointer, "/service"), AK::concat("names unknown service \"", upstream.service, "\"")});
        }
        if (!document.failureDomains.contains(upstream.failureDomain)) {
            violations.push_back({AK::concat(pointer, "/failure_domain"), AK::concat("names unknown failure domain \"", upstream.failureDomain, "\"")});
        }
    }
}

} // namespace

std::vector<Violation> parseSiteDocument(const nlohmann::json &json, SiteDocument &document)
{
    std::vector<Violation> violations = violationsOf(json, siteDocumentSchema());
    if (!violations.empty()) {
        return violations;
    }
    document.site = json.at("site");
    for (const auto &[name, value] : json.at("failure_domains").items()) {
        document.failureDomains[name] = {value.at("region"), value.value("in_service", true)};
    }
    for (const auto &[name, value] : json.at("accounts").items()) {
        document.accounts[name] = {value.at("key_sha256"), value.value("weight", 1U), value.value("priority", 0U)};
    }
    for (const auto &[name, value] : json.at("services").items()) {
        document.services[name] = readService(value);
    }
    for (const auto &[name, value] : json.at("upstreams").items()) {
        document.upstreams[name] = {value.at("service"), value.at("failure_domain"), value.value("in_service", true)};
    }
    document.settledRestrictions = json.value("settled_restrictions", std::vector<std::string>());
    checkServices(document, violations);
    checkReferences(document, violations);
    return violations;
}

absl::StatusOr<SiteDocument> parseSiteDocument(const nlohmann::json &json)
{
    SiteDocument document;
    CATKINLINK_TRY(statusOf(parseSiteDocument(json, document), "site document"));
    return document;
}

absl::StatusOr<nlohmann::json> mergeOverlay(const nlohmann::json &base, const nlohmann::json &overlay)
{
    if (!base.is_object() || !overlay.is_object()) {
        return invalid("/", "base and overlay must be JSON objects");
    }
    nlohmann::json merged = base;
    merged.merge_patch(overlay);
    static constexpr std::array<std::pair<const char *, const char *>, 3> sections{{
        {"upstreams", "failure_domain"},
        {"failure_domains", "region"},
        {"services", "kind"},
    }};
    for (const auto &[section, requiredField] : sections) {
        if (!overlay.contains(section) || !overlay[section].is_object()) {
            continue;
        }
        for (const auto &[name, value] : overlay[section].items()) {
            const bool known = base.contains(section) && base[section].is_object() && base[section].contains(name);
            const bool defined = value.is_object() && value.contains(requiredField);
            if (!known && !defined) {
                return invalid(AK::concat("/", section, "/", name),
                               AK::concat("the overlay names it, but the base has no such entry and the overlay does not "
                                          "define it in full (\"",
                                          requiredField, "\" is missing)"));
            }
        }
    }
    CATKINLINK_TRY(parseSiteDocument(merged).status());
    return merged;
}

bool upstreamInService(const SiteDocument &document, const std::string &upstream)
{
    const auto found = document.upstreams.find(upstream);
    if (found == document.upstreams.end() || !found->second.inService) {
        return false;
    }
    const auto domain = document.failureDomains.find(found->second.failureDomain);
    return domain != document.failureDomains.end() && domain->second.inService;
}

} // namespace LibSettings
