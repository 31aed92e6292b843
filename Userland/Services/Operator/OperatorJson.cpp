#include "OperatorJson.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <LibConfiguration/RevisionHolder.h>
#include <LibJson/BoundedJson.h>

namespace Operator
{

namespace
{

absl::Status invalid(std::string_view message)
{
    return absl::InvalidArgumentError(std::string(message));
}

bool hasString(const nlohmann::json &json, const char *field)
{
    return json.contains(field) && json[field].is_string();
}

int httpStatusOf(OperatorErrorCode code)
{
    switch (code) {
    case OperatorErrorCode::Unauthorized:
        return 401;
    case OperatorErrorCode::NotFound:
        return 404;
    case OperatorErrorCode::Conflict:
        return 409;
    case OperatorErrorCode::InvalidRequest:
    case OperatorErrorCode::InvalidDocument:
    case OperatorErrorCode::LastUpstream:
        return 422;
    case OperatorErrorCode::StoreUnreachable:
    case OperatorErrorCode::NoConfiguration:
        return 503;
    case OperatorErrorCode::OutcomeUnknown:
        return 504;
    }
    return 500;
}

nlohmann::json errorBody(OperatorErrorCode code, std::string_view message)
{
    return {{"code", AK::nameOf(operatorErrorCodeNames, code)}, {"error", message}};
}

LibHttp::HttpResponse conflictResponse(const LibConfiguration::ApplyOutcome &outcome)
{
    nlohmann::json body = errorBody(OperatorErrorCode::Conflict, outcome.message);
    if (outcome.winner) {
        body.update({{"revision", outcome.winner->revisionAfter},
                     {"author", outcome.winner->author},
                     {"reason", outcome.winner->reason},
                     {"changed_at_ms", outcome.winner->atMs}});
    } else {
        body.update({{"revision", 0}, {"author", ""}, {"reason", ""}, {"changed_at_ms", 0}});
    }
    return LibHttp::jsonResponse(httpStatusOf(OperatorErrorCode::Conflict), body.dump());
}

} // namespace

std::optional<std::string> authenticate(const LibSettings::ProcessSettings &settings, const LibHttp::HttpHeaders &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = LibHttp::headerOr(headers, "authorization");
    if (!header.starts_with(scheme)) {
        return std::nullopt;
    }
    const std::string digest = AK::sha256Hex(header.substr(scheme.size()));
    std::optional<std::string> author;
    for (const LibSettings::OperatorSetting &setting : settings.operators) {
        if (AK::equalInConstantTime(digest, setting.keySha256)) {
            author = setting.name;
        }
    }
    return author;
}

absl::StatusOr<LibConfiguration::ApplyRequest> parseApplyRequest(const std::string &body, const std::string &author)
{
    const absl::StatusOr<nlohmann::json> parsed = LibJson::parseObject(body);
    if (!parsed.ok()) {
        return invalid(AK::concat("body: ", parsed.status().message()));
    }
    const nlohmann::json &json = *parsed;
    if (!json.contains("document") || !json["document"].is_object()) {
        return invalid("/document is not an object");
    }
    if (!json.contains("expected_revision") || !json["expected_revision"].is_number_unsigned()) {
        return invalid("/expected_revision is not an unsigned number");
    }
    if (!hasString(json, "change_id")) {
        return invalid("/change_id is not a string");
    }
    if ((json.contains("reason") && !json["reason"].is_string()) || (json.contains("force") && !json["force"].is_boolean())) {
        return invalid("/reason is not a string or /force is not a boolean");
    }
    return LibConfiguration::ApplyRequest{json["document"], json["expected_revision"], json["change_id"],
                                          author,           json.value("reason", ""),  json.value("force", false)};
}

absl::StatusOr<LibConfiguration::Restriction> parseRestriction(const std::string &body, const std::string &author, const LibSettings::SiteDocument &document,
                                                               AK::Milliseconds wallTime)
{
    const absl::StatusOr<nlohmann::json> parsed = LibJson::parseObject(body, LibJson::recordLimits);
    if (!parsed.ok()) {
        return invalid(AK::concat("body: ", parsed.status().message()));
    }
    const nlohmann::json &json = *parsed;
    if (json.contains("failure_domain") == json.contains("upstream") || hasString(json, "failure_domain") == hasString(json, "upstream")) {
        return invalid("exactly one of /failure_domain and /upstream must be a string");
    }
    if ((json.contains("reason") && !json["reason"].is_string()) || (json.contains("ttl_ms") && !json["ttl_ms"].is_number_unsigned())) {
        return invalid("/reason is not a string or /ttl_ms is not an unsigned number");
    }
    const uint64_t maxLifetime = LibConfiguration::RevisionHolder::maxRestrictionLifetimeMs;
    const uint64_t lifetime = json.value("ttl_ms", maxLifetime);
    if (lifetime == 0 || lifetime > maxLifetime) {
        return invalid(AK::concat("/ttl_ms is ", lifetime, ", 1 to ", maxLifetime, " is allowed"));
    }
    LibConfiguration::Restriction restriction;
    restriction.failureDomain = json.value("failure_domain", "");
    restriction.upstream = json.value("upstream", "");
    restriction.author = author;
    restriction.reason = json.value("reason", "");
    restriction.expiresAt = wallTime + static_cast<AK::Milliseconds>(lifetime);
    if (!restriction.failureDomain.empty() && !document.failureDomains.contains(restriction.failureDomain)) {
        return invalid(AK::concat("/failure_domain names unknown failure domain \"", restriction.failureDomain, "\""));
    }
    if (!restriction.upstream.empty() && !document.upstreams.contains(restriction.upstream)) {
        return invalid(AK::concat("/upstream names unknown upstream \"", restriction.upstream, "\""));
    }
    return restriction;
}

LibHttp::HttpResponse errorResponse(OperatorErrorCode code, std::string_view message)
{
    return LibHttp::jsonResponse(httpStatusOf(code), errorBody(code, message).dump());
}

LibHttp::HttpResponse applyResponse(const LibConfiguration::ApplyOutcome &outcome)
{
    using LibConfiguration::ApplyResult;
    switch (outcome.result) {
    case ApplyResult::Accepted:
        return LibHttp::jsonResponse(200, nlohmann::json{{"revision", outcome.revision}}.dump());
    case ApplyResult::Conflict:
        return conflictResponse(outcome);
    case ApplyResult::LastUpstream:
        return errorResponse(OperatorErrorCode::LastUpstream, outcome.message);
    case ApplyResult::Invalid:
        return errorResponse(OperatorErrorCode::InvalidDocument, outcome.message);
    case ApplyResult::StoreUnreachable:
        return errorResponse(OperatorErrorCode::StoreUnreachable, outcome.message);
    case ApplyResult::Unknown:
        break;
    }
    return errorResponse(OperatorErrorCode::OutcomeUnknown, outcome.message);
}

nlohmann::json memberToJson(const LibMembership::Member &member)
{
    return {{"name", member.name},
            {"role", AK::nameOf(LibSettings::processRoleNames, member.role)},
            {"status", AK::nameOf(LibMembership::memberStatusNames, member.status)},
            {"region", member.region},
            {"failure_domain", member.failureDomain},
            {"revision", member.revision},
            {"service", member.service},
            {"serving_state", AK::nameOf(LibMembership::servingStateNames, member.servingState)},
            {"weights_root", member.weightsRoot},
            {"target_root", member.targetRoot},
            {"chunks_held", member.chunksHeld},
            {"chunks_total", member.chunksTotal},
            {"calls_since_switch", member.callsSinceSwitch},
            {"errors_since_switch", member.errorsSinceSwitch},
            {"warm", member.warm},
            {"instance", member.instance}};
}

nlohmann::json claimToJson(const std::string &name, const LibOnce::ClaimRecord &record)
{
    return {{"claim", name},
            {"state", AK::nameOf(LibOnce::claimStateNames, record.state)},
            {"account", record.account},
            {"service", record.service},
            {"method", record.method},
            {"path", record.path},
            {"idempotency_key", record.idempotencyKey},
            {"owner", record.owner},
            {"claimed_at_ms", record.claimedAt},
            {"expires_at_ms", record.expiresAt},
            {"reason", record.reason}};
}

nlohmann::json restrictionToJson(const LibConfiguration::Restriction &restriction)
{
    return {{"id", restriction.id},         {"failure_domain", restriction.failureDomain}, {"upstream", restriction.upstream}, {"author", restriction.author},
            {"reason", restriction.reason}, {"expires_at_ms", restriction.expiresAt}};
}

} // namespace Operator
