#pragma once

#include <Services/Entry/EntryCall.h>
#include <optional>
#include <variant>

namespace Entry
{

/// Why a request was not accepted. Nothing has run.
struct RequestError {
    int status = 400;
    std::string reason;
    std::string message;
    AK::Milliseconds retryAfterMs = 0;
};

/// Whether a path belongs to the calls that an entry routes.
bool isCallPath(std::string_view path);

/// Checks a request against the configuration: account, service, route, key and deadline. `now` is monotonic.
std::variant<EntryCall, RequestError> parseCall(const LibHttp::HttpRequest &request, std::string requestId,
                                                std::shared_ptr<const LibConfiguration::Configuration> configuration, AK::Milliseconds now,
                                                AK::Milliseconds defaultDeadline);

} // namespace Entry
