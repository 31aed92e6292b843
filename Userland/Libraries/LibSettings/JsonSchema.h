#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace LibSettings
{

/// A field that the schema or a rule of the document does not allow.
struct Violation {
    /// JSON Pointer.
    std::string path;
    std::string reason;
};

/// The most deeply nested violations of a JSON Schema (draft 7).
std::vector<Violation> violationsOf(const nlohmann::json &document, std::string_view schema);

/// kInvalidArgument with the path and reason of the first five violations, or OK when there is none. `documentName` names the document in errors.
absl::Status statusOf(const std::vector<Violation> &violations, std::string_view documentName);

} // namespace LibSettings
