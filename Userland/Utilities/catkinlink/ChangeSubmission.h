#pragma once

#include "CommandLine.h"
#include "CommandOutput.h"
#include "EntryClient.h"

#include <functional>

namespace Catkinlink
{

/// An edit of the document in force.
struct DocumentChange {
    std::string description;
    /// JSON Pointers of the fields that the change sets. It is no longer valid when another operator has changed one of them.
    std::vector<std::string> fields;
    std::function<absl::StatusOr<nlohmann::json>(const nlohmann::json &document)> edit;
};

/// A document to put in force on top of one expected revision.
struct Proposal {
    nlohmann::json document;
    uint64_t expectedRevision = 0;
    std::string changeId;
    std::string reason;
    bool force = false;
};

struct SubmissionResult {
    /// False when another change was accepted first.
    bool accepted = false;
    /// The revision of this change, or of the one accepted first.
    uint64_t revision = 0;
    /// Revision, author, time and reason of the change that was accepted first; empty when this one was accepted.
    std::string conflictingChange;
};

/// Sends a proposal. When the outcome is unknown, re-reads the revision and the audit trail of every entry.
/// Errors: kInvalidArgument, kFailedPrecondition (takes out the last upstream of a service), kUnavailable (not accepted), kUnknown,
/// kPermissionDenied (key refused), kInternal (unexpected status).
absl::StatusOr<SubmissionResult> submitProposal(const EntryClient &client, const Proposal &proposal, const CommandEnvironment &environment);

/// Reads the document in force, edits it and submits it. Tries again when another change was accepted first and this one is still valid.
/// Returns the revision that contains the change. Errors as submitProposal().
absl::StatusOr<SubmissionResult> submitChange(const EntryClient &client, const DocumentChange &change, const CommandOptions &options,
                                              const CommandEnvironment &environment);

/// Waits up to options.waitMs (8 s unless given) until the revision is in force on every live member and prints the result.
void reportAccepted(const EntryClient &client, const SubmissionResult &result, const std::string &description, const CommandOptions &options,
                    const CommandEnvironment &environment);

} // namespace Catkinlink
