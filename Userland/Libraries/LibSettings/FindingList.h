#pragma once

#include <LibSettings/ConfigurationCheck.h>

namespace LibSettings
{

/// SHA-256 of the empty text, in hex.
inline constexpr std::string_view emptyKeySha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// JSON Pointer to a nested field.
template <typename... Parts>
std::string fieldPath(const Parts &...parts)
{
    return (nlohmann::json::json_pointer() / ... / parts).to_string();
}

inline void addWarning(std::vector<Finding> &findings, FindingKind kind, std::string path, std::string message)
{
    findings.push_back({kind, FindingSeverity::Warning, std::move(path), std::move(message)});
}

/// Adds a finding for each of the fields that `json` contains at `path`.
template <typename Names>
void addUnusedFields(std::vector<Finding> &findings, const nlohmann::json &json, const std::string &path, const Names &names, const std::string &reason)
{
    const nlohmann::json::json_pointer parent(path);
    for (const char *name : names) {
        if (const auto field = parent / std::string(name); json.contains(field)) {
            addWarning(findings, FindingKind::FieldUnused, field.to_string(), reason);
        }
    }
}

} // namespace LibSettings
