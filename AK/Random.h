#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace AK
{

/// The random number generator that policies take as an argument.
using Random = std::mt19937_64;

/// A generator seeded from the operating system.
Random seededFromSystem();

/// A string of the given number of random hex digits, for nonces and ids.
std::string randomHex(Random &random, int digits);

/// A uniform number in [0, bound); bound must be positive.
uint64_t uniformBelow(Random &random, uint64_t bound);

} // namespace AK
