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

/// The name of the operator whose bearer key the request carries, or nothing.
std::optional<std::string> authenticate(const LibSettings::ProcessSettings &settings, const LibHttp::HttpHeaders &headers);

/// Reads the body of an apply request. Errors: kInvalidArgument with the path of the field.
absl::StatusOr<LibConfiguration::ApplyRequest> readApply(const std::string &body, const std::string &author);

/// Reads the body of a restriction request; the id is left empty.
/// Errors: kInvalidArgument with the path of the field, also when the target is not in the document.
absl::StatusOr<LibConfiguration::Restriction> readRestriction(const std::string &body, const std::string &author, const LibSettings::SiteDocument &document,
                                                              AK::Milliseconds wallTime);

LibHttp::HttpResponse applyResponse(const LibConfiguration::ApplyOutcome &outcome);
/// `{code, error}` with the HTTP status that belongs to the code.
LibHttp::HttpResponse errorResponse(OperatorErrorCode code, std::string_view message);

nlohmann::json memberToJson(const LibMembership::Member &member);
nlohmann::json claimToJson(const std::string &name, const LibOnce::ClaimRecord &record);
nlohmann::json restrictionToJson(const LibConfiguration::Restriction &restriction);

} // namespace Operator
