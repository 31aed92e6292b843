#include "ChangeSubmission.h"

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibSettings/SiteDocument.h>
#include <Services/Operator/OperatorErrorCode.h>

namespace Catkinlink
{

namespace
{

constexpr int conflictAttempts = 5;
// A change whose response was lost is visible at once at the entry that accepted it, and at other entries after a gossip round of 1 s.
constexpr int rereadAttempts = 5;
constexpr AK::Milliseconds rereadIntervalMs = 500;
constexpr AK::Milliseconds waitIntervalMs = 200;
// Upper bound of the propagation time of a revision, see docs/design.md P9.
constexpr AK::Milliseconds defaultWaitMs = 8'000;

std::string describeConflictingChange(uint64_t revision, const nlohmann::json &source, const char *timeKey)
{
    return AK::concat("revision ", revision, " by ", textIn(source, "author"), " at ", formatTime(static_cast<AK::Milliseconds>(numberIn(source, timeKey))),
                      " UTC (", textIn(source, "reason"), ")");
}

// Looks for the outcome of a proposal at one entry; nothing when the entry shows neither this change nor another one on the same expected revision.
std::optional<SubmissionResult> findOutcome(const EntryClient &entry, const Proposal &proposal)
{
    if (const auto revision = entry.read("/operator/v1/revision"); revision.ok() && textIn(*revision, "change_id") == proposal.changeId) {
        return SubmissionResult{true, numberIn(*revision, "revision"), {}};
    }
    const auto audit = entry.read("/operator/v1/audit");
    if (!audit.ok() || !audit->contains("entries")) {
        return std::nullopt;
    }
    for (const nlohmann::json &item : (*audit)["entries"]) {
        const uint64_t after = numberIn(item, "revision_after");
        if (textIn(item, "change_id") == proposal.changeId) {
            return SubmissionResult{true, after, {}};
        }
        // Another change took the expected revision, so the conditional update of the proposal can no longer succeed.
        if (item.is_object() && item.contains("revision_before") && numberIn(item, "revision_before") == proposal.expectedRevision) {
            return SubmissionResult{false, after, describeConflictingChange(after, item, "at_ms")};
        }
    }
    return std::nullopt;
}

absl::StatusOr<SubmissionResult> resolveUnknownOutcome(const EntryClient &client, const Proposal &proposal, const std::string &cause,
                                                       const CommandEnvironment &environment)
{
    for (int attempt = 0; attempt < rereadAttempts; ++attempt) {
        if (attempt > 0) {
            environment.clock.sleep(rereadIntervalMs);
        }
        for (const EntryClient &entry : client.clientPerEntry()) {
            if (const auto found = findOutcome(entry, proposal)) {
                return *found;
            }
        }
    }
    return absl::UnknownError(AK::concat("the outcome of change ", proposal.changeId, " is not known: ", cause, "\nnext: look for ", proposal.changeId,
                                         " in catkinlink audit before sending it again; with --expected-revision ", proposal.expectedRevision,
                                         " a second attempt cannot take effect twice"));
}

absl::Status refusalError(const LibHttp::HttpResponse &response)
{
    using Operator::OperatorErrorCode;
    const nlohmann::json responseBody = objectIn(response.body);
    const std::string problem = textIn(responseBody, "error");
    const std::optional<OperatorErrorCode> code = AK::valueOf(Operator::operatorErrorCodeNames, textIn(responseBody, "code"));
    if (code == OperatorErrorCode::InvalidDocument) {
        return absl::InvalidArgumentError(AK::concat(problem, "\nnext: correct the field and run catkinlink validate"));
    }
    if (code == OperatorErrorCode::LastUpstream) {
        return absl::FailedPreconditionError(AK::concat("refused: ", problem, "\nnext: bring other upstreams of the service in, or give --force"));
    }
    if (code == OperatorErrorCode::Unauthorized) {
        return absl::PermissionDeniedError(AK::concat("the key was refused: ", problem, "\nnext: check --key-file"));
    }
    return absl::InternalError(AK::concat("the entry answered ", response.status, ": ", problem, "\nnext: look at the log of the entry"));
}

// The first field set by the change whose value differs between the two documents, or null.
const std::string *changedField(const DocumentChange &change, const nlohmann::json &first, const nlohmann::json &now)
{
    for (const std::string &field : change.fields) {
        const nlohmann::json::json_pointer pointer(field);
        const nlohmann::json before = first.contains(pointer) ? first[pointer] : nlohmann::json();
        const nlohmann::json after = now.contains(pointer) ? now[pointer] : nlohmann::json();
        if (before != after) {
            return &field;
        }
    }
    return nullptr;
}

// Reads the revision in force, again (up to rereadAttempts times) until it is at least the given one. An entry may learn of the revision behind its 409 only a
// gossip round later; a change on top of an older revision would be refused again.
absl::StatusOr<nlohmann::json> readRevision(const EntryClient &client, uint64_t atLeast, const CommandEnvironment &environment)
{
    absl::StatusOr<nlohmann::json> inForce = client.read("/operator/v1/revision");
    for (int attempt = 1; attempt < rereadAttempts && inForce.ok() && numberIn(*inForce, "revision") < atLeast; ++attempt) {
        environment.clock.sleep(rereadIntervalMs);
        inForce = client.read("/operator/v1/revision");
    }
    return inForce;
}

} // namespace

absl::StatusOr<SubmissionResult> submitProposal(const EntryClient &client, const Proposal &proposal, const CommandEnvironment &environment)
{
    CATKINLINK_TRY(LibSettings::parseSiteDocument(proposal.document).status());
    const nlohmann::json body{{"document", proposal.document},
                              {"expected_revision", proposal.expectedRevision},
                              {"change_id", proposal.changeId},
                              {"reason", proposal.reason},
                              {"force", proposal.force}};
    const LibHttp::HttpRequest request{.method = "POST", .path = "/operator/v1/apply", .headers = {{"content-type", "application/json"}}, .body = body.dump()};
    const auto response = client.send(request, RefusalIndicator::ServiceUnavailable);
    if (absl::IsUnknown(response.status())) {
        return resolveUnknownOutcome(client, proposal, AK::concat(response.status().message()), environment);
    }
    if (!response.ok()) {
        return absl::UnavailableError(AK::concat("not accepted: ", response.status().message(),
                                                 "\nnext: try again when the store answers, or give another --entry; ",
                                                 "domain out and upstream out take --emergency"));
    }
    const nlohmann::json responseBody = objectIn(response->body);
    if (response->status == 200 && numberIn(responseBody, "revision") > 0) {
        return SubmissionResult{true, numberIn(responseBody, "revision"), {}};
    }
    if (response->status == 409) {
        return SubmissionResult{false, numberIn(responseBody, "revision"),
                                describeConflictingChange(numberIn(responseBody, "revision"), responseBody, "changed_at_ms")};
    }
    if (response->status == 200 || response->status >= 500) {
        return resolveUnknownOutcome(client, proposal, AK::concat("the entry answered ", response->status, " ", textIn(responseBody, "error")), environment);
    }
    return refusalError(*response);
}

absl::StatusOr<SubmissionResult> submitChange(const EntryClient &client, const DocumentChange &change, const CommandOptions &options,
                                              const CommandEnvironment &environment)
{
    nlohmann::json first;
    SubmissionResult last;
    for (int attempt = 0; attempt < conflictAttempts; ++attempt) {
        CATKINLINK_ASSIGN(const nlohmann::json inForce, readRevision(client, last.revision, environment));
        const nlohmann::json document = inForce.value("document", nlohmann::json::object());
        CATKINLINK_ASSIGN(const nlohmann::json edited, change.edit(document));
        if (edited == document) {
            return SubmissionResult{true, numberIn(inForce, "revision"), {}};
        }
        if (attempt == 0) {
            first = document;
        } else if (const std::string *field = changedField(change, first, document)) {
            return absl::FailedPreconditionError(
                AK::concat("refused: ", last.conflictingChange, " changed ", *field, "\nnext: look at catkinlink audit and decide again"));
        }
        const Proposal proposal{edited, numberIn(inForce, "revision"), AK::randomHex(environment.random, 32), options.reason, options.force};
        CATKINLINK_ASSIGN(last, submitProposal(client, proposal, environment));
        if (last.accepted) {
            return last;
        }
        environment.error << last.conflictingChange << " was accepted first; trying again on top of it\n";
        environment.clock.sleep(static_cast<AK::Milliseconds>(50 + AK::uniformBelow(environment.random, 200)));
    }
    return absl::FailedPreconditionError(
        AK::concat("refused: another change was accepted first ", conflictAttempts, " times, last ", last.conflictingChange, "\nnext: try again"));
}

void reportAccepted(const EntryClient &client, const SubmissionResult &result, const std::string &description, const CommandOptions &options,
                    const CommandEnvironment &environment)
{
    const AK::Milliseconds waitMs = options.waitMs.value_or(defaultWaitMs);
    const AK::Milliseconds end = environment.clock.now() + waitMs;
    size_t members = 0;
    size_t inForceCount = 0;
    while (waitMs > 0) {
        const auto status = client.read("/operator/v1/status");
        members = 0;
        inForceCount = 0;
        if (status.ok() && status->contains("members")) {
            for (const nlohmann::json &member : (*status)["members"]) {
                const bool live = isLive(member);
                members += live ? 1 : 0;
                inForceCount += live && numberIn(member, "revision") >= result.revision ? 1 : 0;
            }
        }
        if ((members > 0 && inForceCount == members) || environment.clock.now() >= end) {
            break;
        }
        environment.clock.sleep(waitIntervalMs);
    }
    if (options.json) {
        environment.out << nlohmann::json{{"accepted", true}, {"revision", result.revision}, {"in_force_on", inForceCount}, {"members", members}} << "\n";
    } else {
        environment.out << description << ": accepted in revision " << result.revision << "\n";
        if (waitMs > 0) {
            environment.out << "in force on " << inForceCount << " of " << members << " live members\n";
        }
    }
    if (waitMs > 0 && (members == 0 || inForceCount < members)) {
        environment.error << "warning: revision " << result.revision << " is accepted, but was not seen in force on every live member within " << waitMs / 1'000
                          << " s\nnext: catkinlink status\n";
    }
}

} // namespace Catkinlink
