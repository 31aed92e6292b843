#pragma once

#include "CommandLine.h"
#include "CommandOutput.h"
#include "EntryClient.h"

#include <functional>

namespace Catkinlink
{

/// One edit of the document in force.
struct DocumentChange {
    std::string description;
    /// JSON Pointers of the fields that it sets. The change is no longer valid when another operator changed one of them.
    std::vector<std::string> fields;
    std::function<absl::StatusOr<nlohmann::json>(const nlohmann::json &document)> edit;
};

/// A document to put in force after exactly one revision.
struct Proposal {
    nlohmann::json document;
    uint64_t expectedRevision = 0;
    std::string changeId;
    std::string reason;
    bool force = false;
};

struct SubmissionResult {
    /// False when another change won.
    bool accepted = false;
    /// The revision of this change, or of the winner.
    uint64_t revision = 0;
    /// Who won and why; empty when accepted.
    std::string winner;
};

/// Sends a proposal; when the outcome is not known, re-reads the revision and the audit trail of every entry.
/// Errors: kInvalidArgument, kFailedPrecondition (last capacity), kUnavailable (not accepted), kUnknown.
absl::StatusOr<SubmissionResult> submitProposal(const EntryClient &client, const Proposal &proposal, const CommandEnvironment &environment);

/// Reads the document in force, edits it and submits it; tries again when another change won and this one is still valid.
/// Returns the revision in which the change is in force. Errors as submitProposal().
absl::StatusOr<SubmissionResult> submitChange(const EntryClient &client, const DocumentChange &change, const CommandOptions &options,
                                              const CommandEnvironment &environment);

/// Waits up to options.waitMs (8 s unless given) until the revision is in force on every live member and prints the result.
void reportAccepted(const EntryClient &client, const SubmissionResult &result, const std::string &description, const CommandOptions &options,
                    const CommandEnvironment &environment);

} // namespace Catkinlink
