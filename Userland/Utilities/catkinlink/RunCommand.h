#pragma once

#include "CommandOutput.h"
#include "ExitCode.h"

namespace Catkinlink
{

/// Runs the command with the arguments after the program name.
ExitCode runCommand(const std::vector<std::string> &arguments, const CommandEnvironment &environment);

} // namespace Catkinlink
