#pragma once

#include <AK/Random.h>
#include <string>

namespace FuzzTest
{

/// The seed of this run: CATKINLINK_FUZZ_SEED, or a fixed one. Prints it.
uint64_t fuzzSeed();

/// Inputs per parser: CATKINLINK_FUZZ_COUNT, or the given number.
int fuzzCount(int fallback);

/// The text with one to four random edits: a byte or digit replaced, a piece cut, doubled or moved, or a token of JSON put in.
std::string mutate(std::string text, AK::Random &random);

} // namespace FuzzTest
