#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace LibJson
{

/// A field of an object whose value has not been parsed. Both refer to the text that was split.
struct RawField {
    /// The name as it is written, with its escape sequences and without its quotes.
    std::string_view name;
    std::string_view value;
};

/// Splits the text of an object into its fields without parsing them, so that a value which can't be read doesn't affect the others. Only quotes, escape
/// sequences, brackets and commas are looked at; doesn't recurse.
/// Returns nothing when the text is no object or when brackets or quotes don't match.
std::optional<std::vector<RawField>> splitObject(std::string_view text);

/// The same for the elements of an array; returns nothing also when there are more than `maxElements`.
std::optional<std::vector<std::string_view>> splitArray(std::string_view text, size_t maxElements = SIZE_MAX);

/// Returns the text of the last field with the name, or nothing.
std::optional<std::string_view> findField(const std::vector<RawField> &fields, std::string_view name);

/// Decodes a JSON string byte by byte. Bytes that are not UTF-8 are kept, and an escape sequence from \udc80 to \udcff without its first half stands for a byte
/// that is not UTF-8. Returns nothing when the text is no string.
std::optional<std::string> decodeText(std::string_view text);

} // namespace LibJson
