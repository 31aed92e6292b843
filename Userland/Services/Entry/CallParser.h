#pragma once

#include <Services/Entry/EntryCall.h>
#include <optional>
#include <variant>

namespace Entry
{

/// Error for a request that was not accepted. No call has been sent to an upstream.
struct RequestError {
    int status = 400;
    std::string reason;
    std::string message;
    AK::Milliseconds retryAfterMs = 0;
};

/// Whether a path is one of the call paths: /v1/completions, /v1/chat/completions or below /services/.
bool isCallPath(std::string_view path);

/// Checks a request against the configuration: account, service, route, idempotency key and deadline. `now` is monotonic.
std::variant<EntryCall, RequestError> parseCall(const LibHttp::HttpRequest &request, std::string requestId,
                                                std::shared_ptr<const LibConfiguration::Configuration> configuration, AK::Milliseconds now,
                                                AK::Milliseconds defaultDeadline);

} // namespace Entry
