#include "Mutation.h"

#include <AK/Text.h>
#include <array>
#include <cstdlib>
#include <iostream>

namespace FuzzTest
{

namespace
{

int64_t environmentNumber(const char *name, int64_t fallback)
{
    const char *text = std::getenv(name);
    return text == nullptr ? fallback : AK::parseInteger(text).value_or(fallback);
}

void mutateOnce(std::string &text, AK::Random &random)
{
    static constexpr std::array<const char *, 18> tokens{"{",
                                                         "}",
                                                         "[",
                                                         "]",
                                                         "null",
                                                         "true",
                                                         "-1",
                                                         "1e999",
                                                         "18446744073709551616",
                                                         "\"\"",
                                                         ",",
                                                         ":",
                                                         "\xff\xfe",
                                                         "\\u0000",
                                                         "\\ud800",
                                                         "0.5",
                                                         "9007199254740993",
                                                         "\"a\":1,"};
    const size_t position = AK::uniformBelow(random, text.size() + 1);
    const size_t length = AK::uniformBelow(random, 24);
    switch (AK::uniformBelow(random, 6)) {
    case 0:
        if (position < text.size()) {
            text[position] = static_cast<char>(AK::uniformBelow(random, 256));
        }
        break;
    case 1:
        text.erase(position, length);
        break;
    case 2:
        text.insert(position, text.substr(AK::uniformBelow(random, text.size() + 1), length));
        break;
    case 3:
        text.insert(position, tokens[AK::uniformBelow(random, tokens.size())]);
        break;
    case 4:
        text.replace(position, std::min(length, text.size() - position), tokens[AK::uniformBelow(random, tokens.size())]);
        break;
    default:
        // Replaces the next digit by a random one, which often keeps the text valid.
        for (size_t i = position; i < text.size(); ++i) {
            if (text[i] >= '0' && text[i] <= '9') {
                text[i] = static_cast<char>('0' + AK::uniformBelow(random, 10));
                break;
            }
        }
    }
}

} // namespace

uint64_t fuzzSeed()
{
    const auto seed = static_cast<uint64_t>(environmentNumber("CATKINLINK_FUZZ_SEED", 20'261'204));
    std::cout << "CATKINLINK_FUZZ_SEED=" << seed << "\n";
    return seed;
}

int fuzzCount(int fallback)
{
    return static_cast<int>(environmentNumber("CATKINLINK_FUZZ_COUNT", fallback));
}

std::string mutate(std::string text, AK::Random &random)
{
    const uint64_t edits = 1 + AK::uniformBelow(random, 4);
    for (uint64_t i = 0; i < edits; ++i) {
        mutateOnce(text, random);
    }
    return text;
}

} // namespace FuzzTest
