#include <LibHttpStream/MessageHead.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>
#include <array>
#include <iterator>
#include <kj/compat/http.h>
#include <unordered_set>

namespace LibHttpStream
{

namespace
{

constexpr std::array<std::string_view, 8> hopByHopNames{
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
};

constexpr std::string_view lineEnd = "\r\n";

constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

const kj::HttpHeaderTable &headerTable()
{
    static const kj::Own<kj::HttpHeaderTable> table = kj::HttpHeaderTable::Builder().build();
    return *table;
}

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + ('a' - 'A')) : letter;
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

Headers copyHeaders(const kj::HttpHeaders &parsed)
{
    Headers headers;
    parsed.forEach([&](kj::StringPtr name, kj::StringPtr value) { headers.push_back({std::string(name.cStr()), std::string(value.cStr())}); });
    return headers;
}

absl::Status protocolError(const kj::HttpHeaders::ProtocolError &error)
{
    return absl::InvalidArgumentError(std::string(error.description.cStr()));
}

// Whether no byte of the line ends it in the eyes of another reader.
bool hasOnlyLineBytes(std::string_view line)
{
    constexpr std::string_view lineEnders("\r\n\0", 3);
    return line.find_first_of(lineEnders) == std::string_view::npos;
}

// The tokens in the comma-separated values of a header.
std::vector<std::string_view> tokensOf(const Headers &headers, std::string_view name)
{
    std::vector<std::string_view> tokens;
    for (const Header &header : headers) {
        if (!equalsIgnoringCase(header.name, name)) {
            continue;
        }
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const size_t comma = std::min(rest.find(','), rest.size());
            tokens.push_back(trim(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return tokens;
}

size_t countHeaders(const Headers &headers, std::string_view name)
{
    return static_cast<size_t>(std::count_if(headers.begin(), headers.end(), [&](const Header &header) { return equalsIgnoringCase(header.name, name); }));
}

absl::StatusOr<BodyFraming> declaredFraming(const Headers &headers)
{
    const std::string *encoding = findHeader(headers, "Transfer-Encoding");
    const std::string *length = findHeader(headers, "Content-Length");
    if (countHeaders(headers, "Transfer-Encoding") > 1 || countHeaders(headers, "Content-Length") > 1 || (encoding != nullptr && length != nullptr)) {
        return absl::InvalidArgumentError("more than one framing of the body is declared");
    }
    if (encoding != nullptr) {
        if (!equalsIgnoringCase(trim(*encoding), "chunked")) {
            return absl::InvalidArgumentError("unsupported Transfer-Encoding " + *encoding);
        }
        return BodyFraming{FramingKind::Chunked, 0};
    }
    if (length != nullptr) {
        const std::optional<int64_t> bytes = AK::parseInteger(*length);
        if (!bytes || *bytes < 0 || (*length)[0] == '+') {
            return absl::InvalidArgumentError("invalid Content-Length " + *length);
        }
        return BodyFraming{FramingKind::Length, static_cast<uint64_t>(*bytes)};
    }
    return BodyFraming{};
}

// The status in the first line of a response, or 0 when it has none. A status code has exactly three digits, behind one space (RFC 9112, 4); the parser would
// take any number behind any blanks and narrow it. No request of ours asks for another protocol, so nothing may switch to one.
int statusIn(std::string_view text)
{
    constexpr int switchingProtocols = 101;
    std::string_view line = text.substr(0, text.find_first_of("\r\n"));
    line.remove_prefix(std::min(line.find_first_of(" \t"), line.size()));
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    const std::string_view digits = line.substr(0, line.find(' '));
    const bool threeDigits = digits.size() == 3 && digits.find_first_not_of("0123456789") == std::string_view::npos;
    const auto status = static_cast<int>(threeDigits ? AK::parseInteger(digits).value_or(0) : 0);
    return status >= lowestStatus && status <= highestStatus && status != switchingProtocols ? status : 0;
}

// Checks that each line of a head but the first is a field, and that none holds the end of another. The parser would take names with blanks, join folded lines
// and end a line at a lone CR or LF.
absl::Status checkLines(std::string_view text)
{
    for (bool first = true; !text.empty(); first = false) {
        const size_t size = std::min(text.find(lineEnd), text.size());
        const std::string_view line = text.substr(0, size);
        text.remove_prefix(std::min(size + lineEnd.size(), text.size()));
        if (first ? !hasOnlyLineBytes(line) : !isFieldLine(line)) {
            return absl::InvalidArgumentError(first ? "the first line holds a CR, LF or NUL" : "a line of the head is no field");
        }
    }
    return absl::OkStatus();
}

} // namespace

bool isToken(std::string_view text)
{
    constexpr std::string_view signs = "!#$%&'*+-.^_`|~";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](char byte) {
        return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z') || signs.find(byte) != std::string_view::npos;
    });
}

bool isFieldLine(std::string_view line)
{
    const size_t colon = line.find(':');
    return colon != std::string_view::npos && isToken(line.substr(0, colon)) && hasOnlyLineBytes(line);
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lower(a) == lower(b); });
}

