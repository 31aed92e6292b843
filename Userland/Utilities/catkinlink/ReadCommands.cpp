#include "Commands.h"

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <fstream>
#include <sstream>

namespace Catkinlink
{

namespace
{

using Rows = std::vector<std::vector<std::string>>;

absl::StatusOr<std::string> readBody(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return absl::NotFoundError(AK::concat("body file \"", path, "\" cannot be opened"));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

absl::Status auditError(const nlohmann::json &entry, const std::string &problem)
{
    return absl::DataLossError(AK::concat("audit entry ", numberIn(entry, "sequence"), ": ", problem,
                                          "\nnext: compare the trail of another entry; keep both outputs and treat the trail as altered"));
}

// Maps the outcome of a call to a status for exitCodeOf().
absl::Status callStatus(const LibHttp::HttpResponse &response)
{
    const std::string outcome(LibHttp::headerOr(response.headers, "x-catkinlink-outcome"));
    if (outcome == "unknown") {
        return absl::UnknownError("the outcome of the call is not known\nnext: look at the upstream's own records; a repeated request with the same "
                                  "--idempotency-key is never run twice");
    }
    if (outcome == "not_run") {
        return absl::UnavailableError(AK::concat("the call was not run, status ", response.status, "\nnext: send it again later"));
    }
    return response.status < 400 ? absl::OkStatus() : absl::InternalError(AK::concat("the call ended with status ", response.status));
}

} // namespace

absl::Status runStatus(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(const nlohmann::json status, client.read("/operator/v1/status"));
    if (options.json) {
        environment.out << status << "\n";
        return absl::OkStatus();
    }
    Rows rows{{"NAME", "ROLE", "STATUS", "REGION", "FAILURE DOMAIN", "REVISION", "SERVICE", "STATE", "WEIGHTS"}};
    for (const nlohmann::json &member : listIn(status, "members")) {
        rows.push_back({textIn(member, "name"), textIn(member, "role"), textIn(member, "status"), textIn(member, "region"), textIn(member, "failure_domain"),
                        AK::concat(numberIn(member, "revision")), textIn(member, "service"), textIn(member, "serving_state"),
                        shortRoot(member, "weights_root")});
    }
    environment.out << "revision " << numberIn(status, "revision") << " at " << textIn(status, "process") << "\n" << formatTable(rows);
    for (const nlohmann::json &restriction : listIn(status, "restrictions")) {
        environment.out << "provisional restriction " << textIn(restriction, "id") << ": out of service: " << textIn(restriction, "failure_domain")
                        << textIn(restriction, "upstream") << " (" << textIn(restriction, "reason") << ")\n";
    }
    return absl::OkStatus();
}

absl::Status verifyAudit(const nlohmann::json &entries)
{
    const nlohmann::json *previous = nullptr;
    for (const nlohmann::json &entry : entries) {
        nlohmann::json content = entry;
        if (!content.is_object() || content.erase("hash") != 1) {
            return auditError(entry, "has no hash");
        }
        if (AK::sha256Hex(content.dump()) != textIn(entry, "hash")) {
            return auditError(entry, "its hash does not match its content");
        }
        if (previous == nullptr && numberIn(entry, "sequence") != 1) {
            return auditError(entry, "the entries before it are missing");
        }
        if (previous != nullptr) {
            if (textIn(entry, "previous_hash") != textIn(*previous, "hash")) {
                return auditError(entry, "previous_hash is not the hash of the entry before");
            }
            if (numberIn(entry, "sequence") != numberIn(*previous, "sequence") + 1) {
                return auditError(entry, AK::concat("follows sequence ", numberIn(*previous, "sequence")));
            }
            if (textIn(entry, "digest_before") != textIn(*previous, "digest_after")) {
                return auditError(entry, "digest_before is not digest_after of the entry before");
            }
        }
        previous = &entry;
    }
    return absl::OkStatus();
}

absl::Status runAudit(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(const nlohmann::json audit, client.read("/operator/v1/audit"));
    const nlohmann::json entries = listIn(audit, "entries");
    if (options.command == "audit verify") {
        CATKINLINK_TRY(verifyAudit(entries));
        const uint64_t first = entries.empty() ? 0 : numberIn(entries.front(), "sequence");
        const uint64_t last = entries.empty() ? 0 : numberIn(entries.back(), "sequence");
        if (options.json) {
            environment.out << nlohmann::json{{"verified", entries.size()}, {"first", first}, {"last", last}} << "\n";
        } else {
            environment.out << "verified " << entries.size() << " entries, sequence " << first << " to " << last << "\n";
        }
        return absl::OkStatus();
    }
    if (options.json) {
        environment.out << audit << "\n";
        return absl::OkStatus();
    }
    Rows rows{{"SEQUENCE", "TIME (UTC)", "REVISION", "AUTHOR", "CHANGE", "REASON"}};
    for (const nlohmann::json &entry : entries) {
        rows.push_back({AK::concat(numberIn(entry, "sequence")), formatTime(static_cast<AK::Milliseconds>(numberIn(entry, "at_ms"))),
                        AK::concat(numberIn(entry, "revision_before"), " -> ", numberIn(entry, "revision_after")), textIn(entry, "author"),
                        textIn(entry, "change_id"), textIn(entry, "reason")});
    }
    environment.out << formatTable(rows);
    return absl::OkStatus();
}

absl::Status runClaims(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    const std::vector<std::string> states = options.claimState.empty() ? std::vector<std::string>{"unknown", "claimed"} : std::vector{options.claimState};
    nlohmann::json claims = nlohmann::json::array();
    bool complete = true;
    for (const std::string &state : states) {
        CATKINLINK_ASSIGN(const nlohmann::json responseBody, client.read(AK::concat("/operator/v1/claims?state=", state)));
        for (const nlohmann::json &claim : listIn(responseBody, "claims")) {
            claims.push_back(claim);
        }
        complete = complete && responseBody.value("complete", false);
    }
    if (options.json) {
        environment.out << nlohmann::json{{"claims", claims}, {"complete", complete}} << "\n";
        return absl::OkStatus();
    }
    Rows rows{{"KEY", "STATE", "CLAIMED (UTC)", "ACCOUNT", "SERVICE", "CALL", "ENTRY", "REASON"}};
    for (const nlohmann::json &claim : claims) {
        const std::string reason = textIn(claim, "reason");
        rows.push_back({textIn(claim, "idempotency_key"), textIn(claim, "state"), formatTime(static_cast<AK::Milliseconds>(numberIn(claim, "claimed_at_ms"))),
                        textIn(claim, "account"), textIn(claim, "service"), AK::concat(textIn(claim, "method"), " ", textIn(claim, "path")),
                        textIn(claim, "owner"), reason.empty() ? "-" : reason});
    }
    environment.out << formatTable(rows) << claims.size() << " calls with unknown outcome" << (complete ? "" : "; there may be more") << "\n";
    return absl::OkStatus();
}

absl::Status runAddress(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    CATKINLINK_ASSIGN(const nlohmann::json responseBody, client.read("/v1/addresses"));
    if (options.json) {
        environment.out << responseBody << "\n";
        return absl::OkStatus();
    }
    std::vector<std::vector<std::string>> rows;
    for (const nlohmann::json &entry : listIn(responseBody, "entries")) {
        rows.push_back({textIn(entry, "address"), textIn(entry, "name"), textIn(entry, "failure_domain")});
    }
    environment.out << formatTable(rows);
    environment.out << "may be cached for " << numberIn(responseBody, "ttl_ms") << " ms\n";
    return absl::OkStatus();
}

absl::Status runCall(const EntryClient &client, const CommandOptions &options, const CommandEnvironment &environment)
{
    LibHttp::HttpRequest request;
    if (!options.prompt.empty()) {
        request.path = "/v1/completions";
        request.body = nlohmann::json{{"model", options.operand}, {"prompt", options.prompt}}.dump();
    } else {
        const bool absolute = options.path.starts_with('/');
        request.path = AK::concat("/services/", options.operand, absolute ? "" : "/", options.path);
        if (!options.body.empty()) {
            CATKINLINK_ASSIGN(request.body, readBody(options.body));
        }
    }
    request.method = !options.method.empty() ? options.method : request.body.empty() ? "GET" : "POST";
    if (!request.body.empty()) {
        request.headers["content-type"] = "application/json";
    }
    if (!options.idempotencyKey.empty()) {
        request.headers["idempotency-key"] = options.idempotencyKey;
    }
    const auto response = client.send(request, RefusalIndicator::OutcomeNotRun);
    if (!response.ok()) {
        const char *next = absl::IsUnknown(response.status()) ? "the call may have run; repeat it only with the same --idempotency-key"
                                                              : "the call was not run; send it again later, or give another --entry";
        return absl::Status(response.status().code(), AK::concat(response.status().message(), "\nnext: ", next));
    }
    const std::string outcome(LibHttp::headerOr(response->headers, "x-catkinlink-outcome"));
    if (options.json) {
        environment.out << nlohmann::json{{"status", response->status}, {"outcome", outcome}, {"body", response->body}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace)
                        << "\n";
    } else {
        environment.out << response->body << "\n";
        environment.error << "status " << response->status << ", outcome " << (outcome.empty() ? "not given" : outcome) << "\n";
    }
    return callStatus(*response);
}

} // namespace Catkinlink
