#pragma once

#include <AK/Random.h>
#include <string>

namespace FuzzTest
{

/// Random seed of this run: CATKINLINK_FUZZ_SEED, or a fixed one. Prints it, so that a failure can be reproduced.
uint64_t fuzzSeed();

/// Number of inputs per parser: CATKINLINK_FUZZ_COUNT, or the given number.
int fuzzCount(int fallback);

/// Applies one to four random edits: replaces a byte or a digit, erases a range, copies a range to another place, inserts a JSON token or replaces a range by
/// one.
std::string mutate(std::string text, AK::Random &random);

} // namespace FuzzTest
