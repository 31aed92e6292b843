#include "EntryClient.h"

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibJson/BoundedJson.h>
#include <fstream>
#include <sstream>
#include <utility>

namespace Catkinlink
{

namespace
{

constexpr AK::Milliseconds readTimeoutMs = 3'000;
// Longer than the conditional update at the entry, including its re-reads.
constexpr AK::Milliseconds changeTimeoutMs = 10'000;
// A view of many hosts, or an audit trail with its archive.
constexpr LibJson::JsonLimits responseLimits{size_t{64} << 20, 48, 4'000'000};

bool isRefusal(const LibHttp::HttpResponse &response, RefusalIndicator indicator)
{
    if (indicator == RefusalIndicator::ServiceUnavailable) {
        return response.status == 503;
    }
    return LibHttp::headerOr(response.headers, "x-catkinlink-outcome") == "not_run" && (response.status == 503 || response.status == 429);
}

} // namespace

EntryClient::EntryClient(std::vector<AK::Endpoint> entries, std::string key)
    : entries(std::move(entries))
    , key(std::move(key))
{
}

LibHttp::HttpRequest EntryClient::withKey(LibHttp::HttpRequest request) const
{
    if (!this->key.empty()) {
        request.headers["authorization"] = "Bearer " + this->key;
    }
    return request;
}

absl::StatusOr<nlohmann::json> EntryClient::read(const std::string &path) const
{
    std::string problems;
    for (const AK::Endpoint &entry : this->entries) {
        const absl::StatusOr<LibHttp::HttpResponse> response = LibHttp::httpCall(entry, this->withKey({.path = path}), readTimeoutMs);
        if (!response.ok()) {
            problems += AK::concat("\n  ", response.status().message());
            continue;
        }
        if (response->status == 401 || response->status == 403) {
            return absl::PermissionDeniedError(AK::concat("entry ", entry.text(), " refused the key with status ", response->status,
                                                          "\nnext: check --key-file against the operators in the entry's settings"));
        }
        if (response->status != 200) {
            problems += AK::concat("\n  entry ", entry.text(), " answered ", response->status, ": ", textIn(objectIn(response->body), "error"));
            continue;
        }
        absl::StatusOr<nlohmann::json> json = LibJson::parseObject(response->body, responseLimits);
        if (!json.ok()) {
            return absl::DataLossError(
                AK::concat("entry ", entry.text(), " answered GET ", path, " with a body that is not a JSON object: ", json.status().message()));
        }
        return json;
    }
    return absl::UnavailableError(AK::concat("no entry answered GET ", path, ":", problems, "\nnext: check --entry, or give another one"));
}

absl::StatusOr<LibHttp::HttpResponse> EntryClient::send(LibHttp::HttpRequest request, RefusalIndicator indicator) const
{
    const LibHttp::HttpRequest prepared = this->withKey(std::move(request));
    std::string problems;
    for (const AK::Endpoint &entry : this->entries) {
        absl::StatusOr<LibHttp::HttpResponse> response = LibHttp::httpCall(entry, prepared, changeTimeoutMs);
        if (!response.ok()) {
            if (LibHttp::sendStateOf(response.status()) == LibHttp::SendState::NotSent) {
                problems += AK::concat("\n  ", response.status().message());
                continue;
            }
            return absl::UnknownError(AK::concat("entry ", entry.text(), ": ", response.status().message()));
        }
        if (isRefusal(*response, indicator)) {
            problems += AK::concat("\n  entry ", entry.text(), " answered ", response->status, ": ", textIn(objectIn(response->body), "error"));
            continue;
        }
        return response;
    }
    return absl::UnavailableError(AK::concat("no entry accepted ", prepared.method, " ", prepared.path, ":", problems));
}

std::vector<EntryClient> EntryClient::clientPerEntry() const
{
    std::vector<EntryClient> clients;
    for (const AK::Endpoint &entry : this->entries) {
        clients.emplace_back(std::vector{entry}, this->key);
    }
    return clients;
}

absl::StatusOr<std::string> readKeyFile(const std::string &path)
{
    if (path.empty()) {
        return std::string();
    }
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError(AK::concat("key file \"", path, "\" cannot be opened"));
    }
    std::string key;
    file >> key;
    if (key.empty()) {
        return absl::InvalidArgumentError(AK::concat("key file \"", path, "\" is empty"));
    }
    return key;
}

nlohmann::json objectIn(const std::string &body)
{
    absl::StatusOr<nlohmann::json> json = LibJson::parseObject(body, responseLimits);
    return json.ok() ? std::move(*json) : nlohmann::json::object();
}

std::string textIn(const nlohmann::json &json, const char *key)
{
    return json.is_object() && json.contains(key) && json[key].is_string() ? json[key].get<std::string>() : std::string();
}

uint64_t numberIn(const nlohmann::json &json, const char *key)
{
    return json.is_object() && json.contains(key) && json[key].is_number_unsigned() ? json[key].get<uint64_t>() : 0;
}

bool isLive(const nlohmann::json &member)
{
    const std::string status = textIn(member, "status");
    return status == "alive" || status == "suspect";
}

nlohmann::json listIn(const nlohmann::json &json, const char *key)
{
    return json.is_object() && json.contains(key) && json[key].is_array() ? json[key] : nlohmann::json::array();
}

} // namespace Catkinlink
