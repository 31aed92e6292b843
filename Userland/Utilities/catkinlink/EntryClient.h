#pragma once

#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Catkinlink
{

/// How an entry says that it did not run a request, so that another entry may be tried.
enum class RefusalSign {
    /// Status 503 of the operator API.
    ServiceUnavailable,
    /// Header X-Catkinlink-Outcome: not_run. A bare 503 may come from the upstream after it ran the call.
    OutcomeNotRun,
};

/// Talks to the operator API of the entries, in the order given.
class EntryClient
{
public:
    EntryClient(std::vector<AK::Endpoint> entries, std::string key);

    /// Reads from the first entry that answers 200.
    /// Errors: kUnavailable when none does; kPermissionDenied when the key is refused; kDataLoss when the answer is no JSON object.
    absl::StatusOr<nlohmann::json> read(const std::string &path) const;

    /// Sends a request that must not run twice. The next entry is tried only when one took no connection or refused by the given sign.
    /// Errors: kUnavailable when no entry took it; kUnknown when the request was sent and no answer came.
    absl::StatusOr<LibHttp::HttpResponse> send(LibHttp::HttpRequest request, RefusalSign sign) const;

    /// One client per entry, to ask each of them.
    std::vector<EntryClient> separate() const;

private:
    LibHttp::HttpRequest withKey(LibHttp::HttpRequest request) const;

    std::vector<AK::Endpoint> entries;
    std::string key;
};

/// The key in a file without surrounding white space. Errors: kNotFound, kInvalidArgument when it is empty.
absl::StatusOr<std::string> readKeyFile(const std::string &path);

/// The body as a JSON object, or an empty object.
nlohmann::json objectIn(const std::string &body);

/// A text field, or an empty text when it is missing or of another type.
std::string textIn(const nlohmann::json &json, const char *key);

/// An unsigned number field, or 0.
uint64_t numberIn(const nlohmann::json &json, const char *key);

/// Whether a member of the status counts as live. A suspect may be slow only, and then still takes work by the revision that it has.
bool isLive(const nlohmann::json &member);

/// A list field, or an empty list.
nlohmann::json listIn(const nlohmann::json &json, const char *key);

} // namespace Catkinlink
