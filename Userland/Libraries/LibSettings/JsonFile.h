#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace LibSettings
{

/// Largest settings file or document, equal to the largest value of the object API.
constexpr size_t documentLimitBytes = 1'000'000;

/// Reads and parses a JSON file.
/// Errors: kNotFound when it cannot be opened; kInvalidArgument with file, line and column when it is no JSON, has a key twice, is too large or nests too
/// deeply.
absl::StatusOr<nlohmann::json> readJsonFile(const std::string &path);

/// Parses JSON text; `source` names it in errors. Errors as readJsonFile().
absl::StatusOr<nlohmann::json> parseJson(const std::string &text, const std::string &source);

} // namespace LibSettings
