#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace AK
{

/// SHA-256 as 64 lower-case hex digits.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA-256 as 64 lower-case hex digits.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

/// Compares in time that does not depend on where the strings differ.
bool equalInConstantTime(std::string_view left, std::string_view right);

/// 64-bit hash that is the same in every process and build. Not for secrets.
uint64_t stableHash(std::string_view data);

/// Weight of a member for a key in rendezvous hashing; the member with the greatest weight is first.
uint64_t rendezvousWeight(std::string_view key, std::string_view member);

} // namespace AK
