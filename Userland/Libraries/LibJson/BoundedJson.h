#pragma once

#include <absl/status/statusor.h>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace LibJson
{

/// Bounds on a JSON text. They are checked on the bytes, before a value is built: serializing, comparing and copying a value recurse once for each level, and
/// fibers have small stacks.
struct JsonLimits {
    /// Size of the text.
    size_t bytes = size_t{1} << 20;
    /// Arrays and objects inside each other.
    size_t depth = 32;
    /// Values of all kinds, nested ones included.
    size_t values = 200'000;
};

/// Limits for a single record: a few fields of a host, a call or an operation.
inline constexpr JsonLimits recordLimits{size_t{64} << 10, 16, 4'000};

/// Checks the bounds of a JSON text. Doesn't recurse and doesn't check the syntax.
/// Errors: kInvalidArgument with the bound that is exceeded and its value.
absl::Status checkLimits(std::string_view text, const JsonLimits &limits);

/// Parses a JSON text within the limits.
/// Errors: kInvalidArgument with the bound that is exceeded, or with the position and the kind of the syntax error.
absl::StatusOr<nlohmann::json> parse(std::string_view text, const JsonLimits &limits = {});

/// parse() for a text that must be an object.
absl::StatusOr<nlohmann::json> parseObject(std::string_view text, const JsonLimits &limits = {});

} // namespace LibJson
