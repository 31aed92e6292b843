#pragma once

#include "CommandLine.h"
#include "CommandOutput.h"
#include "EntryClient.h"
#include "ExitCode.h"

namespace Catkinlink
{

/// A field whose value differs.
struct FieldDifference {
    /// JSON Pointer.
    std::string path;
    /// Null when the field was added.
    nlohmann::json before;
    /// Null when the field was removed.
    nlohmann::json after;
};

/// Fields that differ between two documents, in the order of their paths.
std::vector<FieldDifference> compareDocuments(const nlohmann::json &before, const nlohmann::json &after);

/// Prints "path: before -> after" per field.
void printDifferences(const std::vector<FieldDifference> &differences, std::ostream &out);

/// The same after a line that counts the fields and names the `source` of the earlier values.
void printDifferences(const std::vector<FieldDifference> &differences, const std::string &source, std::ostream &out);

/// JSON array of objects with path, before and after.
nlohmann::json listDifferences(const std::vector<FieldDifference> &differences);

/// Reads the base and, when given, merges the overlay. Errors: kNotFound, kInvalidArgument with the path of the field.
absl::StatusOr<nlohmann::json> readSettings(const CommandOptions &options);

/// Checks the hash chain of audit entries, oldest first. Errors: kDataLoss with the sequence number of the first entry that breaks the chain.
absl::Status verifyAudit(const nlohmann::json &entries);

// The subcommands; each prints its result and returns a status for exitCodeOf().
absl::Status runExplain(const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runRolloutExplain(const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runValidate(const CommandOptions &options, const CommandEnvironment &environment);
/// Checks the operand, with the overlay merged into it when one is given. Returns ExitCode::Failed when there are findings. Errors: kOutOfRange when a file
/// cannot be read.
absl::StatusOr<ExitCode> runConfigCheck(const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runDiff(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runApply(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runStatus(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runRolloutStatus(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runAudit(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runClaims(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runAddress(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
absl::Status runCall(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
/// domain out|in and upstream out|in.
absl::Status runInService(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);
/// rollout start|pause|resume|rollback.
absl::Status runRollout(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment);

} // namespace Catkinlink
