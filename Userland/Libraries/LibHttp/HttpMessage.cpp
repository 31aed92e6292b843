#include <LibHttp/HttpMessage.h>

#include <array>
#include <cctype>
#include <civetweb.h>
#include <utility>

namespace LibHttp
{

std::string_view headerOr(const HttpHeaders &headers, std::string_view name, std::string_view fallback)
{
    const auto found = headers.find(name);
    return found == headers.end() ? fallback : std::string_view(found->second);
}

std::string queryParameter(const HttpRequest &request, std::string_view name, std::string_view fallback)
{
    std::string value(request.query.size() + 1, '\0');
    const int size = mg_get_var(request.query.data(), request.query.size(), std::string(name).c_str(), value.data(), value.size());
    return size < 0 ? std::string(fallback) : value.substr(0, static_cast<size_t>(size));
}

std::string urlEncode(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.' || character == '~') {
            encoded += character;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4];
            encoded += digits[byte & 15];
        }
    }
    return encoded;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

std::string_view reasonPhrase(int status)
{
    static constexpr std::array<std::pair<int, std::string_view>, 19> phrases{{
        {200, "OK"},
        {201, "Created"},
        {202, "Accepted"},
        {204, "No Content"},
        {206, "Partial Content"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {409, "Conflict"},
        {412, "Precondition Failed"},
        {413, "Content Too Large"},
        {416, "Range Not Satisfiable"},
        {422, "Unprocessable Content"},
        {429, "Too Many Requests"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    }};
    for (const auto &[code, phrase] : phrases) {
        if (code == status) {
            return phrase;
        }
    }
    return "Status";
}

} // namespace LibHttp
