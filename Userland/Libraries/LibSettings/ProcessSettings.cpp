#include <LibSettings/ProcessSettings.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibSettings/JsonSchema.h>

namespace LibSettings
{

std::string_view processSettingsSchema()
{
    return R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["role", "name", "site", "region", "failure_domain", "http_address", "rpc_address", "object_api", "keys"],
  "properties": {
    "role": {"enum": ["entry", "agent"]},
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "site": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"},
    "region": {"type": "string", "minLength": 1, "maxLength": 63},
    "failure_domain": {"type": "string", "minLength": 1, "maxLength": 63},
    "http_address": {"type": "string"},
    "rpc_address": {"type": "string"},
    "object_api": {"type": "string"},
    "seeds": {"type": "array", "maxItems": 64, "items": {"type": "string"}},
    "keys": {
      "type": "array", "minItems": 1, "maxItems": 4,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["id", "secret"],
        "properties": {"id": {"type": "string", "minLength": 1, "maxLength": 32}, "secret": {"type": "string", "minLength": 16, "maxLength": 256}}
      }
    },
    "operators": {
      "type": "array", "maxItems": 100,
      "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "key_sha256"],
        "properties": {"name": {"type": "string", "minLength": 1, "maxLength": 63}, "key_sha256": {"type": "string", "pattern": "^[0-9a-f]{64}$"}}
      }
    },
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "timing": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "gossip_interval_ms": {"type": "integer", "minimum": 20, "maximum": 60000},
        "suspect_timeout_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
        "rpc_timeout_ms": {"type": "integer", "minimum": 20, "maximum": 60000},
        "store_timeout_ms": {"type": "integer", "minimum": 20, "maximum": 60000},
        "watch_wait_ms": {"type": "integer", "minimum": 100, "maximum": 25000},
        "host_list_interval_ms": {"type": "integer", "minimum": 100, "maximum": 600000},
        "status_poll_ms": {"type": "integer", "minimum": 20, "maximum": 60000},
        "status_max_age_ms": {"type": "integer", "minimum": 100, "maximum": 60000}
      }
    },
    "entry": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "call_threads": {"type": "integer", "minimum": 8, "maximum": 1024},
        "call_limit": {"type": "integer", "minimum": 1, "maximum": 1000},
        "address_ttl_ms": {"type": "integer", "minimum": 0, "maximum": 600000},
        "propagation_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
        "default_deadline_ms": {"type": "integer", "minimum": 100, "maximum": 3600000},
        "claims_per_second": {"type": "integer", "minimum": 1, "maximum": 1000},
        "claim_dispatch_window_ms": {"type": "integer", "minimum": 100, "maximum": 60000},
        "body_limit_bytes": {"type": "integer", "minimum": 1024, "maximum": 16777216}
      }
    },
    "agent": {
      "type": "object", "additionalProperties": false,
      "required": ["upstream_address", "upstream_kind", "service"],
      "properties": {
        "upstream_address": {"type": "string"},
        "upstream_kind": {"enum": ["engine", "plain"]},
        "service": {"type": "string", "minLength": 1, "maxLength": 63},
        "weight_store": {"type": "string"},
        "origin_region": {"type": "string", "maxLength": 63},
        "weight_buffer_bytes": {"type": "integer", "minimum": 65536},
        "weights_bytes_per_s": {"type": "integer", "minimum": 1024},
        "weights_percent_under_load": {"type": "integer", "minimum": 1, "maximum": 100},
        "capacity": {"type": "integer", "minimum": 1, "maximum": 4096},
        "cold_slots": {"type": "integer", "minimum": 1, "maximum": 4096},
        "ramp_step_ms": {"type": "integer", "minimum": 10, "maximum": 600000},
        "queue_limit": {"type": "integer", "minimum": 0, "maximum": 4096},
        "designated_timeout_ms": {"type": "integer", "minimum": 50, "maximum": 600000},
        "chunk_map_interval_ms": {"type": "integer", "minimum": 20, "maximum": 60000}
      }
    }
  },
  "if": {"properties": {"role": {"const": "agent"}}},
  "then": {"required": ["agent"]}
})json";
}

