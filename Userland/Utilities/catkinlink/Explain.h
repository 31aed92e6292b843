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

/// Parses the JSON object in a line, which may follow other text such as a file name. Nothing when there is none.
std::optional<LogLine> parseLogLine(const std::string &text);

/// Appends the lines of a log; lines without an object are skipped.
void readLog(std::istream &input, std::vector<LogLine> &lines);

/// Reads log files. Errors: kNotFound when one cannot be opened.
absl::StatusOr<std::vector<LogLine>> readLogs(const std::vector<std::string> &paths);

/// Log lines and cause for the end of one request.
struct RequestExplanation {
    /// Lines that name the request and lines that the cause refers to, by time.
    std::vector<LogLine> lines;
    /// Cause of the end, followed by whether the call has run where that is not obvious.
    std::string cause;
};

/// Finds a request in the logs of entries and agents on the platform and determines why it ended as it did.
/// Errors: kDataLoss when no line says how the request ended.
absl::StatusOr<RequestExplanation> explainRequest(const std::string &request, std::vector<LogLine> lines);

} // namespace Catkinlink
