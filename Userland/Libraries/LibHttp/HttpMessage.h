#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace LibHttp
{

/// Header names in lower case.
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

struct HttpRequest {
    std::string method = "GET";
    /// Path without the query, as sent (not URL-decoded).
    std::string path = "/";
    /// Query string without '?'.
    std::string query;
    HttpHeaders headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// The value of a header (name in lower case), or the fallback.
std::string_view headerOr(const HttpHeaders &headers, std::string_view name, std::string_view fallback = {});

/// The URL-decoded value of a query parameter, or the fallback.
std::string queryParameter(const HttpRequest &request, std::string_view name, std::string_view fallback = {});

/// Percent-encodes all but the unreserved characters of RFC 3986.
std::string urlEncode(std::string_view text);

/// A JSON response.
HttpResponse jsonResponse(int status, std::string body);

/// The reason phrase of a status code, for example "Not Found".
std::string_view reasonPhrase(int status);

} // namespace LibHttp
