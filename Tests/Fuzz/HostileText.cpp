#include "HostileText.h"

#include "Mutation.h"

namespace FuzzTest
{

namespace
{

std::string repeated(const std::string &text, size_t count)
{
    std::string result;
    result.reserve(text.size() * count);
    for (size_t i = 0; i < count; ++i) {
        result += text;
    }
    return result;
}

} // namespace

const std::vector<HostileValue> &hostileValues()
{
    static const std::vector<HostileValue> values{
        {"deep_lists", repeated("[", 4'000) + repeated("]", 4'000)},
        {"deep_objects", repeated(R"({"a":)", 4'000) + "1" + repeated("}", 4'000)},
        {"very_deep_lists", repeated("[", 150'000) + repeated("]", 150'000)},
        {"deep_without_end", repeated("[{\"a\":", 60'000)},
        {"two_million_values", "[" + repeated("0,", 2'000'000) + "0]"},
        {"two_million_lists", "[" + repeated("[],", 2'000'000) + "0]"},
        {"long_string", "\"" + std::string(size_t{65} << 20, 'x') + "\""},
        {"number_too_large", "1e999"},
        {"number_with_many_digits", "1" + std::string(400, '0')},
        {"not_utf8", "\"caf\xe9\""},
        {"overlong_utf8", "\"\xc0\xaf\""},
        {"half_a_pair", R"("\udce9")"},
        {"control_character", std::string("\"a\0b\"", 5)},
        {"not_a_number", "NaN"},
        {"infinity", "-Infinity"},
        {"string_without_end", "\"abc"},
        {"largest_unsigned", "18446744073709551615", false},
        {"lowest_signed", "-9223372036854775808", false},
        {"large_double", "1.7e308", false},
        {"fraction", "0.5", false},
        {"null", "null", false},
        {"other_type", R"({"a":[1]})", false},
        {"nul_character", R"("a\u0000b")", false},
        {"line_break", R"("a\r\nX-Injected: 1")", false},
    };
    return values;
}

std::string mutateHostile(std::string text, AK::Random &random)
{
    constexpr size_t maxInsertedBytes = size_t{64} << 10;
    text = mutate(std::move(text), random);
    const HostileValue &value = hostileValues()[AK::uniformBelow(random, hostileValues().size())];
    if (AK::uniformBelow(random, 4) != 0 || value.text.size() > maxInsertedBytes) {
        return text;
    }
    const size_t position = text.find_first_of(":,[", AK::uniformBelow(random, text.size() + 1));
    if (position != std::string::npos) {
        text.insert(position + 1, value.text + (text[position] == ':' ? ",\"a\":" : ","));
    }
    return text;
}

} // namespace FuzzTest
