#include <AK/Text.h>

#include <charconv>

namespace AK
{

std::string toLower(std::string_view text)
{
    std::string lower(text);
    for (char &character : lower) {
        if (character >= 'A' && character <= 'Z') {
            character = static_cast<char>(character - 'A' + 'a');
        }
    }
    return lower;
}

std::optional<int64_t> parseInteger(std::string_view text)
{
    int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

} // namespace AK
