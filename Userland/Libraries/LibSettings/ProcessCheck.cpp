#include <LibSettings/ConfigurationCheck.h>

#include <AK/Text.h>
#include <LibSettings/FindingList.h>
#include <set>

namespace LibSettings
{

namespace
{

/// A limit that must be at least, or above, another one.
struct LimitRule {
    const char *path;
    int64_t value;
    const char *otherPath;
    int64_t other;
    bool mayBeEqual;
    const char *consequence;
};

void checkLimits(const std::vector<LimitRule> &rules, std::vector<Finding> &findings)
{
    for (const LimitRule &rule : rules) {
        if (rule.value < rule.other || (rule.value == rule.other && !rule.mayBeEqual)) {
            addWarning(
                findings, FindingKind::LimitsContradict, rule.path,
                AK::concat(rule.value, rule.value == rule.other ? " is equal to " : " is below ", rule.otherPath, ", ", rule.other, ": ", rule.consequence));
        }
    }
}

void checkKeys(const ProcessSettings &settings, std::vector<Finding> &findings)
{
    std::set<std::string> ids;
    for (size_t i = 0; i < settings.keys.size(); ++i) {
        if (!ids.insert(settings.keys[i].id).second) {
            addWarning(findings, FindingKind::KeyIdRepeated, fieldPath("keys", i, "id"),
                       AK::concat("\"", settings.keys[i].id, "\" is the id of two keys: logins use the first and are checked against the last"));
        }
    }
    std::map<std::string, std::string> nameByKey;
    for (size_t i = 0; i < settings.operators.size(); ++i) {
        const OperatorSetting &setting = settings.operators[i];
        const std::string path = fieldPath("operators", i, "key_sha256");
        const auto [other, added] = nameByKey.emplace(setting.keySha256, setting.name);
        if (setting.keySha256 == emptyKeySha256) {
            addWarning(findings, FindingKind::KeyEmpty, path, "is the SHA-256 of an empty text, so the operator has no key");
        } else if (!added) {
            addWarning(findings, FindingKind::KeyShared, path,
                       AK::concat("is also the key of operator \"", other->second, "\", who is named as the author of all changes with this key"));
        }
    }
}

} // namespace

std::vector<Finding> checkProcessSettings(const ProcessSettings &settings, const nlohmann::json &json)
{
    std::vector<Finding> findings;
    checkKeys(settings, findings);
    const TimingSettings &timing = settings.timing;
    std::vector<LimitRule> rules{
        {"/timing/status_max_age_ms", timing.statusMaxAgeMs, "/timing/status_poll_ms", timing.statusPollMs, false,
         "each status is outdated before the next one is read, and calls are refused in between"},
        {"/timing/suspect_timeout_ms", timing.suspectTimeoutMs, "/timing/gossip_interval_ms", timing.gossipIntervalMs, true,
         "a suspect is declared dead before it hears of the suspicion"},
    };
    if (settings.role == ProcessRole::Entry) {
        addUnusedFields(findings, json, "", std::array{"agent"}, "an entry ignores it");
        rules.push_back({"/entry/claim_dispatch_window_ms", settings.entry.claimDispatchWindowMs, "/timing/store_timeout_ms", timing.storeTimeoutMs, true,
                         "a claim that the store confirms within its timeout can be too old to dispatch the call"});
    } else {
        const AgentSettings &agent = settings.agent;
        addUnusedFields(findings, json, "", std::array{"operators"}, "an agent ignores it");
        // Agents apply body_limit_bytes, too.
        addUnusedFields(findings, json, "/entry",
                        std::array{"call_threads", "call_limit", "address_ttl_ms", "propagation_ms", "default_deadline_ms", "claims_per_second",
                                   "claim_dispatch_window_ms"},
                        "an agent ignores it");
        rules.push_back({"/agent/capacity", agent.capacity, "/agent/cold_slots", agent.coldSlots, true, "a cold upstream gets as many calls as a warm one"});
        if (agent.upstreamKind == UpstreamKind::Engine) {
            rules.push_back({"/agent/designated_timeout_ms", agent.designatedTimeoutMs, "/agent/chunk_map_interval_ms", agent.chunkMapIntervalMs, false,
                             "agents fetch a chunk from the weight store before they can learn that a neighbour has it"});
        } else {
            addUnusedFields(findings, json, "/agent",
                            std::array{"weight_store", "origin_region", "weight_buffer_bytes", "weights_bytes_per_s", "weights_percent_under_load",
                                       "designated_timeout_ms", "chunk_map_interval_ms"},
                            "a plain service has no weights");
        }
    }
    checkLimits(rules, findings);
    return findings;
}

} // namespace LibSettings
