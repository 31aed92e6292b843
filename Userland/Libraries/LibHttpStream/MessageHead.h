#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace LibHttpStream
{

struct Header {
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// The value of the first header with the name (case-insensitive), or nullptr.
const std::string *findHeader(const Headers &headers, std::string_view name);

/// Compares ASCII text case-insensitively.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// True when the comma-separated value of a header contains the token.
bool hasToken(const Headers &headers, std::string_view name, std::string_view token);

/// The headers without those that apply to a single connection (RFC 9110, 7.6.1) and those that frame the body. Takes time in proportion to their size, also
/// when Connection lists thousands of names.
Headers endToEndHeaders(const Headers &headers);

struct RequestHead {
    std::string method;
    std::string target;
    Headers headers;
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    Headers headers;
};

enum class FramingKind {
    None,
    Length,
    Chunked,
    /// The end of the connection ends the body; only in responses.
    UntilClose,
};

struct BodyFraming {
    FramingKind kind = FramingKind::None;
    uint64_t length = 0;
};

/// Whether the text is a token (RFC 9110, 5.6.2), as each name of a field is.
bool isToken(std::string_view text);

/// Whether a line without its end is a field of a head or of trailers: a token, directly followed by a colon (RFC 9112, 5). A value that is folded over several
/// lines (5.2), and a lone CR, LF or a NUL in a value (RFC 9110, 5.5), are refused.
bool isFieldLine(std::string_view line);

/// Parses a head without the empty line that ends it.
/// Errors: kInvalidArgument naming the fault. A status that is not three digits from 100 to 599 is one, and a line that is no field another.
absl::StatusOr<RequestHead> parseRequestHead(std::string_view text);
absl::StatusOr<ResponseHead> parseResponseHead(std::string_view text);

/// How the body of a request is framed. Refuses ambiguous framing, which two parsers could read differently (request smuggling).
/// Errors: kInvalidArgument.
absl::StatusOr<BodyFraming> requestBodyFraming(const Headers &headers);

/// How the body of a response to `method` is framed.
/// Errors: kInvalidArgument.
absl::StatusOr<BodyFraming> responseBodyFraming(std::string_view method, const ResponseHead &head);

std::string serializeRequestHead(const RequestHead &head);
std::string serializeResponseHead(const ResponseHead &head);

/// The reason phrase of a status code, for example "Not Found".
std::string_view reasonPhrase(int status);

/// One chunk of a chunked body; `data` must not be empty.
std::string encodeChunk(std::string_view data);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace LibHttpStream
