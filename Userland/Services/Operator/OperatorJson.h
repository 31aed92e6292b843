#pragma once

#include "OperatorErrorCode.h"

#include <LibConfiguration/Applier.h>
#include <LibHttp/HttpMessage.h>
#include <LibMembership/MembershipView.h>
#include <LibOnce/ClaimRecord.h>
#include <LibSettings/ProcessSettings.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Operator
{

/// The name of the operator whose key is the bearer token of the request, or nothing.
std::optional<std::string> authenticate(const LibSettings::ProcessSettings &settings, const LibHttp::HttpHeaders &headers);

/// Parses the body of an apply request. Errors: kInvalidArgument with the path of the field.
absl::StatusOr<LibConfiguration::ApplyRequest> parseApplyRequest(const std::string &body, const std::string &author);

/// Parses the body of a restriction request; the id is left empty.
/// Errors: kInvalidArgument with the path of the field, also when the document does not contain the failure domain or upstream.
absl::StatusOr<LibConfiguration::Restriction> parseRestriction(const std::string &body, const std::string &author, const LibSettings::SiteDocument &document,
                                                               AK::Milliseconds wallTime);

LibHttp::HttpResponse applyResponse(const LibConfiguration::ApplyOutcome &outcome);
/// JSON object `{code, error}` with the HTTP status of the code.
LibHttp::HttpResponse errorResponse(OperatorErrorCode code, std::string_view message);

nlohmann::json memberToJson(const LibMembership::Member &member);
nlohmann::json claimToJson(const std::string &name, const LibOnce::ClaimRecord &record);
nlohmann::json restrictionToJson(const LibConfiguration::Restriction &restriction);

} // namespace Operator
