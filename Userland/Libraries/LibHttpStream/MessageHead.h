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

/// The value of the first header with the name, compared without case, or nullptr.
const std::string *findHeader(const Headers &headers, std::string_view name);

/// Compares ASCII text without case.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// True when the comma-separated value of a header holds the token.
bool hasToken(const Headers &headers, std::string_view name, std::string_view token);

/// True for headers that concern one connection only and are not forwarded.
bool isHopByHop(const Headers &headers, std::string_view name);

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

/// Parses the text up to the empty line that ends a head.
/// Errors: kInvalidArgument with what is wrong.
absl::StatusOr<RequestHead> parseRequestHead(std::string_view text);
absl::StatusOr<ResponseHead> parseResponseHead(std::string_view text);

/// How the body of a request is framed. Refuses what two readers could understand differently.
/// Errors: kInvalidArgument.
absl::StatusOr<BodyFraming> requestBodyFraming(const Headers &headers);

/// How the body of a response to `method` is framed.
/// Errors: kInvalidArgument.
absl::StatusOr<BodyFraming> responseBodyFraming(std::string_view method, const ResponseHead &head);

std::string serializeRequestHead(const RequestHead &head);
std::string serializeResponseHead(const ResponseHead &head);

/// The standard reason phrase of a status.
std::string_view reasonPhrase(int status);

/// One chunk of a chunked body; `data` must not be empty.
std::string encodeChunk(std::string_view data);

inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace LibHttpStream
