#include <LibObjectStore/HttpObjectStore.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibJson/BoundedJson.h>

namespace LibObjectStore
{

namespace
{

constexpr size_t responseLimitBytes = size_t{16} << 20;
// A list of many objects, each as deep as a settings document.
constexpr LibJson::JsonLimits responseLimits{responseLimitBytes, 40, 2'000'000};
// Added to the wait of a watch, because the store sends the response only when the wait has ended.
constexpr AK::Milliseconds watchMarginMs = 2'000;

std::string objectPath(const std::string &kind, const std::string &name)
{
    return AK::concat("/objects/", LibHttp::urlEncode(kind), "/", LibHttp::urlEncode(name));
}

absl::Status malformed(std::string_view what)
{
    return absl::DataLossError(AK::concat("answer of the object API is malformed: ", what));
}

absl::StatusOr<nlohmann::json> parseJsonObject(const std::string &text)
{
    absl::StatusOr<nlohmann::json> parsed = LibJson::parseObject(text, responseLimits);
    if (!parsed.ok()) {
        return malformed(std::string(parsed.status().message()));
    }
    return parsed;
}

absl::StatusOr<StoredObject> parseObject(const nlohmann::json &json, std::string name)
{
    const auto version = json.find("version");
    const auto value = json.find("value");
    if (version == json.end() || !version->is_number_unsigned()) {
        return malformed("/version is not an unsigned number");
    }
    if (value == json.end()) {
        return malformed("/value is missing");
    }
    return StoredObject{std::move(name), version->get<uint64_t>(), value->dump()};
}

absl::Status statusOf(int code, const std::string &request, const std::string &body)
{
    const std::string message = AK::concat("object API answered ", code, " to ", request, ": ", body.substr(0, 200));
    switch (code) {
    case 404:
        return absl::NotFoundError(message);
    case 409:
    case 412:
        return absl::FailedPreconditionError(message);
    case 413:
    case 400:
        return absl::InvalidArgumentError(message);
    case 429:
        return absl::ResourceExhaustedError(message);
    default:
        // A 5xx response may come from a proxy in front of the store and does not tell whether the request took effect.
        return absl::UnknownError(message);
    }
}

} // namespace

HttpObjectStore::HttpObjectStore(AK::Endpoint endpoint)
    : endpoint(std::move(endpoint))
{
}

absl::StatusOr<std::string> HttpObjectStore::request(const LibHttp::HttpRequest &message, AK::Milliseconds timeout)
{
    ++this->calls;
    const bool isChange = message.method != "GET";
    absl::StatusOr<LibHttp::HttpResponse> response = LibHttp::httpCall(this->endpoint, message, timeout, responseLimitBytes);
    if (!response.ok()) {
        if (LibHttp::sendStateOf(response.status()) == LibHttp::SendState::NotSent || !isChange) {
            return absl::UnavailableError(AK::concat("object API: ", response.status().message()));
        }
        return absl::DeadlineExceededError(AK::concat("object API, outcome not known: ", response.status().message()));
    }
    if (response->status >= 300) {
        return statusOf(response->status, AK::concat(message.method, " ", message.path), response->body);
    }
    return std::move(response->body);
}

absl::StatusOr<StoredObject> HttpObjectStore::get(const std::string &kind, const std::string &name, AK::Milliseconds timeout)
{
    CATKINLINK_ASSIGN(const std::string body, this->request({.path = objectPath(kind, name)}, timeout));
    CATKINLINK_ASSIGN(const nlohmann::json json, parseJsonObject(body));
    return parseObject(json, name);
}

absl::StatusOr<StoredObject> HttpObjectStore::watch(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds wait)
{
    const LibHttp::HttpRequest message{.path = objectPath(kind, name), .query = AK::concat("watch=", version, "&timeout_ms=", wait)};
    CATKINLINK_ASSIGN(const std::string body, this->request(message, wait + watchMarginMs));
    CATKINLINK_ASSIGN(const nlohmann::json json, parseJsonObject(body));
    return parseObject(json, name);
}

absl::StatusOr<std::vector<StoredObject>> HttpObjectStore::list(const std::string &kind, const std::string &prefix, AK::Milliseconds timeout)
{
    const LibHttp::HttpRequest message{.path = AK::concat("/objects/", LibHttp::urlEncode(kind)), .query = AK::concat("prefix=", LibHttp::urlEncode(prefix))};
    CATKINLINK_ASSIGN(const std::string body, this->request(message, timeout));
    CATKINLINK_ASSIGN(const nlohmann::json json, parseJsonObject(body));
    const auto items = json.find("objects");
    if (items == json.end() || !items->is_array()) {
        return malformed("/objects is not an array");
    }
    std::vector<StoredObject> objects;
    for (const nlohmann::json &item : *items) {
        if (!item.is_object() || !item.contains("name") || !item["name"].is_string()) {
            return malformed(AK::concat("/objects/", objects.size(), "/name is not a string"));
        }
        CATKINLINK_ASSIGN(StoredObject object, parseObject(item, item["name"].get<std::string>()));
        objects.push_back(std::move(object));
    }
    return objects;
}

absl::StatusOr<uint64_t> HttpObjectStore::put(const std::string &kind, const std::string &name, const std::string &value, const std::string &conditionHeader,
                                              const std::string &conditionValue, AK::Milliseconds timeout)
{
    const LibHttp::HttpRequest message{.method = "PUT", .path = objectPath(kind, name), .headers = {{conditionHeader, conditionValue}}, .body = value};
    CATKINLINK_ASSIGN(const std::string body, this->request(message, timeout));
    CATKINLINK_ASSIGN(const nlohmann::json json, parseJsonObject(body));
    const auto version = json.find("version");
    if (version == json.end() || !version->is_number_unsigned()) {
        return malformed("/version is not an unsigned number");
    }
    return version->get<uint64_t>();
}

absl::StatusOr<uint64_t> HttpObjectStore::create(const std::string &kind, const std::string &name, const std::string &value, AK::Milliseconds timeout)
{
    return this->put(kind, name, value, "if-none-match", "*", timeout);
}

absl::StatusOr<uint64_t> HttpObjectStore::replace(const std::string &kind, const std::string &name, uint64_t version, const std::string &value,
                                                  AK::Milliseconds timeout)
{
    return this->put(kind, name, value, "if-match", std::to_string(version), timeout);
}

absl::Status HttpObjectStore::remove(const std::string &kind, const std::string &name, uint64_t version, AK::Milliseconds timeout)
{
    const LibHttp::HttpRequest message{.method = "DELETE", .path = objectPath(kind, name), .headers = {{"if-match", std::to_string(version)}}};
    return this->request(message, timeout).status();
}

absl::StatusOr<std::vector<HostEntry>> HttpObjectStore::hosts(AK::Milliseconds timeout)
{
    CATKINLINK_ASSIGN(const std::string body, this->request({.path = "/hosts"}, timeout));
    CATKINLINK_ASSIGN(const nlohmann::json json, parseJsonObject(body));
    const auto items = json.find("hosts");
    if (items == json.end() || !items->is_array()) {
        return malformed("/hosts is not an array");
    }
    std::vector<HostEntry> hosts;
    for (const nlohmann::json &item : *items) {
        const bool valid = item.is_object() && item.contains("name") && item["name"].is_string() && item.contains("address") && item["address"].is_string()
            && item.contains("state") && (item["state"] == "live" || item["state"] == "leaving");
        if (!valid) {
            return malformed(AK::concat("/hosts/", hosts.size(), " needs name, address and state \"live\" or \"leaving\""));
        }
        hosts.push_back({item["name"], item["address"], item["state"] == "leaving" ? HostState::Leaving : HostState::Live});
    }
    return hosts;
}

uint64_t HttpObjectStore::callCount() const
{
    return this->calls;
}

} // namespace LibObjectStore
