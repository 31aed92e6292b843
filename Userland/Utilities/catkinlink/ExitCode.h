#pragma once

#include <absl/status/status.h>

namespace Catkinlink
{

/// Exit codes of the command, see docs/design.md 9.2.
enum class ExitCode {
    Done = 0,
    Failed = 1,
    Usage = 2,
    InvalidSettings = 3,
    Refused = 4,
    NotAccepted = 5,
    OutcomeUnknown = 6,
};

/// The exit code for a status of this package: kOutOfRange is a usage error, kInvalidArgument and kNotFound are invalid settings, kFailedPrecondition is a
/// refusal, kUnavailable means not accepted, kUnknown an unknown outcome.
inline ExitCode exitCodeOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kOk:
        return ExitCode::Done;
    case absl::StatusCode::kOutOfRange:
        return ExitCode::Usage;
    case absl::StatusCode::kInvalidArgument:
    case absl::StatusCode::kNotFound:
        return ExitCode::InvalidSettings;
    case absl::StatusCode::kFailedPrecondition:
        return ExitCode::Refused;
    case absl::StatusCode::kUnavailable:
        return ExitCode::NotAccepted;
    case absl::StatusCode::kUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Failed;
    }
}

} // namespace Catkinlink
