#include <LibOnce/ClaimRecord.h>

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibJson/BoundedJson.h>

namespace LibOnce
{

namespace
{

using Json = nlohmann::json;

constexpr size_t nonceLimitBytes = 64;
constexpr size_t textLimitBytes = 4'096;
constexpr size_t headerLimitBytes = 8'192;
constexpr AK::Milliseconds latestTimeMs = 253'402'300'799'999; // end of the year 9999

absl::Status invalid(const std::string &message)
{
    return absl::InvalidArgumentError(message);
}

absl::StatusOr<std::string> readText(const Json &json, const std::string &parentPath, const char *key, size_t limit, bool required)
{
    const auto found = json.find(key);
    if (found == json.end() && !required) {
        return std::string();
    }
    if (found == json.end() || !found->is_string()) {
        return invalid(AK::concat("claim field ", parentPath, "/", key, ": must be a string"));
    }
    auto text = found->get<std::string>();
    if (text.size() > limit || (required && text.empty())) {
        return invalid(AK::concat("claim field ", parentPath, "/", key, ": has ", text.size(), " bytes, limit ", limit));
    }
    return text;
}

absl::StatusOr<int64_t> readNumber(const Json &json, const std::string &parentPath, const char *key, int64_t minimum, int64_t maximum)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_integer()) {
        return invalid(AK::concat("claim field ", parentPath, "/", key, ": must be an integer"));
    }
    const bool tooLarge = found->is_number_unsigned() && found->get<uint64_t>() > static_cast<uint64_t>(maximum);
    const auto number = found->get<int64_t>();
    if (tooLarge || number < minimum || number > maximum) {
        return invalid(AK::concat("claim field ", parentPath, "/", key, ": ", found->dump(), " is not in ", minimum, "..", maximum));
    }
    return number;
}

std::string toHex(std::string_view data)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const char character : data) {
        const auto byte = static_cast<unsigned char>(character);
        hex += digits[byte >> 4];
        hex += digits[byte & 15];
    }
    return hex;
}

absl::StatusOr<std::string> fromHex(std::string_view hex)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string data;
    for (size_t at = 0; at + 1 < hex.size(); at += 2) {
        const size_t high = digits.find(hex[at]);
        const size_t low = digits.find(hex[at + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos) {
            return invalid(AK::concat("claim field /answer/body_hex: no hex digit near byte ", at));
        }
        data += static_cast<char>(high << 4 | low);
    }
    if (hex.size() % 2 != 0) {
        return invalid(AK::concat("claim field /answer/body_hex: odd length ", hex.size()));
    }
    return data;
}

// JSON strings are UTF-8; any other body is stored as hex digits.
bool isUtf8(const std::string &text)
{
    try {
        return !Json(text).dump().empty();
    } catch (const Json::exception &) {
        return false;
    }
}

Json responseToJson(const RecordedResponse &recorded)
{
    Json json = {{"status", recorded.response.status}, {"body_kept", recorded.bodyKept}, {"body_bytes", recorded.bodyBytes}, {"headers", Json::object()}};
    for (const auto &[name, value] : recorded.response.headers) {
        json["headers"][name] = value;
    }
    if (recorded.bodyKept) {
        if (isUtf8(recorded.response.body)) {
            json["body"] = recorded.response.body;
        } else {
            json["body_hex"] = toHex(recorded.response.body);
        }
    }
    return json;
}

absl::Status readHeaders(const Json &json, LibHttp::HttpHeaders &headers)
{
    const auto found = json.find("headers");
    if (found == json.end() || !found->is_object()) {
        return invalid("claim field /answer/headers: must be an object");
    }
    for (const auto &[name, value] : found->items()) {
        if (!value.is_string()) {
            return invalid(AK::concat("claim field /answer/headers/", name, ": must be a string"));
        }
        headers[name] = value.get<std::string>();
    }
    return absl::OkStatus();
}

absl::StatusOr<RecordedResponse> parseRecordedResponse(const Json &record)
{
    const auto found = record.find("answer");
    if (found == record.end() || !found->is_object()) {
        return invalid("claim field /answer: must be an object in state done");
    }
    const Json &json = *found;
    RecordedResponse recorded;
    CATKINLINK_ASSIGN(recorded.response.status, readNumber(json, "/answer", "status", 100, 599));
    CATKINLINK_ASSIGN(recorded.bodyBytes, readNumber(json, "/answer", "body_bytes", 0, int64_t{1} << 40));
    CATKINLINK_TRY(readHeaders(json, recorded.response.headers));
    const auto kept = json.find("body_kept");
    if (kept == json.end() || !kept->is_boolean()) {
        return invalid("claim field /answer/body_kept: must be a boolean");
    }
    recorded.bodyKept = kept->get<bool>();
    if (!recorded.bodyKept) {
        return recorded;
    }
    if (json.contains("body_hex")) {
        CATKINLINK_ASSIGN(const std::string hex, readText(json, "/answer", "body_hex", 2 * recordedBodyLimitBytes, false));
        CATKINLINK_ASSIGN(recorded.response.body, fromHex(hex));
    } else {
        CATKINLINK_ASSIGN(recorded.response.body, readText(json, "/answer", "body", recordedBodyLimitBytes, false));
    }
    // A truncated body would be replayed as if it were complete.
    if (recorded.response.body.size() != recorded.bodyBytes) {
        return invalid(AK::concat("claim field /answer/body: has ", recorded.response.body.size(), " bytes, body_bytes says ", recorded.bodyBytes));
    }
    return recorded;
}

} // namespace