const std::string *findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header &header) { return equalsIgnoringCase(header.name, name); });
    return found == headers.end() ? nullptr : &found->value;
}

bool hasToken(const Headers &headers, std::string_view name, std::string_view token)
{
    const std::vector<std::string_view> tokens = tokensOf(headers, name);
    return std::any_of(tokens.begin(), tokens.end(), [&](std::string_view listed) { return equalsIgnoringCase(listed, token); });
}

Headers endToEndHeaders(const Headers &headers)
{
    std::unordered_set<std::string> dropped;
    for (const std::string_view name : hopByHopNames) {
        dropped.emplace(name);
    }
    for (const std::string_view token : tokensOf(headers, "Connection")) {
        dropped.insert(AK::toLower(token));
    }
    Headers result;
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(result), [&](const Header &header) { return !dropped.contains(AK::toLower(header.name)); });
    return result;
}

absl::StatusOr<RequestHead> parseRequestHead(std::string_view text)
{
    CATKINLINK_TRY(checkLines(text));
    kj::Array<char> content = kj::heapArray<char>(text.data(), text.size());
    kj::HttpHeaders parsed(headerTable());
    const auto result = parsed.tryParseRequest(content);
    KJ_SWITCH_ONEOF(result)
    {
        KJ_CASE_ONEOF(request, kj::HttpHeaders::Request)
        {
            return RequestHead{std::string(kj::str(request.method).cStr()), std::string(request.url.cStr()), copyHeaders(parsed)};
        }
        KJ_CASE_ONEOF(error, kj::HttpHeaders::ProtocolError)
        {
            return protocolError(error);
        }
    }
    return absl::InternalError("the parser returned neither a request nor an error");
}

absl::StatusOr<ResponseHead> parseResponseHead(std::string_view text)
{
    const int status = statusIn(text);
    if (status == 0) {
        return absl::InvalidArgumentError(AK::concat("the status must be three digits from ", lowestStatus, " to ", highestStatus, " and not 101"));
    }
    CATKINLINK_TRY(checkLines(text));
    kj::Array<char> content = kj::heapArray<char>(text.data(), text.size());
    kj::HttpHeaders parsed(headerTable());
    const auto result = parsed.tryParseResponse(content);
    KJ_SWITCH_ONEOF(result)
    {
        KJ_CASE_ONEOF(response, kj::HttpHeaders::Response)
        {
            if (response.statusCode != static_cast<kj::uint>(status)) {
                return absl::InvalidArgumentError("the status line is ambiguous");
            }
            return ResponseHead{status, std::string(response.statusText.cStr()), copyHeaders(parsed)};
        }
        KJ_CASE_ONEOF(error, kj::HttpHeaders::ProtocolError)
        {
            return protocolError(error);
        }
    }
    return absl::InternalError("the parser returned neither a response nor an error");
}

absl::StatusOr<BodyFraming> requestBodyFraming(const Headers &headers)
{
    return declaredFraming(headers);
}

absl::StatusOr<BodyFraming> responseBodyFraming(std::string_view method, const ResponseHead &head)
{
    if (method == "HEAD" || head.status / 100 == 1 || head.status == 204 || head.status == 304) {
        return BodyFraming{};
    }
    absl::StatusOr<BodyFraming> framing = declaredFraming(head.headers);
    if (framing.ok() && framing->kind == FramingKind::None) {
        framing->kind = FramingKind::UntilClose;
    }
    return framing;
}

std::string serializeRequestHead(const RequestHead &head)
{
    std::string text = AK::concat(head.method, " ", head.target, " HTTP/1.1\r\n");
    for (const Header &header : head.headers) {
        text += AK::concat(header.name, ": ", header.value, "\r\n");
    }
    return text + "\r\n";
}

std::string serializeResponseHead(const ResponseHead &head)
{
    std::string text = AK::concat("HTTP/1.1 ", head.status, " ", head.reason, "\r\n");
    for (const Header &header : head.headers) {
        text += AK::concat(header.name, ": ", header.value, "\r\n");
    }
    return text + "\r\n";
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 431:
        return "Request Header Fields Too Large";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Unknown";
    }
}

std::string encodeChunk(std::string_view data)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (size_t rest = data.size(); rest > 0; rest /= 16) {
        size.insert(size.begin(), digits[rest % 16]);
    }
    return AK::concat(size, "\r\n", data, "\r\n");
}

} // namespace LibHttpStream
