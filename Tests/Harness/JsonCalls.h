#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace Harness
{

/// Polls until the condition holds. Returns false when it does not hold within `limit` ms.
bool waitUntil(AK::Milliseconds limit, const std::function<bool()> &condition);

/// Sends a request and parses its JSON response. Errors: kFailedPrecondition with the body when the status is 300 or more, kDataLoss when the body is not
/// JSON, and those of LibHttp::httpCall().
absl::StatusOr<nlohmann::json> getJson(const AK::Endpoint &target, const std::string &path, const LibHttp::HttpHeaders &headers = {});
absl::StatusOr<nlohmann::json> postJson(const AK::Endpoint &target, const std::string &path, const nlohmann::json &body,
                                        const LibHttp::HttpHeaders &headers = {});

} // namespace Harness