std::string claimName(const OnceRequest &request)
{
    std::string encoded = "catkinlink-claim-1";
    for (const std::string *part : {&request.account, &request.service, &request.method, &request.path, &request.idempotencyKey}) {
        encoded += AK::concat("|", part->size(), ":", *part);
    }
    return AK::sha256Hex(encoded);
}

std::string claimBodyDigest(const OnceRequest &request)
{
    return AK::sha256Hex(request.body);
}

RecordedResponse toRecordedResponse(const LibHttp::HttpResponse &response)
{
    RecordedResponse recorded{response, true, response.body.size()};
    size_t headerBytes = 0;
    for (const auto &[name, value] : response.headers) {
        headerBytes += name.size() + value.size();
    }
    if (headerBytes > headerLimitBytes) {
        const std::string type(LibHttp::headerOr(response.headers, "content-type").substr(0, 256));
        recorded.response.headers = {{"content-type", type}};
    }
    if (response.body.size() > recordedBodyLimitBytes) {
        recorded.bodyKept = false;
        recorded.response.body.clear();
    }
    return recorded;
}

std::string serializeClaim(const ClaimRecord &record)
{
    Json json = {{"format", 1},
                 {"state", AK::nameOf(claimStateNames, record.state)},
                 {"nonce", record.nonce},
                 {"body_sha256", record.bodyDigest},
                 {"owner", record.owner.substr(0, textLimitBytes)},
                 {"account", record.account.substr(0, textLimitBytes)},
                 {"service", record.service.substr(0, textLimitBytes)},
                 {"method", record.method.substr(0, textLimitBytes)},
                 {"path", record.path.substr(0, textLimitBytes)},
                 {"idempotency_key", record.idempotencyKey.substr(0, textLimitBytes)},
                 {"claimed_at_ms", record.claimedAt},
                 {"expires_at_ms", record.expiresAt},
                 {"reason", record.reason.substr(0, textLimitBytes)}};
    if (record.state == ClaimState::Done) {
        json["answer"] = responseToJson(record.recordedResponse);
    }
    std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (text.size() > maxClaimBytes && record.state == ClaimState::Done && record.recordedResponse.bodyKept) {
        ClaimRecord smaller = record;
        smaller.recordedResponse.bodyKept = false;
        return serializeClaim(smaller);
    }
    return text;
}

absl::StatusOr<ClaimRecord> parseClaim(std::string_view text)
{
    const absl::StatusOr<Json> parsed = LibJson::parseObject(text, {maxClaimBytes, 8, 10'000});
    if (!parsed.ok()) {
        return invalid(AK::concat("claim: ", parsed.status().message()));
    }
    const Json &json = *parsed;
    CATKINLINK_TRY(readNumber(json, "", "format", 1, 1).status());
    ClaimRecord record;
    CATKINLINK_ASSIGN(const std::string stateName, readText(json, "", "state", 32, true));
    const auto state = AK::valueOf(claimStateNames, stateName);
    if (!state) {
        return invalid(AK::concat("claim field /state: '", stateName, "' is no state"));
    }
    record.state = *state;
    CATKINLINK_ASSIGN(record.nonce, readText(json, "", "nonce", nonceLimitBytes, true));
    CATKINLINK_ASSIGN(record.bodyDigest, readText(json, "", "body_sha256", nonceLimitBytes, true));
    // Each invalid UTF-8 byte is written as a replacement character of three bytes.
    const std::array texts{std::pair{"owner", &record.owner},   std::pair{"account", &record.account}, std::pair{"service", &record.service},
                           std::pair{"method", &record.method}, std::pair{"path", &record.path},       std::pair{"idempotency_key", &record.idempotencyKey},
                           std::pair{"reason", &record.reason}};
    for (const auto &[key, target] : texts) {
        CATKINLINK_ASSIGN(*target, readText(json, "", key, 3 * textLimitBytes, false));
    }
    CATKINLINK_ASSIGN(record.claimedAt, readNumber(json, "", "claimed_at_ms", 0, latestTimeMs));
    CATKINLINK_ASSIGN(record.expiresAt, readNumber(json, "", "expires_at_ms", 0, latestTimeMs));
    if (record.state == ClaimState::Done) {
        CATKINLINK_ASSIGN(record.recordedResponse, parseRecordedResponse(json));
    }
    return record;
}

} // namespace LibOnce
