#pragma once

#include <LibGateway/CrashEvidence.h>
#include <absl/status/statusor.h>

namespace LibGateway
{

/// A moment on the clocks of this process.
struct ClockReading {
    AK::Milliseconds monotonic = 0;
    /// Milliseconds since the Unix epoch.
    AK::Milliseconds wall = 0;
};

/// Bytes of the text of encodeCrashes(); the oldest crashes that don't fit are left out.
inline constexpr size_t maxCrashReportBytes = 65'536;

/// The crashes that may still show a cause: those of parts that have crashed upstreams in more than one round. `minAge`: news of sound parts may be that old.
/// At most `maxCrashes`, the latest.
std::vector<Crash> recurringCrashes(const CrashEvidence &evidence, AK::Milliseconds now, AK::Milliseconds minAge, size_t maxCrashes);

/// Adds the known crashes that the stored ones lack, and removes released parts from these. Returns whether anything changed. Crashes are told apart by their
/// upstream and prompts, because clocks of hosts differ.
bool mergeCrashes(std::vector<Crash> &stored, const std::vector<Crash> &known, const std::set<std::string> &released);

/// Writes crashes as JSON for processes that start later: {"crashes":[{"upstream","crashed_at_ms","suspects":[{"prompt","sent_at_ms","parts"}]}]}, with times
/// in ms since the Unix epoch.
std::string encodeCrashes(const std::vector<Crash> &crashes, const ClockReading &now);

/// Reads the text of encodeCrashes(). Crashes that seem to lie in the future, because clocks of hosts differ, count as of now.
/// Errors: kInvalidArgument with the path of the field.
absl::StatusOr<std::vector<Crash>> decodeCrashes(const std::string &text, const ClockReading &now);

} // namespace LibGateway
