#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Catkinlink
{

/// A subcommand and the flags that it takes.
struct CommandSpec {
    /// For example "domain out".
    const char *name;
    const char *summary;
    /// Name of the positional argument, or empty when there is none; when it ends with "...", file arguments follow.
    const char *operand;
    /// Long names of its flags, separated by spaces; a leading '!' marks a required flag.
    const char *flags;
};

/// All subcommands.
const std::vector<CommandSpec> &commandSpecs();

/// Parsed command line.
struct CommandOptions {
    std::string command;
    std::string operand;
    std::vector<std::string> files;
    std::vector<AK::Endpoint> entries;
    std::string keyFile;
    bool json = false;
    bool force = false;
    bool emergency = false;
    bool watch = false;
    std::string reason;
    std::string base;
    std::string overlay;
    std::string against;
    std::optional<uint64_t> expectedRevision;
    /// Time to wait until the change is in force or the rollout is done; the default depends on the command.
    std::optional<AK::Milliseconds> waitMs;
    /// Lifetime of an emergency restriction.
    AK::Milliseconds lifetimeMs = 7'200'000;
    std::string model;
    std::string adapter;
    std::string weightsVersion;
    std::string root;
    std::optional<AK::Endpoint> weightStore;
    std::string method;
    std::string path;
    std::string body;
    std::string prompt;
    std::string idempotencyKey;
    /// State of the claims to show; empty for all whose outcome is not known.
    std::string claimState;
    /// Help or version text to print instead of running the command.
    std::string information;
};

/// Reads the arguments after the program name. Errors: kOutOfRange with the problem and the help command to run.
absl::StatusOr<CommandOptions> parseCommandLine(const std::vector<std::string> &arguments);

} // namespace Catkinlink
