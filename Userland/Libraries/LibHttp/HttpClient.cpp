#include <LibHttp/HttpClient.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <absl/strings/cord.h>

namespace LibHttp
{

namespace
{

constexpr size_t lineLimitBytes = 1 << 20;
constexpr const char *notSentPayload = "catkinlink.not_sent";

absl::Status notSent(const std::string &message)
{
    absl::Status status = absl::UnavailableError(message);
    status.SetPayload(notSentPayload, absl::Cord("1"));
    return status;
}

std::string serialize(const AK::Endpoint &target, const HttpRequest &request)
{
    std::string text = AK::concat(request.method, " ", request.path, request.query.empty() ? "" : "?", request.query, " HTTP/1.1\r\nhost: ", target.text());
    for (const auto &[name, value] : request.headers) {
        text += AK::concat("\r\n", name, ": ", value);
    }
    text += AK::concat("\r\nconnection: close\r\ncontent-length: ", request.body.size(), "\r\n\r\n", request.body);
    return text;
}

} // namespace

SendState sendStateOf(const absl::Status &status)
{
    return status.GetPayload(notSentPayload) ? SendState::NotSent : SendState::Sent;
}

HttpStream::HttpStream(ResponseReader reader, const LibHttpStream::ResponseHead &head)
    : reader(std::move(reader))
    , code(head.status)
{
    for (const auto &[name, value] : head.headers) {
        this->head[AK::toLower(name)] = value;
    }
}

int HttpStream::status() const
{
    return this->code;
}

const HttpHeaders &HttpStream::headers() const
{
    return this->head;
}

absl::StatusOr<std::unique_ptr<HttpStream>> HttpStream::open(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds timeout)
{
    const AK::Milliseconds deadline = AK::SystemClock().now() + std::max<AK::Milliseconds>(1, timeout);
    auto connection = ClientSocket::connect(target, deadline);
    if (!connection.ok()) {
        return notSent(AK::concat("cannot connect to ", target.text(), ": ", connection.status().message()));
    }
    const std::string text = serialize(target, request);
    if (const absl::Status written = (*connection)->write(text, deadline); !written.ok()) {
        return absl::Status(written.code(),
                            AK::concat("connection to ", target.text(), " broke while sending ", request.method, " ", request.path, ": ", written.message()));
    }
    ResponseReader reader(std::move(*connection), deadline);
    auto head = reader.readHead(request.method);
    if (!head.ok()) {
        return absl::Status(
            head.status().code(),
            AK::concat("no response from ", target.text(), " to ", request.method, " ", request.path, " within ", timeout, " ms: ", head.status().message()));
    }
    return std::unique_ptr<HttpStream>(new HttpStream(std::move(reader), *head));
}

absl::StatusOr<std::optional<std::string>> HttpStream::readLine()
{
    std::string line;
    while (true) {
        CATKINLINK_ASSIGN(const std::string_view arrived, this->reader.peek());
        if (arrived.empty()) {
            return line.empty() ? std::optional<std::string>() : std::optional(std::move(line));
        }
        const size_t size = std::min(arrived.find('\n'), arrived.size());
        if (line.size() + size > lineLimitBytes) {
            return absl::DataLossError(AK::concat("a line of the response body exceeds ", lineLimitBytes, " bytes"));
        }
        line.append(arrived.substr(0, size));
        const bool ended = size < arrived.size();
        this->reader.consume(ended ? size + 1 : size);
        if (ended) {
            if (line.ends_with('\r')) {
                line.pop_back();
            }
            return std::optional(std::move(line));
        }
    }
}

absl::StatusOr<std::string> HttpStream::readAll(size_t limit)
{
    std::string body;
    if (this->reader.framing().kind == LibHttpStream::FramingKind::Length && this->reader.framing().length > limit) {
        return absl::DataLossError(AK::concat("response body of ", this->reader.framing().length, " bytes exceeds ", limit, " bytes"));
    }
    while (true) {
        const absl::StatusOr<std::string_view> arrived = this->reader.peek();
        if (!arrived.ok()) {
            return absl::Status(arrived.status().code(), AK::concat(arrived.status().message(), " after ", body.size(), " bytes"));
        }
        if (arrived->empty()) {
            return body;
        }
        if (body.size() + arrived->size() > limit) {
            return absl::DataLossError(AK::concat("response body exceeds ", limit, " bytes"));
        }
        body.append(*arrived);
        this->reader.consume(arrived->size());
    }
}

void HttpStream::waitForActivity()
{
    this->reader.waitForActivity();
}

void HttpStream::cancel()
{
    this->reader.cancel();
}

absl::StatusOr<HttpResponse> httpCall(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds timeout, size_t bodyLimit)
{
    absl::StatusOr<std::unique_ptr<HttpStream>> stream = HttpStream::open(target, request, timeout);
    if (!stream.ok()) {
        return stream.status();
    }
    absl::StatusOr<std::string> body = (*stream)->readAll(bodyLimit);
    if (!body.ok()) {
        return body.status();
    }
    return HttpResponse{(*stream)->status(), (*stream)->headers(), std::move(*body)};
}

} // namespace LibHttp
