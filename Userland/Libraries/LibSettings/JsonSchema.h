#pragma once

#include <absl/status/status.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace LibSettings
{

/// Checks a document against a JSON Schema (draft 7).
/// Errors: kInvalidArgument listing up to five violations, each with the path of the field (JSON Pointer) and the reason; `documentName` names the document in
/// errors.
absl::Status validateAgainstSchema(const nlohmann::json &document, std::string_view schema, std::string_view documentName);

} // namespace LibSettings
