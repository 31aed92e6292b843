#include "PageRunner.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibSettings/ProcessSettings.h>
#include <LibSettings/SiteDocument.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <regex>
#include <set>

namespace
{

const std::string sourceFolder = CATKINLINK_SOURCE;

std::string textOf(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// The rows of all tables of a page, by the text in backquotes in their first cell. Cells are trimmed.
std::map<std::string, std::vector<std::string>> rowsOf(const std::string &page)
{
    std::map<std::string, std::vector<std::string>> rows;
    for (const std::string &line : OperatorPages::splitLines(textOf(AK::concat(sourceFolder, "/docs/operators/", page)))) {
        if (!line.starts_with("| `")) {
            continue;
        }
        std::vector<std::string> cells;
        size_t at = 2;
        for (size_t end = line.find(" |", at); end != std::string::npos; end = line.find(" |", at)) {
            cells.push_back(line.substr(at, end - at));
            at = end + 3;
        }
        const std::string name = cells.front().substr(1, cells.front().rfind('`') - 1);
        EXPECT_TRUE(rows.emplace(name, cells).second) << page << " has " << name << " twice";
    }
    return rows;
}

using Fields = std::map<std::string, nlohmann::json>;

// Collects every field that a schema allows, by path; `*` stands for a name that the operator chooses, `[]` for an item of a list.
void collectFields(const nlohmann::json &root, nlohmann::json schema, const std::string &path, Fields &fields)
{
    if (schema.contains("$ref")) {
        schema = root.at(nlohmann::json::json_pointer(schema["$ref"].get<std::string>().substr(1)));
    }
    if (!path.empty()) {
        fields[path] = schema;
    }
    const nlohmann::json properties = schema.value("properties", nlohmann::json::object());
    for (const auto &[key, value] : properties.items()) {
        collectFields(root, value, AK::concat(path, "/", key), fields);
    }
    if (schema.contains("additionalProperties") && schema["additionalProperties"].is_object()) {
        collectFields(root, schema["additionalProperties"], path + "/*", fields);
    }
    if (schema.contains("items")) {
        collectFields(root, schema["items"], path + "/[]", fields);
    }
}

Fields fieldsOf(std::string_view schemaText)
{
    const nlohmann::json schema = nlohmann::json::parse(schemaText);
    Fields fields;
    collectFields(schema, schema, "", fields);
    return fields;
}

std::string typeText(const nlohmann::json &schema)
{
    return schema.contains("enum") ? "enum" : schema.value("type", "");
}

// The bounds of a field in the notation of the page.
std::string boundsText(const nlohmann::json &schema)
{
    const auto range = [&](const char *low, const char *high, const std::string &unit) {
        const std::string lowest = schema.contains(low) ? schema[low].dump() : "";
        const std::string highest = schema.contains(high) ? schema[high].dump() : "";
        return lowest.empty() && highest.empty() ? ""
            : lowest.empty()                     ? "up to " + highest + unit
            : highest.empty()                    ? "from " + lowest + unit
                                                 : lowest + " to " + highest + unit;
    };
    if (schema.contains("enum")) {
        std::string names;
        for (const nlohmann::json &name : schema["enum"]) {
            names += (names.empty() ? "" : ", ") + name.get<std::string>();
        }
        return names;
    }
    if (schema.contains("pattern")) {
        return "`" + schema["pattern"].get<std::string>() + "`";
    }
    const std::string numbers = range("minimum", "maximum", "");
    const std::string lengths = range("minLength", "maxLength", " characters");
    const std::string items = range("minItems", "maxItems", " items");
    const std::string all = numbers + lengths + items + range("minProperties", "maxProperties", " names");
    return all.empty() ? "-" : all;
}

// Guards against a field that is missing on the page or in the schemas, and against a type or bounds that differ between them.
TEST(OperatorReferences, SettingsPageHasEveryFieldOfTheSchemas)
{
    const auto rows = rowsOf("settings.md");
    Fields fields;
    for (const auto &[prefix, schema] : {std::pair{"process", LibSettings::processSettingsSchema()}, std::pair{"site", LibSettings::siteDocumentSchema()}}) {
        for (const auto &[path, field] : fieldsOf(schema)) {
            fields[prefix + path] = field;
        }
    }
    for (const auto &[path, field] : fields) {
        const auto row = rows.find(path);
        if (row == rows.end()) {
            ADD_FAILURE() << "settings.md lacks: | `" << path << "` | " << typeText(field) << " | UNIT | DEFAULT | " << boundsText(field) << " | MEANING |";
            continue;
        }
        ASSERT_EQ(row->second.size(), 6U) << path;
        EXPECT_EQ(row->second[1], typeText(field)) << path;
        EXPECT_EQ(row->second[4], boundsText(field)) << path;
    }
    for (const auto &[path, row] : rows) {
        EXPECT_TRUE(fields.contains(path)) << "settings.md has " << path << ", which is in no schema";
    }
}

// Guards against a default on the page that differs from the one in the program. The table holds every optional number in the settings of a process.
TEST(OperatorReferences, SettingsPageHasTheDefaultsOfTheProgram)
{
    const LibSettings::TimingSettings timing;
    const LibSettings::EntrySettings entry;
    const LibSettings::AgentSettings agent;
    const std::map<std::string, int64_t> defaults{
        {"process/timing/gossip_interval_ms", timing.gossipIntervalMs},
        {"process/timing/suspect_timeout_ms", timing.suspectTimeoutMs},
        {"process/timing/rpc_timeout_ms", timing.rpcTimeoutMs},
        {"process/timing/store_timeout_ms", timing.storeTimeoutMs},
        {"process/timing/watch_wait_ms", timing.watchWaitMs},
        {"process/timing/host_list_interval_ms", timing.hostListIntervalMs},
        {"process/timing/status_poll_ms", timing.statusPollMs},
        {"process/timing/status_max_age_ms", timing.statusMaxAgeMs},
        {"process/entry/call_threads", entry.callThreads},
        {"process/entry/call_limit", entry.callLimit},
        {"process/entry/address_ttl_ms", entry.addressTtlMs},
        {"process/entry/propagation_ms", entry.propagationMs},
        {"process/entry/default_deadline_ms", entry.defaultDeadlineMs},
        {"process/entry/claims_per_second", entry.claimsPerSecond},
        {"process/entry/claim_dispatch_window_ms", entry.claimDispatchWindowMs},
        {"process/entry/body_limit_bytes", static_cast<int64_t>(entry.bodyLimitBytes)},
        {"process/agent/weight_buffer_bytes", static_cast<int64_t>(agent.weightBufferBytes)},
        {"process/agent/weights_bytes_per_s", agent.weightsBytesPerSecond},
        {"process/agent/weights_percent_under_load", agent.weightsPercentUnderLoad},
        {"process/agent/capacity", agent.capacity},
        {"process/agent/cold_slots", agent.coldSlots},
        {"process/agent/ramp_step_ms", agent.rampStepMs},
        {"process/agent/queue_limit", agent.queueLimit},
        {"process/agent/designated_timeout_ms", agent.designatedTimeoutMs},
        {"process/agent/chunk_map_interval_ms", agent.chunkMapIntervalMs},
    };
    const auto rows = rowsOf("settings.md");
    for (const auto &[path, field] : fieldsOf(LibSettings::processSettingsSchema())) {
        const std::string name = "process" + path;
        if (field.value("type", "") != "integer" || !rows.contains(name)) {
            continue;
        }
        ASSERT_TRUE(defaults.contains(name)) << "this test lacks the default of " << name;
        EXPECT_EQ(rows.at(name)[3], std::to_string(defaults.at(name))) << name;
    }
    const LibSettings::RolloutPolicy rollout;
    EXPECT_EQ(rows.at("site/services/*/rollout/wave_share")[3], nlohmann::json(rollout.waveShare).dump());
    EXPECT_EQ(rows.at("site/services/*/rollout/max_error_share")[3], nlohmann::json(rollout.maxErrorShare).dump());
    EXPECT_EQ(rows.at("site/accounts/*/weight")[3], std::to_string(LibSettings::ClientAccount{}.weight));
    EXPECT_EQ(rows.at("site/accounts/*/priority")[3], std::to_string(LibSettings::ClientAccount{}.priority));
}

/// The texts that the groups of an expression match in the sources of the programs.
std::set<std::string> namesInSources(const std::regex &expression)
{
    std::set<std::string> names;
    for (const char *folder : {"/Userland", "/platform"}) {
        for (const auto &item : std::filesystem::recursive_directory_iterator(sourceFolder + folder)) {
            if (item.path().extension() != ".cpp") {
                continue;
            }
            const std::string text = textOf(item.path().string());
            for (std::sregex_iterator match(text.begin(), text.end(), expression), end; match != end; ++match) {
                for (size_t group = 1; group < match->size(); ++group) {
                    if ((*match)[group].matched) {
                        names.insert((*match)[group]);
                    }
                }
            }
        }
    }
    return names;
}

/// Names of the metrics of a process; a summary counts once, without its suffixes.
std::set<std::string> scrape(const AK::Endpoint &address)
{
    std::set<std::string> names;
    const auto response = LibHttp::httpCall(address, {.path = "/metrics"}, 5'000);
    EXPECT_TRUE(response.ok()) << response.status();
    const std::vector<std::string> lines = OperatorPages::splitLines(response.ok() ? response->body : "");
    std::set<std::string> summaries;
    for (const std::string &line : lines) {
        if (line.starts_with("# TYPE ") && line.ends_with(" summary")) {
            summaries.insert(line.substr(7, line.size() - 7 - 8));
        }
    }
    for (const std::string &line : lines) {
        std::string name = line.substr(0, line.find_first_of("{ "));
        for (const char *suffix : {"_sum", "_count", "_max"}) {
            const std::string baseName = name.ends_with(suffix) ? name.substr(0, name.size() - std::string_view(suffix).size()) : "";
            name = summaries.contains(baseName) ? baseName : name;
        }
        if (!line.empty() && !line.starts_with('#')) {
            names.insert(name);
        }
    }
    return names;
}

// Guards against a metric of a running site or in the sources that the page does not explain, and against one on the page that does not exist.
TEST(OperatorReferences, MetricsPageHasEveryName)
{
    const auto rows = rowsOf("metrics.md");
    Harness::Site site(OperatorPages::pageSitePlan());
    ASSERT_TRUE(site.start().ok());
    ASSERT_TRUE(site.applyInitial().ok());
    ASSERT_TRUE(site.waitServing("bench-assistant", "1", 60'000).ok());
    ASSERT_TRUE(site.complete(site.entryAddress(1), "bench-assistant", "test", true).ok());
    size_t scraped = 0;
    for (const std::string &process : site.daemonNames()) {
        for (const std::string &name : scrape(site.httpAddress(process))) {
            EXPECT_TRUE(rows.contains(name)) << "metrics.md lacks " << name << " of " << process;
            ++scraped;
        }
    }
    EXPECT_GT(scraped, 50U);
    std::set<std::string> known = namesInSources(std::regex("\"(catkinlink_[a-z0-9_]+)\""));
    known.insert("catkinlink_series_dropped_total");
    for (const std::string &name : known) {
        EXPECT_TRUE(rows.contains(name)) << "metrics.md lacks " << name;
    }
    for (const auto &[name, row] : rows) {
        EXPECT_TRUE(known.contains(name)) << "metrics.md has " << name << ", which is in no program";
    }
}

// Guards against a log event or a field of a running site that the page does not explain, and against an event on the page that does not exist.
TEST(OperatorReferences, LogsPageHasEveryEvent)
{
    const auto rows = rowsOf("logs.md");
    const std::set<std::string> known = namesInSources(std::regex(R"re(logger\.(?:debug|info|warning|error)\(\s*(?:[a-z]+ \? "([a-z_]+)" : )?"([a-z_]+)")re"));
    EXPECT_GT(known.size(), 20U);
    for (const std::string &event : known) {
        EXPECT_TRUE(rows.contains(event)) << "logs.md lacks " << event;
    }
    for (const auto &[event, row] : rows) {
        EXPECT_TRUE(known.contains(event)) << "logs.md has " << event << ", which is in no program";
    }
    Harness::SitePlan plan = OperatorPages::pageSitePlan();
    plan.logLevel = "debug";
    Harness::Site site(plan);
    ASSERT_TRUE(site.start().ok());
    ASSERT_TRUE(site.applyInitial().ok());
    ASSERT_TRUE(site.waitServing("bench-assistant", "1", 60'000).ok());
    ASSERT_TRUE(site.complete(site.entryAddress(1), "bench-assistant", "test", true).ok());
    const std::set<std::string> common{"time_ms", "level", "process", "component", "event"};
    size_t events = 0;
    for (const std::string &process : site.daemonNames()) {
        for (const std::string &line : OperatorPages::splitLines(textOf(AK::concat(site.folder(), "/", process, ".log")))) {
            const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
            const auto row = entry.is_object() ? rows.find(entry.value("event", "")) : rows.end();
            if (row == rows.end()) {
                continue;
            }
            ++events;
            for (const auto &[field, value] : entry.items()) {
                EXPECT_TRUE(common.contains(field) || row->second.at(2).find("`" + field + "`") != std::string::npos)
                    << row->first << " has the field " << field;
            }
        }
    }
    EXPECT_GT(events, 20U);
}

} // namespace
