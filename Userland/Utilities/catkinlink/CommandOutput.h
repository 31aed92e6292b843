#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace Catkinlink
{

/// Clock, random numbers and output streams of a command; tests replace them.
struct CommandEnvironment {
    const AK::Clock &clock;
    AK::Random &random;
    std::ostream &out;
    std::ostream &error;
    /// Whether `out` is a terminal; progress bars are drawn only there.
    bool terminal = false;
};

/// Aligned columns; the first row is the heading.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

/// A bar of 20 cells, for example "[#####...............]  25%". Empty when `total` is 0.
std::string progressBar(uint64_t held, uint64_t total);

/// The first 12 digits of the weights root in a field, or "-" when it is empty.
std::string shortRoot(const nlohmann::json &json, const char *key);

/// UTC time as "2026-01-31 12:00:00".
std::string formatTime(AK::Milliseconds wallTime);

} // namespace Catkinlink
