#include <Harness/JsonCalls.h>

#include <AK/Clock.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>

namespace Harness
{

namespace
{

constexpr AK::Milliseconds pollMs = 10;
constexpr AK::Milliseconds requestTimeoutMs = 5'000;

absl::StatusOr<nlohmann::json> jsonCall(const AK::Endpoint &target, const LibHttp::HttpRequest &request)
{
    CATKINLINK_ASSIGN(const LibHttp::HttpResponse response, LibHttp::httpCall(target, request, requestTimeoutMs));
    if (response.status >= 300) {
        return absl::FailedPreconditionError(AK::concat(request.method, " ", request.path, " at ", target.text(), ": ", response.status, " ", response.body));
    }
    nlohmann::json parsed = nlohmann::json::parse(response.body, nullptr, false);
    if (parsed.is_discarded()) {
        return absl::DataLossError(AK::concat(request.path, " at ", target.text(), " responded with a body that is not JSON"));
    }
    return parsed;
}

} // namespace

bool waitUntil(AK::Milliseconds limit, const std::function<bool()> &condition)
{
    const AK::SystemClock clock;
    const AK::Milliseconds end = clock.now() + limit;
    while (!condition()) {
        if (clock.now() >= end) {
            return false;
        }
        clock.sleep(pollMs);
    }
    return true;
}

absl::StatusOr<nlohmann::json> getJson(const AK::Endpoint &target, const std::string &path, const LibHttp::HttpHeaders &headers)
{
    return jsonCall(target, {.path = path, .headers = headers});
}

absl::StatusOr<nlohmann::json> postJson(const AK::Endpoint &target, const std::string &path, const nlohmann::json &body, const LibHttp::HttpHeaders &headers)
{
    return jsonCall(target, {.method = "POST", .path = path, .headers = headers, .body = body.dump()});
}

} // namespace Harness
