#include <LibSettings/ConfigurationCheck.h>

#include <AK/Text.h>
#include <LibSettings/FindingList.h>
#include <LibSettings/RouteChoice.h>
#include <algorithm>
#include <regex>
#include <set>
#include <tuple>

namespace LibSettings
{

namespace
{

struct UpstreamCount {
    int all = 0;
    int inService = 0;
};

std::map<std::string, UpstreamCount> countByService(const SiteDocument &document)
{
    std::map<std::string, UpstreamCount> counts;
    for (const auto &[name, upstream] : document.upstreams) {
        UpstreamCount &count = counts[upstream.service];
        ++count.all;
        count.inService += upstreamInService(document, name) ? 1 : 0;
    }
    return counts;
}

void checkAccounts(const SiteDocument &document, std::vector<Finding> &findings)
{
    std::map<std::string, std::string> nameByKey;
    for (const auto &[name, account] : document.accounts) {
        const std::string path = fieldPath("accounts", name, "key_sha256");
        const auto [other, added] = nameByKey.emplace(account.keySha256, name);
        if (account.keySha256 == emptyKeySha256) {
            addWarning(findings, FindingKind::KeyEmpty, path, "is the SHA-256 of an empty text, so the account has no key");
        } else if (!added) {
            addWarning(findings, FindingKind::KeyShared, path,
                       AK::concat("is also the key of account \"", other->second, "\", to which all calls with this key are charged"));
        }
    }
}

// Names of agents and the service in an agent's settings must satisfy the schema of the settings of a process.
void checkNames(const SiteDocument &document, std::vector<Finding> &findings)
{
    const nlohmann::json properties = nlohmann::json::parse(processSettingsSchema()).at("properties");
    const std::string pattern = properties.at("name").at("pattern");
    const std::regex agentName(pattern);
    for (const auto &[name, upstream] : document.upstreams) {
        if (!std::regex_match(name, agentName)) {
            addWarning(findings, FindingKind::NameNeverMatches, fieldPath("upstreams", name), AK::concat("no agent can have this name, names match ", pattern));
        }
    }
    const size_t longest = properties.at("agent").at("properties").at("service").at("maxLength");
    for (const auto &[name, service] : document.services) {
        const auto length = static_cast<size_t>(std::count_if(name.begin(), name.end(), [](unsigned char byte) { return (byte & 0xc0U) != 0x80U; }));
        const bool callable = service.kind == UpstreamKind::Engine || std::all_of(name.begin(), name.end(), [](unsigned char byte) {
                                  return byte > 0x20 && byte < 0x7f && byte != '/' && byte != '?' && byte != '#';
                              });
        if (length == 0 || length > longest) {
            addWarning(findings, FindingKind::NameNeverMatches, fieldPath("services", name),
                       AK::concat("no agent can serve it, names of services have 1 to ", longest, " characters"));
        } else if (!callable) {
            addWarning(findings, FindingKind::NameNeverMatches, fieldPath("services", name), "the path of a call cannot contain this name as one segment");
        }
    }
}

void checkRoute(const std::string &path, const ServiceSpec &service, size_t index, std::vector<Finding> &findings)
{
    const Route &route = service.routes[index];
    if (!isPlainCallMethod(route.method)) {
        addWarning(findings, FindingKind::RouteNeverMatches, path, AK::concat("entries refuse ", route.method, " on plain services"));
        return;
    }
    if (isAmbiguousPath(route.path)) {
        addWarning(findings, FindingKind::RouteNeverMatches, path, AK::concat("entries refuse calls with the ambiguous path ", route.path));
        return;
    }
    if (routeFor(service, route.method, route.path) != &route) {
        addWarning(findings, FindingKind::RouteNeverMatches, path, "an earlier route has the same method and path and decides");
        return;
    }
    ServiceSpec others = service;
    others.routes.erase(others.routes.begin() + static_cast<std::ptrdiff_t>(index));
    const Route *wider = routeFor(others, route.method, route.path);
    if (wider != nullptr && wider->path != route.path && wider->repeatable == route.repeatable) {
        addWarning(findings, FindingKind::RouteWithoutEffect, path, AK::concat("the wider route ", wider->method, " ", wider->path, " decides the same"));
    }
}

void checkService(const std::string &name, const ServiceSpec &service, const UpstreamCount &upstreams, std::vector<Finding> &findings)
{
    const std::string path = fieldPath("services", name);
    if (upstreams.all == 0) {
        addWarning(findings, FindingKind::ServiceWithoutUpstream, path, "no upstream belongs to it, so all of its calls are refused");
    } else if (upstreams.inService == 0) {
        addWarning(findings, FindingKind::ServiceOutOfService, path, AK::concat("all of its upstreams (", upstreams.all, ") are out of service"));
    }
    if (service.kind == UpstreamKind::Plain) {
        for (size_t i = 0; i < service.routes.size(); ++i) {
            checkRoute(fieldPath("services", name, "routes", i), service, i, findings);
        }
        return;
    }
    if (service.previous && service.previous->root == service.target->root) {
        addWarning(findings, FindingKind::PreviousIsTarget, path + "/previous",
                   "has the root of the target, so there is no other version to serve or return to");
    }
    const double wave = service.rollout.waveShare * upstreams.all;
    // With a single upstream no share keeps the service available during a rollout.
    if (upstreams.all > 1 && wave < 1) {
        addWarning(findings, FindingKind::LimitsContradict, path + "/rollout/wave_share",
                   AK::concat(nlohmann::json(service.rollout.waveShare).dump(), " of ", upstreams.all,
                              " upstreams is less than one; one switches at a time, which exceeds the share"));
    }
    if (service.rollout.maxErrorShare >= 1) {
        addWarning(findings, FindingKind::LimitWithoutEffect, path + "/rollout/max_error_share", "1 never stops a rollout, because no greater share can fail");
    }
}

void checkVersions(const SiteDocument &document, std::vector<Finding> &findings)
{
    std::map<std::tuple<std::string, std::string, std::string>, std::pair<std::string, std::string>> rootAndPath;
    for (const auto &[name, service] : document.services) {
        for (const auto &[field, target] : {std::pair("target", &service.target), std::pair("previous", &service.previous)}) {
            if (!target->has_value()) {
                continue;
            }
            const WeightsTarget &weights = **target;
            const std::string path = fieldPath("services", name, field, "root");
            const auto [known, added] = rootAndPath.try_emplace({weights.model, weights.adapter, weights.version}, weights.root, path);
            if (!added && known->second.first != weights.root) {
                addWarning(findings, FindingKind::VersionWithTwoRoots, path,
                           AK::concat("version ", weights.version, " of ", weights.model, "/", weights.adapter, " has another root in ", known->second.second));
            }
        }
    }
}

// Reports a region instead of its failure domains when none of them has an upstream.
void checkFailureDomains(const SiteDocument &document, std::vector<Finding> &findings)
{
    std::set<std::string> usedDomains;
    std::set<std::string> usedRegions;
    for (const auto &[name, upstream] : document.upstreams) {
        usedDomains.insert(upstream.failureDomain);
        usedRegions.insert(document.failureDomains.at(upstream.failureDomain).region);
    }
    for (const auto &[name, domain] : document.failureDomains) {
        if (!usedRegions.contains(domain.region)) {
            addWarning(findings, FindingKind::RegionWithoutUpstream, fieldPath("failure_domains", name, "region"),
                       AK::concat("no upstream is in region \"", domain.region, "\", so calls that arrive there are served in another region"));
        } else if (!usedDomains.contains(name)) {
            addWarning(findings, FindingKind::DomainWithoutUpstream, fieldPath("failure_domains", name), "no upstream is in it");
        }
    }
}

std::vector<Finding> errorsOf(const std::vector<Violation> &violations)
{
    std::vector<Finding> findings;
    findings.reserve(violations.size());
    for (const Violation &violation : violations) {
        findings.push_back({FindingKind::Invalid, FindingSeverity::Error, violation.path, violation.reason});
    }
    return findings;
}

} // namespace

std::vector<Finding> checkSiteDocument(const SiteDocument &document, const nlohmann::json &json)
{
    std::vector<Finding> findings;
    checkAccounts(document, findings);
    checkNames(document, findings);
    std::map<std::string, UpstreamCount> upstreams = countByService(document);
    for (const auto &[name, service] : document.services) {
        checkService(name, service, upstreams[name], findings);
        const bool engine = service.kind == UpstreamKind::Engine;
        addUnusedFields(findings, json, fieldPath("services", name), std::array{engine ? "routes" : "rollout"},
                        engine ? "routes apply to plain services only" : "a plain service has no weights to roll out");
    }
    checkVersions(document, findings);
    checkFailureDomains(document, findings);
    return findings;
}

bool isProcessSettings(const nlohmann::json &json)
{
    return json.is_object() && json.contains("role");
}

std::vector<Finding> checkConfiguration(const nlohmann::json &json)
{
    std::vector<Finding> findings;
    if (isProcessSettings(json)) {
        ProcessSettings settings;
        findings = errorsOf(parseProcessSettings(json, settings));
        return findings.empty() ? checkProcessSettings(settings, json) : findings;
    }
    SiteDocument document;
    findings = errorsOf(parseSiteDocument(json, document));
    return findings.empty() ? checkSiteDocument(document, json) : findings;
}

} // namespace LibSettings
