#pragma once

#include <string>

/// Runs this process on the users' platform, with the settings that the platform wrote. `role` is "entry" or "agent".
/// Returns the exit code of the process.
int runOnPlatform(const std::string &role);