namespace
{

template <typename Type>
void readOptional(const nlohmann::json &object, const char *key, Type &target)
{
    if (const auto found = object.find(key); found != object.end()) {
        target = found->get<Type>();
    }
}

void readEndpoint(const nlohmann::json &object, const std::string &pointer, AK::Endpoint &target, std::vector<Violation> &violations)
{
    const absl::StatusOr<AK::Endpoint> parsed = AK::parseEndpoint(object.at(nlohmann::json::json_pointer(pointer)).get<std::string>());
    if (!parsed.ok()) {
        violations.push_back({pointer, AK::concat(parsed.status().message())});
        return;
    }
    target = *parsed;
}

TimingSettings readTiming(const nlohmann::json &json)
{
    TimingSettings timing;
    readOptional(json, "gossip_interval_ms", timing.gossipIntervalMs);
    readOptional(json, "suspect_timeout_ms", timing.suspectTimeoutMs);
    readOptional(json, "rpc_timeout_ms", timing.rpcTimeoutMs);
    readOptional(json, "store_timeout_ms", timing.storeTimeoutMs);
    readOptional(json, "watch_wait_ms", timing.watchWaitMs);
    readOptional(json, "host_list_interval_ms", timing.hostListIntervalMs);
    readOptional(json, "status_poll_ms", timing.statusPollMs);
    readOptional(json, "status_max_age_ms", timing.statusMaxAgeMs);
    return timing;
}

EntrySettings readEntry(const nlohmann::json &json)
{
    EntrySettings entry;
    readOptional(json, "call_threads", entry.callThreads);
    readOptional(json, "call_limit", entry.callLimit);
    readOptional(json, "address_ttl_ms", entry.addressTtlMs);
    readOptional(json, "propagation_ms", entry.propagationMs);
    readOptional(json, "default_deadline_ms", entry.defaultDeadlineMs);
    readOptional(json, "claims_per_second", entry.claimsPerSecond);
    readOptional(json, "claim_dispatch_window_ms", entry.claimDispatchWindowMs);
    readOptional(json, "body_limit_bytes", entry.bodyLimitBytes);
    return entry;
}

AgentSettings readAgent(const nlohmann::json &processJson, std::vector<Violation> &violations)
{
    const nlohmann::json &json = processJson.at("agent");
    AgentSettings agent;
    readEndpoint(processJson, "/agent/upstream_address", agent.upstreamAddress, violations);
    agent.upstreamKind = *AK::valueOf(upstreamKindNames, json.at("upstream_kind").get<std::string>());
    readOptional(json, "service", agent.service);
    if (agent.upstreamKind == UpstreamKind::Engine) {
        if (json.contains("weight_store")) {
            readEndpoint(processJson, "/agent/weight_store", agent.weightStore, violations);
        } else {
            violations.push_back({"/agent/weight_store", "is required when /agent/upstream_kind is \"engine\""});
        }
    }
    readOptional(json, "origin_region", agent.originRegion);
    readOptional(json, "weight_buffer_bytes", agent.weightBufferBytes);
    readOptional(json, "weights_bytes_per_s", agent.weightsBytesPerSecond);
    readOptional(json, "weights_percent_under_load", agent.weightsPercentUnderLoad);
    readOptional(json, "capacity", agent.capacity);
    readOptional(json, "cold_slots", agent.coldSlots);
    readOptional(json, "ramp_step_ms", agent.rampStepMs);
    readOptional(json, "queue_limit", agent.queueLimit);
    readOptional(json, "designated_timeout_ms", agent.designatedTimeoutMs);
    readOptional(json, "chunk_map_interval_ms", agent.chunkMapIntervalMs);
    return agent;
}

} // namespace

std::vector<Violation> parseProcessSettings(const nlohmann::json &json, ProcessSettings &settings)
{
    std::vector<Violation> violations = violationsOf(json, processSettingsSchema());
    if (!violations.empty()) {
        return violations;
    }
    settings.role = *AK::valueOf(processRoleNames, json.at("role").get<std::string>());
    readOptional(json, "name", settings.name);
    readOptional(json, "site", settings.site);
    readOptional(json, "region", settings.region);
    readOptional(json, "failure_domain", settings.failureDomain);
    readOptional(json, "log_level", settings.logLevel);
    readEndpoint(json, "/http_address", settings.httpAddress, violations);
    readEndpoint(json, "/rpc_address", settings.rpcAddress, violations);
    readEndpoint(json, "/object_api", settings.objectApi, violations);
    const size_t seedCount = json.contains("seeds") ? json["seeds"].size() : 0;
    for (size_t i = 0; i < seedCount; ++i) {
        readEndpoint(json, AK::concat("/seeds/", i), settings.seeds.emplace_back(), violations);
    }
    for (const nlohmann::json &key : json.at("keys")) {
        settings.keys.push_back({key.at("id"), key.at("secret")});
    }
    if (json.contains("operators")) {
        for (const nlohmann::json &operatorJson : json["operators"]) {
            settings.operators.push_back({operatorJson.at("name"), operatorJson.at("key_sha256")});
        }
    }
    if (json.contains("timing")) {
        settings.timing = readTiming(json["timing"]);
    }
    if (json.contains("entry")) {
        settings.entry = readEntry(json["entry"]);
    }
    if (settings.entry.callLimit >= settings.entry.callThreads) {
        violations.push_back({"/entry/call_limit",
                              AK::concat(settings.entry.callLimit, " must be below /entry/call_threads, ", settings.entry.callThreads,
                                         ", so that a thread stays free to send refusals")});
    }
    if (settings.role == ProcessRole::Agent) {
        settings.agent = readAgent(json, violations);
    }
    return violations;
}

absl::StatusOr<ProcessSettings> parseProcessSettings(const nlohmann::json &json)
{
    ProcessSettings settings;
    CATKINLINK_TRY(statusOf(parseProcessSettings(json, settings), "process settings"));
    return settings;
}

} // namespace LibSettings
