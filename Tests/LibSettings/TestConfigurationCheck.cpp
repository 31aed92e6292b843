#include <LibSettings/ConfigurationCheck.h>
#include <LibSettings/JsonFile.h>
#include <gtest/gtest.h>
#include <set>

namespace
{

using LibSettings::Finding;
using LibSettings::FindingKind;

const std::string digest(64, 'a');
const std::string otherDigest(64, 'b');
const std::string emptyKey = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

nlohmann::json siteDocument()
{
    return *LibSettings::readJsonFile(EXAMPLE_FOLDER "/base.json");
}

nlohmann::json processSettings(const char *role, const char *kind)
{
    nlohmann::json settings{{"role", role},
                            {"name", "bench-1"},
                            {"site", "costilla-luz"},
                            {"region", "coast"},
                            {"failure_domain", "lima"},
                            {"http_address", "127.0.0.1:7100"},
                            {"rpc_address", "127.0.0.1:7200"},
                            {"object_api", "127.0.0.1:7300"},
                            {"keys", {{{"id", "a"}, {"secret", std::string(16, 's')}}}}};
    if (*kind != '\0') {
        settings["agent"] = {{"upstream_address", "127.0.0.1:7400"}, {"upstream_kind", kind}, {"service", "desk"}};
    }
    if (std::string_view(kind) == "engine") {
        settings["agent"]["weight_store"] = "127.0.0.1:7301";
    }
    return settings;
}

struct CheckCase {
    std::string name;
    nlohmann::json base;
    /// Merge patch.
    nlohmann::json change;
    /// The only finding; none when the path is empty.
    FindingKind kind;
    std::string path;
};

nlohmann::json services(const char *name, const nlohmann::json &service)
{
    return {{"services", {{name, service}}}};
}

// Adds a route behind those of the example, which are GET /stock and POST /shipments.
nlohmann::json withRoute(const char *method, const char *path, bool repeatable)
{
    nlohmann::json routes = siteDocument()["services"]["order-desk"]["routes"];
    routes.push_back({{"method", method}, {"path", path}, {"repeatable", repeatable}});
    return services("order-desk", {{"routes", routes}});
}

std::vector<CheckCase> cases()
{
    using Kind = FindingKind;
    const nlohmann::json site = siteDocument();
    const nlohmann::json entry = processSettings("entry", "");
    const nlohmann::json engine = processSettings("agent", "engine");
    const nlohmann::json plain = processSettings("agent", "plain");
    const nlohmann::json none = nlohmann::json::object();
    const nlohmann::json desk = site["services"]["order-desk"];
    nlohmann::json otherRoot = site["services"]["bench-assistant"]["target"];
    otherRoot["root"] = digest;
    const nlohmann::json target = site["services"]["bench-assistant"]["target"];
    const nlohmann::json north{{"service", "order-desk"}, {"failure_domain", "north"}};
    const auto named = [&](const char *service, const nlohmann::json &spec) {
        return nlohmann::json{{"services", {{service, spec}}}, {"upstreams", {{"desk-4", {{"service", service}, {"failure_domain", "north"}}}}}};
    };
    const auto operators = [](const std::string &second) {
        return nlohmann::json{{"operators", {{{"name", "rosa"}, {"key_sha256", digest}}, {{"name", "ana"}, {"key_sha256", second}}}}};
    };
    return {
        {"site", site, none, {}, ""},
        {"entry", entry, operators(otherDigest), {}, ""},
        {"engine_agent", engine, {{"entry", {{"body_limit_bytes", 2048}}}}, {}, ""},
        {"plain_agent", plain, none, {}, ""},
        {"schema", site, {{"accounts", {{"tests", {{"weight", "two"}}}}}}, Kind::Invalid, "/accounts/tests/weight"},
        {"account_without_key", site, {{"accounts", {{"new", {{"weight", 2}}}}}}, Kind::Invalid, "/accounts/new"},
        {"unknown_service", site, {{"upstreams", {{"desk-1", {{"service", "dsek"}}}}}}, Kind::Invalid, "/upstreams/desk-1/service"},
        {"wave_above_one", site, services("bench-assistant", {{"rollout", {{"wave_share", 1.5}}}}), Kind::Invalid,
         "/services/bench-assistant/rollout/wave_share"},
        {"call_limit", entry, {{"entry", {{"call_limit", 900}}}}, Kind::Invalid, "/entry/call_limit"},
        {"address", engine, {{"agent", {{"weight_store", "store"}}}}, Kind::Invalid, "/agent/weight_store"},
        {"shared_key", site, {{"accounts", {{"workshop", site["accounts"]["tests"]}}}}, Kind::KeyShared, "/accounts/workshop/key_sha256"},
        {"empty_key", site, {{"accounts", {{"tests", {{"key_sha256", emptyKey}}}}}}, Kind::KeyEmpty, "/accounts/tests/key_sha256"},
        {"agent_name", site, {{"upstreams", {{"Desk/2", north}}}}, Kind::NameNeverMatches, "/upstreams/Desk~12"},
        {"long_service", site, named(digest.c_str(), desk), Kind::NameNeverMatches, "/services/" + digest},
        {"service_with_slash", site, named("a/b", desk), Kind::NameNeverMatches, "/services/a~1b"},
        {"refused_method", site, withRoute("PUT", "/new", false), Kind::RouteNeverMatches, "/services/order-desk/routes/2"},
        {"ambiguous_path", site, withRoute("GET", "/a/../b", true), Kind::RouteNeverMatches, "/services/order-desk/routes/2"},
        {"repeated_route", site, withRoute("POST", "/shipments", true), Kind::RouteNeverMatches, "/services/order-desk/routes/2"},
        {"narrower_route", site, withRoute("GET", "/stock/new", true), Kind::RouteWithoutEffect, "/services/order-desk/routes/2"},
        {"narrower_route_differs", site, withRoute("GET", "/stock/new", false), {}, ""},
        {"routes_of_engine", site, services("bench-assistant", {{"routes", desk["routes"]}}), Kind::FieldUnused, "/services/bench-assistant/routes"},
        {"rollout_of_plain", site, services("order-desk", {{"rollout", {{"paused", true}}}}), Kind::FieldUnused, "/services/order-desk/rollout"},
        {"no_upstream", site, services("new", desk), Kind::ServiceWithoutUpstream, "/services/new"},
        {"out_of_service", site, {{"upstreams", {{"ledger-1", {{"in_service", false}}}}}}, Kind::ServiceOutOfService, "/services/ledger-room"},
        {"empty_domain", site, {{"failure_domains", {{"ica", {{"region", "coast"}}}}}}, Kind::DomainWithoutUpstream, "/failure_domains/ica"},
        {"empty_region", site, {{"failure_domains", {{"ica", {{"region", "south"}}}}}}, Kind::RegionWithoutUpstream, "/failure_domains/ica/region"},
        {"same_root", site, services("bench-assistant", {{"previous", target}}), Kind::PreviousIsTarget, "/services/bench-assistant/previous"},
        {"two_roots", site, services("bench-assistant", {{"previous", otherRoot}}), Kind::VersionWithTwoRoots, "/services/bench-assistant/previous/root"},
        {"small_wave", site, services("bench-assistant", {{"rollout", {{"wave_share", 0.05}}}}), Kind::LimitsContradict,
         "/services/bench-assistant/rollout/wave_share"},
        {"never_stops", site, services("bench-assistant", {{"rollout", {{"max_error_share", 1}}}}), Kind::LimitWithoutEffect,
         "/services/bench-assistant/rollout/max_error_share"},
        {"key_id", entry, {{"keys", {entry["keys"][0], entry["keys"][0]}}}, Kind::KeyIdRepeated, "/keys/1/id"},
        {"operator_key", entry, operators(digest), Kind::KeyShared, "/operators/1/key_sha256"},
        {"operator_without_key", entry, operators(emptyKey), Kind::KeyEmpty, "/operators/1/key_sha256"},
        {"status_age", entry, {{"timing", {{"status_poll_ms", 2000}}}}, Kind::LimitsContradict, "/timing/status_max_age_ms"},
        {"suspects", entry, {{"timing", {{"suspect_timeout_ms", 999}}}}, Kind::LimitsContradict, "/timing/suspect_timeout_ms"},
        {"claims", entry, {{"timing", {{"store_timeout_ms", 3000}}}}, Kind::LimitsContradict, "/entry/claim_dispatch_window_ms"},
        {"agent_of_entry", entry, {{"agent", plain["agent"]}}, Kind::FieldUnused, "/agent"},
        {"entry_of_agent", plain, {{"entry", {{"call_limit", 9}}}}, Kind::FieldUnused, "/entry/call_limit"},
        {"operators_of_agent", plain, operators(otherDigest), Kind::FieldUnused, "/operators"},
        {"cold_slots", plain, {{"agent", {{"cold_slots", 17}}}}, Kind::LimitsContradict, "/agent/capacity"},
        {"weights_of_plain", plain, {{"agent", {{"weight_buffer_bytes", 65536}}}}, Kind::FieldUnused, "/agent/weight_buffer_bytes"},
        {"chunk_maps", engine, {{"agent", {{"chunk_map_interval_ms", 1500}}}}, Kind::LimitsContradict, "/agent/designated_timeout_ms"},
    };
}

class ConfigurationCheckTest : public testing::TestWithParam<CheckCase>
{
};

// Guards against a fault that is not found or has the wrong kind or path, and against a finding in settings that are right.
TEST_P(ConfigurationCheckTest, FindsTheChange)
{
    nlohmann::json json = GetParam().base;
    json.merge_patch(GetParam().change);
    const std::vector<Finding> findings = LibSettings::checkConfiguration(json);
    ASSERT_EQ(findings.size(), GetParam().path.empty() ? 0U : 1U) << (findings.empty() ? "nothing found" : findings[0].path + ": " + findings[0].message);
    for (const Finding &finding : findings) {
        EXPECT_EQ(finding.kind, GetParam().kind) << AK::nameOf(LibSettings::findingKindNames, finding.kind);
        EXPECT_EQ(finding.path, GetParam().path) << finding.message;
        EXPECT_EQ(finding.severity, finding.kind == FindingKind::Invalid ? LibSettings::FindingSeverity::Error : LibSettings::FindingSeverity::Warning);
    }
}

INSTANTIATE_TEST_SUITE_P(Table, ConfigurationCheckTest, testing::ValuesIn(cases()), [](const auto &info) { return info.param.name; });

// Guards against a kind without a case in the table.
TEST(ConfigurationCheck, EveryKindHasACase)
{
    std::set<FindingKind> kinds;
    for (const CheckCase &row : cases()) {
        kinds.insert(row.path.empty() ? FindingKind::Invalid : row.kind);
    }
    EXPECT_EQ(kinds.size(), LibSettings::findingKindNames.size());
}

} // namespace
