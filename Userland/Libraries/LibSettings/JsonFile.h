#pragma once

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>

namespace LibSettings
{

/// Size limit of a settings file or document, equal to the largest value that the object API stores.
constexpr size_t documentLimitBytes = 1'000'000;

/// Reads and parses a JSON file.
/// Errors: kNotFound with the reason when it cannot be opened; kInvalidArgument with the file name when it is not valid JSON (then also with line and column),
/// contains a duplicate key, is too large or is nested too deeply.
absl::StatusOr<nlohmann::json> readJsonFile(const std::string &path);

/// Parses JSON text; `source` names the text in errors. Errors as readJsonFile().
absl::StatusOr<nlohmann::json> parseJson(const std::string &text, const std::string &source);

} // namespace LibSettings
