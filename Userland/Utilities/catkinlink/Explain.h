#pragma once

#include <AK/Clock.h>
#include <absl/status/statusor.h>
#include <istream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Catkinlink
{

/// One line of a process's log.
struct LogLine {
    /// ms since 1970, UTC.
    AK::Milliseconds time = 0;
    std::string process;
    std::string event;
    nlohmann::json fields;
};

/// The object in a line, which may stand behind other text, such as the name of a file; nothing when there is none.
std::optional<LogLine> parseLogLine(const std::string &text);

/// Reads all lines of a log; lines without an object are skipped.
void readLog(std::istream &input, std::vector<LogLine> &lines);

/// What the logs say of one request.
struct RequestStory {
    /// Lines that name the request and those about what it depended on, by time.
    std::vector<LogLine> lines;
    /// One sentence.
    std::string cause;
};

/// Finds a request in the logs of entries and agents on the platform and names the cause of its end.
/// Errors: kDataLoss when no line says how the request ended.
absl::StatusOr<RequestStory> explainRequest(const std::string &request, std::vector<LogLine> lines);

} // namespace Catkinlink
