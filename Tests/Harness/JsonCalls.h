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

/// Polls until the condition holds. False when `limit` ms are over.
bool waitUntil(AK::Milliseconds limit, const std::function<bool()> &condition);

/// A request whose JSON answer is expected with status 200.
absl::StatusOr<nlohmann::json> getJson(const AK::Endpoint &target, const std::string &path, const LibHttp::HttpHeaders &headers = {});
absl::StatusOr<nlohmann::json> postJson(const AK::Endpoint &target, const std::string &path, const nlohmann::json &body,
                                        const LibHttp::HttpHeaders &headers = {});

} // namespace Harness
