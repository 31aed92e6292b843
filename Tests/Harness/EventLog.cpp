#include <Harness/EventLog.h>

#include <fstream>

namespace Harness
{

std::vector<nlohmann::json> readEvents(const std::string &logFile, const std::string &event)
{
    std::vector<nlohmann::json> events;
    std::ifstream file(logFile);
    std::string line;
    while (std::getline(file, line)) {
        if (line.find(event) == std::string::npos) {
            continue;
        }
        nlohmann::json parsed = nlohmann::json::parse(line, nullptr, false);
        if (parsed.is_object() && parsed.value("event", "") == event) {
            events.push_back(std::move(parsed));
        }
    }
    return events;
}

} // namespace Harness
