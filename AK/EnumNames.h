#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace AK
{

/// One row of a table that names the values of an enum class.
template <typename Enum>
struct EnumName {
    Enum value;
    std::string_view name;
};

template <typename Enum>
EnumName(Enum, const char *) -> EnumName<Enum>;

/// The name of a value, or "?" when the table has no row for it.
template <typename Enum, std::size_t Size>
constexpr std::string_view nameOf(const std::array<EnumName<Enum>, Size> &table, Enum value)
{
    for (const auto &row : table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "?";
}

/// The value with the given name, or std::nullopt.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const std::array<EnumName<Enum>, Size> &table, std::string_view name)
{
    for (const auto &row : table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace AK
