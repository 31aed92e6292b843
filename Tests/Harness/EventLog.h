#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Harness
{

/// Returns the log events with the given name from a file of JSON lines. Lines that are not JSON are skipped.
std::vector<nlohmann::json> readEvents(const std::string &logFile, const std::string &event);

} // namespace Harness
