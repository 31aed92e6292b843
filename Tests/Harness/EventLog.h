#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Harness
{

/// Log events with the given name from a file of JSON lines; lines that are no JSON are passed over.
std::vector<nlohmann::json> readEvents(const std::string &logFile, const std::string &event);

} // namespace Harness
