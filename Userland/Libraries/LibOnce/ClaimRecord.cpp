#include <LibOnce/ClaimRecord.h>

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <nlohmann/json.hpp>

namespace LibOnce
{

namespace
{

using Json = nlohmann::json;

constexpr size_t nonceLimit = 64;
constexpr size_t textLimit = 4'096;
constexpr size_t headerBytesLimit = 8'192;
constexpr AK::Milliseconds latestTime = 253'402'300'799'999; // end of the year 9999

absl::Status invalid(const std::string &message)
{
    return absl::InvalidArgumentError(message);
}

absl::StatusOr<std::string> readText(const Json &json, const std::string &parent, const char *key, size_t limit, bool required)
{
    const auto found = json.find(key);
    if (found == json.end() && !required) {
        return std::string();
    }
    if (found == json.end() || !found->is_string()) {
        return invalid(AK::concat("claim field ", parent, "/", key, ": must be a string"));
    }
    auto text = found->get<std::string>();
    if (text.size() > limit || (required && text.empty())) {
        return invalid(AK::concat("claim field ", parent, "/", key, ": has ", text.size(), " bytes, limit ", limit));
    }
    return text;
}

absl::StatusOr<int64_t> readNumber(const Json &json, const std::string &parent, const char *key, int64_t least, int64_t most)
{
    const auto found = json.find(key);
    if (found == json.end() || !found->is_number_integer()) {
        return invalid(AK::concat("claim field ", parent, "/", key, ": must be an integer"));
    }
    const bool tooLarge = found->is_number_unsigned() && found->get<uint64_t>() > static_cast<uint64_t>(most);
    const auto number = found->get<int64_t>();
    if (tooLarge || number < least || number > most) {
        return invalid(AK::concat("claim field ", parent, "/", key, ": ", found->dump(), " is not in ", least, "..", most));
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

// JSON text is UTF-8; other bodies are kept in hex.
bool isUtf8(const std::string &text)
{
    try {
        return !Json(text).dump().empty();
    } catch (const Json::exception &) {
        return false;
    }
}

Json answerJson(const RecordedResponse &answer)
{
    Json json = {{"status", answer.response.status}, {"body_kept", answer.bodyKept}, {"body_bytes", answer.bodyBytes}, {"headers", Json::object()}};
    for (const auto &[name, value] : answer.response.headers) {
        json["headers"][name] = value;
    }
    if (answer.bodyKept) {
        if (isUtf8(answer.response.body)) {
            json["body"] = answer.response.body;
        } else {
            json["body_hex"] = toHex(answer.response.body);
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

absl::StatusOr<RecordedResponse> parseAnswer(const Json &record)
{
    const auto found = record.find("answer");
    if (found == record.end() || !found->is_object()) {
        return invalid("claim field /answer: must be an object in state done");
    }
    const Json &json = *found;
    RecordedResponse answer;
    CATKINLINK_ASSIGN(answer.response.status, readNumber(json, "/answer", "status", 100, 599));
    CATKINLINK_ASSIGN(answer.bodyBytes, readNumber(json, "/answer", "body_bytes", 0, int64_t{1} << 40));
    CATKINLINK_TRY(readHeaders(json, answer.response.headers));
    const auto kept = json.find("body_kept");
    if (kept == json.end() || !kept->is_boolean()) {
        return invalid("claim field /answer/body_kept: must be a boolean");
    }
    answer.bodyKept = kept->get<bool>();
    if (!answer.bodyKept) {
        return answer;
    }
    if (json.contains("body_hex")) {
        CATKINLINK_ASSIGN(const std::string hex, readText(json, "/answer", "body_hex", 2 * recordedBodyLimitBytes, false));
        CATKINLINK_ASSIGN(answer.response.body, fromHex(hex));
    } else {
        CATKINLINK_ASSIGN(answer.response.body, readText(json, "/answer", "body", recordedBodyLimitBytes, false));
    }
    // A shorter body would be replayed as if it were the whole answer.
    if (answer.response.body.size() != answer.bodyBytes) {
        return invalid(AK::concat("claim field /answer/body: has ", answer.response.body.size(), " bytes, body_bytes says ", answer.bodyBytes));
    }
    return answer;
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
    RecordedResponse answer{response, true, response.body.size()};
    size_t headerBytes = 0;
    for (const auto &[name, value] : response.headers) {
        headerBytes += name.size() + value.size();
    }
    if (headerBytes > headerBytesLimit) {
        const std::string type(LibHttp::headerOr(response.headers, "content-type").substr(0, 256));
        answer.response.headers = {{"content-type", type}};
    }
    if (response.body.size() > recordedBodyLimitBytes) {
        answer.bodyKept = false;
        answer.response.body.clear();
    }
    return answer;
}

std::string serializeClaim(const ClaimRecord &record)
{
    Json json = {{"format", 1},
                 {"state", AK::nameOf(claimStateNames, record.state)},
                 {"nonce", record.nonce},
                 {"body_sha256", record.bodyDigest},
                 {"owner", record.owner.substr(0, textLimit)},
                 {"account", record.account.substr(0, textLimit)},
                 {"service", record.service.substr(0, textLimit)},
                 {"method", record.method.substr(0, textLimit)},
                 {"path", record.path.substr(0, textLimit)},
                 {"idempotency_key", record.idempotencyKey.substr(0, textLimit)},
                 {"claimed_at_ms", record.claimedAt},
                 {"expires_at_ms", record.expiresAt},
                 {"reason", record.reason.substr(0, textLimit)}};
    if (record.state == ClaimState::Done) {
        json["answer"] = answerJson(record.recordedResponse);
    }
    std::string text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (text.size() > claimLimitBytes && record.state == ClaimState::Done && record.recordedResponse.bodyKept) {
        ClaimRecord smaller = record;
        smaller.recordedResponse.bodyKept = false;
        return serializeClaim(smaller);
    }
    return text;
}

absl::StatusOr<ClaimRecord> parseClaim(std::string_view text)
{
    if (text.size() > claimLimitBytes) {
        return invalid(AK::concat("claim: has ", text.size(), " bytes, limit ", claimLimitBytes));
    }
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return invalid("claim: is no JSON object");
    }
    CATKINLINK_TRY(readNumber(json, "", "format", 1, 1).status());
    ClaimRecord record;
    CATKINLINK_ASSIGN(const std::string stateName, readText(json, "", "state", 32, true));
    const auto state = AK::valueOf(claimStateNames, stateName);
    if (!state) {
        return invalid(AK::concat("claim field /state: '", stateName, "' is no state"));
    }
    record.state = *state;
    CATKINLINK_ASSIGN(record.nonce, readText(json, "", "nonce", nonceLimit, true));
    CATKINLINK_ASSIGN(record.bodyDigest, readText(json, "", "body_sha256", nonceLimit, true));
    // Invalid UTF-8 becomes three bytes when it is written.
    const std::array texts{std::pair{"owner", &record.owner},   std::pair{"account", &record.account}, std::pair{"service", &record.service},
                           std::pair{"method", &record.method}, std::pair{"path", &record.path},       std::pair{"idempotency_key", &record.idempotencyKey},
                           std::pair{"reason", &record.reason}};
    for (const auto &[key, target] : texts) {
        CATKINLINK_ASSIGN(*target, readText(json, "", key, 3 * textLimit, false));
    }
    CATKINLINK_ASSIGN(record.claimedAt, readNumber(json, "", "claimed_at_ms", 0, latestTime));
    CATKINLINK_ASSIGN(record.expiresAt, readNumber(json, "", "expires_at_ms", 0, latestTime));
    if (record.state == ClaimState::Done) {
        CATKINLINK_ASSIGN(record.recordedResponse, parseAnswer(json));
    }
    return record;
}

} // namespace LibOnce
