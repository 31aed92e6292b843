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

// For string views of other libraries, such as absl::string_view.
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

/// Concatenates text and numbers. absl::StrCat cannot take std::string_view here because Debian builds Abseil with its own string_view type.
template <typename... Parts>
std::string concat(const Parts &...parts)
{
    std::string joined;
    (appendText(joined, parts), ...);
    return joined;
}

/// The text with its ASCII letters in lower case.
std::string toLower(std::string_view text);

/// The whole text as a decimal number, or std::nullopt.
std::optional<int64_t> parseInteger(std::string_view text);

} // namespace AK
