#include "RunCommand.h"

#include "Commands.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>

namespace Catkinlink
{

namespace
{

absl::Status dispatch(const CommandOptions &options, const CommandEnvironment &environment)
{
    if (options.command == "validate") {
        return runValidate(options, environment);
    }
    if (options.command == "explain") {
        return runExplain(options, environment);
    }
    if (options.command == "rollout explain") {
        return runRolloutExplain(options, environment);
    }
    const absl::StatusOr<std::string> key = readKeyFile(options.keyFile);
    if (!key.ok()) {
        return absl::OutOfRangeError(AK::concat("--key-file: ", key.status().message()));
    }
    const EntryClient client(options.entries, *key);
    using Run = absl::Status (*)(const EntryClient &, const CommandOptions &, const CommandEnvironment &);
    static constexpr std::array<std::pair<std::string_view, Run>, 11> table{{
        {"diff", runDiff},
        {"apply", runApply},
        {"status", runStatus},
        {"rollout status", runRolloutStatus},
        {"audit", runAudit},
        {"claims", runClaims},
        {"address", runAddress},
        {"call", runCall},
        {"domain", runInService},
        {"upstream", runInService},
        {"rollout", runRollout},
    }};
    for (const auto &[name, run] : table) {
        if (options.command == name || options.command.starts_with(AK::concat(name, " "))) {
            return run(client, options, environment);
        }
    }
    return absl::InternalError(AK::concat("command \"", options.command, "\" has no implementation"));
}

} // namespace

ExitCode runCommand(const std::vector<std::string> &arguments, const CommandEnvironment &environment)
{
    const absl::StatusOr<CommandOptions> options = parseCommandLine(arguments);
    if (!options.ok()) {
        environment.error << "catkinlink: " << options.status().message() << "\n";
        return exitCodeOf(options.status());
    }
    if (!options->information.empty()) {
        environment.out << options->information;
        return ExitCode::Done;
    }
    absl::Status status;
    ExitCode success = ExitCode::Done;
    try {
        if (options->command == "config check") {
            const absl::StatusOr<ExitCode> checked = runConfigCheck(*options, environment);
            status = checked.status();
            success = checked.value_or(success);
        } else {
            status = dispatch(*options, environment);
        }
    } catch (const nlohmann::json::exception &exception) {
        // Responses of an entry are not checked against a schema.
        status = absl::InternalError(AK::concat("a response has an unexpected form: ", exception.what()));
    }
    if (!status.ok()) {
        environment.error << "catkinlink: " << status.message() << "\n";
        if (options->json) {
            environment.out << nlohmann::json{{"error", std::string(status.message())}, {"exit_code", static_cast<int>(exitCodeOf(status))}} << "\n";
        }
    }
    return status.ok() ? success : exitCodeOf(status);
}

} // namespace Catkinlink
