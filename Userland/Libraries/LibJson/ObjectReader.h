#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace LibJson
{

/// Reads the fields of an object and keeps the first error, with the path of the field: a field that is missing, has another type or is out of range. A field
/// that is null counts as missing. After an error the values that are returned mean nothing.
/// Numbers are never narrowed: a value that the target type can't hold is out of range.
class ObjectReader
{
public:
    /// `object` must outlive the reader. Its type is checked.
    ObjectReader(const nlohmann::json &object, std::string path);

    /// OK, or kInvalidArgument with the path of the field.
    const absl::Status &status() const;

    std::string text(const char *name);
    std::string textOr(const char *name, const std::string &fallback);

    bool flagOr(const char *name, bool fallback);

    /// A finite number from `lowest` to `highest`.
    double number(const char *name, double lowest, double highest);
    double numberOr(const char *name, double fallback, double lowest, double highest);

    /// A whole number from `lowest` to `highest`, also one that is written with a fraction of zero.
    template <typename Integer>
    Integer integer(const char *name, Integer lowest, Integer highest)
    {
        return static_cast<Integer>(this->wholeNumber(name, toWide(lowest), toWide(highest)));
    }

    template <typename Integer>
    Integer integerOr(const char *name, Integer fallback, std::type_identity_t<Integer> lowest, std::type_identity_t<Integer> highest)
    {
        return this->has(name) ? this->integer<Integer>(name, lowest, highest) : fallback;
    }

    /// Whether the field exists and is not null.
    bool has(const char *name) const;
    /// Whether the field exists.
    bool mentions(const char *name) const;

    /// An array or an object; empty when an optional one is missing.
    const nlohmann::json &array(const char *name);
    const nlohmann::json &arrayOrEmpty(const char *name);
    const nlohmann::json &object(const char *name);

    /// The path of a field or of an element of one.
    std::string pathOf(const char *name) const;
    std::string pathOf(const char *name, size_t index) const;

    /// Records an error at a field.
    void fail(const char *name, std::string_view problem);
    /// Records the error of the reader of a part of the object.
    void adopt(const absl::Status &status);

private:
    template <typename Integer>
    static int64_t toWide(Integer value)
    {
        static_assert(std::is_integral_v<Integer>);
        return std::cmp_greater(value, std::numeric_limits<int64_t>::max()) ? std::numeric_limits<int64_t>::max() : static_cast<int64_t>(value);
    }

    const nlohmann::json *find(const char *name) const;
    const nlohmann::json *require(const char *name);
    int64_t wholeNumber(const char *name, int64_t lowest, int64_t highest);

    const nlohmann::json &source;
    std::string path;
    absl::Status firstError;
};

/// Largest whole number that JSON writers of all languages keep exactly.
inline constexpr int64_t maxExactInteger = int64_t{1} << 53;

} // namespace LibJson
