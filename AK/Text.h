#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace AK
{

inline void appendText(std::string &target, std::string_view text)
{
    target += text;
}

template <std::integral Number>
void appendText(std::string &target, Number number)
{
    target += std::to_string(number);
}

// Views of other libraries, such as that of a status message.
template <typename View>
requires(!std::convertible_to<View, std::string_view> && requires(const View &view) {
    {
        view.data()
        } -> std::convertible_to<const char *>;
    view.size();
}) void appendText(std::string &target, const View &view)
{
    target.append(view.data(), view.size());
}

inline void appendText(std::string &target, double number)
{
    target += std::to_string(number);
}

/// Joins text and numbers. absl::StrCat cannot take std::string_view here: Debian builds Abseil with a string_view type of its own.
template <typename... Parts>
std::string concat(const Parts &...parts)
{
    std::string joined;
    (appendText(joined, parts), ...);
    return joined;
}

/// ASCII letters in lower case.
std::string toLower(std::string_view text);

/// The whole text as a decimal number, or nothing.
std::optional<int64_t> parseInteger(std::string_view text);

} // namespace AK
