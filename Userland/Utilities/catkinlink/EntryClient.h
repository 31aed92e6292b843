#pragma once

#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Catkinlink
{

/// What in a response shows that the entry did not run the request, so that another entry may be tried.
enum class RefusalIndicator {
    /// Status 503 of the operator API.
    ServiceUnavailable,
    /// Header X-Catkinlink-Outcome: not_run, with status 503 or 429. A 503 without the header may come from an upstream that ran the call.
    OutcomeNotRun,
};

/// HTTP client of the entries, which are tried in the order given.
class EntryClient
{
public:
    EntryClient(std::vector<AK::Endpoint> entries, std::string key);

    /// Reads from the first entry that answers 200.
    /// Errors: kUnavailable when none does; kPermissionDenied when the key is refused; kDataLoss when the body is not a JSON object.
    absl::StatusOr<nlohmann::json> read(const std::string &path) const;

    /// Sends a request that must not run twice. The next entry is tried only when the request was not sent, or when the response has the given indicator.
    /// Errors: kUnavailable when no entry accepted it; kUnknown when the request was sent and no response came.
    absl::StatusOr<LibHttp::HttpResponse> send(LibHttp::HttpRequest request, RefusalIndicator indicator) const;

    /// One client for each entry.
    std::vector<EntryClient> clientPerEntry() const;

private:
    LibHttp::HttpRequest withKey(LibHttp::HttpRequest request) const;

    std::vector<AK::Endpoint> entries;
    std::string key;
};

/// The key in a file without surrounding white space. Errors: kNotFound, kInvalidArgument when it is empty.
absl::StatusOr<std::string> readKeyFile(const std::string &path);

/// The body as a JSON object, or an empty object.
nlohmann::json objectIn(const std::string &body);

/// A string field, or an empty string when it is missing or of another type.
std::string textIn(const nlohmann::json &json, const char *key);

/// An unsigned number field, or 0.
uint64_t numberIn(const nlohmann::json &json, const char *key);

/// Whether a member of the status counts as live. A suspected member may only be slow, and then still takes work under the revision that it has.
bool isLive(const nlohmann::json &member);

/// A list field, or an empty list.
nlohmann::json listIn(const nlohmann::json &json, const char *key);

} // namespace Catkinlink
