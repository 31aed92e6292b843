#include <Services/Entry/CallParser.h>

#include <AK/Hash.h>
#include <AK/Text.h>
#include <LibJson/BoundedJson.h>
#include <LibSettings/RouteChoice.h>
#include <algorithm>

namespace Entry
{

namespace
{

constexpr std::string_view servicesPrefix = "/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr AK::Milliseconds maximumDeadlineMs = 3'600'000;
// Part of the prompt that selects an upstream by affinity: shorter than most system prompts, longer than a common greeting.
constexpr size_t promptPrefixBytes = 512;
// The server bounds the size of a body further.
constexpr LibJson::JsonLimits requestLimits{size_t{64} << 20, 64, 1'000'000};

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i];
            continue;
        }
        const std::string digits(text.substr(i + 1, 2));
        if (digits.size() != 2 || digits.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos) {
            return std::nullopt;
        }
        result += static_cast<char>(std::stoi(digits, nullptr, 16));
        i += 2;
    }
    return result;
}

// The decoded path, or std::nullopt when an upstream could interpret it as another path than the one that is matched against the routes here.
std::optional<std::string> decodeUnambiguousPath(std::string_view path)
{
    std::optional<std::string> decoded = percentDecode(path);
    const bool encodedSlash = AK::toLower(path).find("%2f") != std::string::npos;
    const bool controlCharacter = decoded && std::any_of(decoded->begin(), decoded->end(), [](unsigned char c) { return c < 0x20 || c == 0x7f || c == '\\'; });
    if (!decoded || encodedSlash || controlCharacter || LibSettings::isAmbiguousPath(*decoded)) {
        return std::nullopt;
    }
    return decoded;
}

// Without a route only GET is repeatable.
bool isRepeatable(const LibSettings::ServiceSpec &service, const std::string &method, const std::string &path)
{
    const LibSettings::Route *route = LibSettings::routeFor(service, method, path);
    return route != nullptr ? route->repeatable : method == "GET";
}

std::optional<RequestError> authenticate(EntryCall &call)
{
    const std::string_view authorization = LibHttp::headerOr(call.request.headers, "authorization");
    if (authorization.starts_with(bearerPrefix)) {
        const std::string digest = AK::sha256Hex(authorization.substr(bearerPrefix.size()));
        for (const auto &[name, account] : call.configuration->site.accounts) {
            if (AK::equalInConstantTime(account.keySha256, digest)) {
                call.account = name;
                call.accountWeight = account.weight;
                call.priority = account.priority;
                return std::nullopt;
            }
        }
    }
    return RequestError{401, "unauthorized", "no client account has this bearer key", 0};
}

std::optional<RequestError> parseEngineCall(EntryCall &call)
{
    call.engine = true;
    call.path = call.request.path;
    if (call.request.method != "POST") {
        return RequestError{405, "method", AK::concat("method ", call.request.method, " is not allowed on ", call.request.path), 0};
    }
    const absl::StatusOr<nlohmann::json> parsed = LibJson::parseObject(call.request.body, requestLimits);
    if (!parsed.ok()) {
        return RequestError{400, "body", AK::concat("body: ", parsed.status().message()), 0};
    }
    const nlohmann::json &body = *parsed;
    if (!body.contains("model") || !body["model"].is_string()) {
        return RequestError{400, "body", "body must be a JSON object with a string field model", 0};
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return RequestError{400, "body", "field stream must be true or false", 0};
    }
    call.service = body["model"].get<std::string>();
    call.stream = body.value("stream", false);
    for (const char *field : {"prompt", "messages"}) {
        if (body.contains(field)) {
            call.prefix =
                AK::concat(call.service, " ", body[field].dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(0, promptPrefixBytes));
        }
    }
    return std::nullopt;
}

std::optional<RequestError> parsePlainCall(EntryCall &call)
{
    const std::string_view rest = std::string_view(call.request.path).substr(servicesPrefix.size());
    const size_t slash = rest.find('/');
    call.service = rest.substr(0, slash);
    const std::string path = slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    if (!LibSettings::isPlainCallMethod(call.request.method)) {
        return RequestError{405, "method", AK::concat("method ", call.request.method, " is not allowed on ", call.request.path), 0};
    }
    const std::optional<std::string> decoded = decodeUnambiguousPath(path);
    if (!decoded) {
        return RequestError{400, "path", AK::concat("path ", path, " is ambiguous"), 0};
    }
    call.path = call.request.query.empty() ? path : AK::concat(path, "?", call.request.query);
    const auto service = call.configuration->site.services.find(call.service);
    call.idempotencyKey = LibHttp::headerOr(call.request.headers, "idempotency-key");
    if (service != call.configuration->site.services.end()) {
        call.repeatable = isRepeatable(service->second, call.request.method, *decoded);
    }
    if (!call.repeatable && call.idempotencyKey.empty()) {
        return RequestError{400, "idempotency_key", AK::concat(call.request.method, " ", path, " may not be repeated and needs an Idempotency-Key"), 0};
    }
    return std::nullopt;
}

std::optional<RequestError> parseDeadline(EntryCall &call, AK::Milliseconds defaultDeadline)
{
    const std::string_view text = LibHttp::headerOr(call.request.headers, "x-deadline-ms");
    const std::optional<int64_t> requested = text.empty() ? std::optional<int64_t>(defaultDeadline) : AK::parseInteger(text);
    if (!requested || *requested < 1 || *requested > maximumDeadlineMs) {
        return RequestError{400, "deadline", AK::concat("X-Deadline-Ms is ", text, ", must be 1 to ", maximumDeadlineMs), 0};
    }
    call.deadline = call.startedAt + *requested;
    call.startBefore = call.deadline;
    return std::nullopt;
}

} // namespace

bool isCallPath(std::string_view path)
{
    return path == "/v1/completions" || path == "/v1/chat/completions" || path.starts_with(servicesPrefix);
}

std::variant<EntryCall, RequestError> parseCall(const LibHttp::HttpRequest &request, std::string requestId,
                                                std::shared_ptr<const LibConfiguration::Configuration> configuration, AK::Milliseconds now,
                                                AK::Milliseconds defaultDeadline)
{
    if (!configuration) {
        return RequestError{503, "no_configuration", "this entry has no configuration yet", 1'000};
    }
    EntryCall call;
    call.requestId = std::move(requestId);
    call.request = request;
    call.configuration = std::move(configuration);
    call.startedAt = now;
    std::optional<RequestError> error = authenticate(call);
    if (!error) {
        error = parseDeadline(call, defaultDeadline);
    }
    if (!error) {
        error = request.path.starts_with(servicesPrefix) ? parsePlainCall(call) : parseEngineCall(call);
    }
    if (error) {
        return *error;
    }
    const auto service = call.configuration->site.services.find(call.service);
    if (service == call.configuration->site.services.end() || call.engine != (service->second.kind == LibSettings::UpstreamKind::Engine)) {
        return RequestError{404, "unknown_service", AK::concat("no ", call.engine ? "engine" : "plain", " service is named ", call.service), 0};
    }
    return call;
}

} // namespace Entry
