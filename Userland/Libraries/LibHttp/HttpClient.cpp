#include <LibHttp/HttpClient.h>

#include <AK/Text.h>
#include <LibHttp/CivetWebLibrary.h>
#include <absl/strings/cord.h>
#include <array>
#include <civetweb.h>
#include <cstring>

namespace LibHttp
{

namespace
{

constexpr size_t lineLimitBytes = 1 << 20;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;
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

HttpStream::HttpStream(mg_connection *connection, int status, HttpHeaders headers, long long contentLength)
    : connection(connection)
    , code(status)
    , head(std::move(headers))
    , contentLength(contentLength)
    , chunked(AK::toLower(headerOr(this->head, "transfer-encoding")) == "chunked")
{
}

HttpStream::~HttpStream()
{
    mg_close_connection(this->connection);
}

int HttpStream::status() const
{
    return this->code;
}

const HttpHeaders &HttpStream::headers() const
{
    return this->head;
}

absl::StatusOr<std::unique_ptr<HttpStream>> HttpStream::open(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds headTimeout)
{
    initializeCivetWeb();
    std::array<char, 256> reason{};
    mg_connection *connection = mg_connect_client(target.host.c_str(), target.port, 0, reason.data(), reason.size());
    if (connection == nullptr) {
        return notSent(AK::concat("cannot connect to ", target.text(), ": ", reason.data()));
    }
    const std::string text = serialize(target, request);
    if (mg_write(connection, text.data(), text.size()) != static_cast<int>(text.size())) {
        mg_close_connection(connection);
        return absl::UnavailableError(AK::concat("connection to ", target.text(), " broke while sending ", request.method, " ", request.path));
    }
    if (mg_get_response(connection, reason.data(), reason.size(), static_cast<int>(std::max<AK::Milliseconds>(1, headTimeout))) < 0) {
        mg_close_connection(connection);
        return absl::DeadlineExceededError(
            AK::concat("no response from ", target.text(), " to ", request.method, " ", request.path, " within ", headTimeout, " ms: ", reason.data()));
    }
    const mg_response_info *info = mg_get_response_info(connection);
    if (info->status_code < lowestStatus || info->status_code > highestStatus) {
        const int status = info->status_code;
        mg_close_connection(connection);
        return absl::DataLossError(AK::concat("response from ", target.text(), " to ", request.method, " ", request.path, " has status ", status));
    }
    HttpHeaders headers;
    for (int i = 0; i < info->num_headers; ++i) {
        headers[AK::toLower(info->http_headers[i].name)] = info->http_headers[i].value;
    }
    return std::unique_ptr<HttpStream>(new HttpStream(connection, info->status_code, std::move(headers), info->content_length));
}

absl::StatusOr<std::optional<std::string>> HttpStream::readLine()
{
    std::string line;
    while (line.size() < lineLimitBytes) {
        if (this->contentLength >= 0 && this->received == this->contentLength) {
            return line.empty() ? std::optional<std::string>() : std::optional(std::move(line));
        }
        // A larger buffer would block until it is full, because mg_read waits for all of it on a chunked body.
        // FIXME: One byte per call costs about two system calls per byte; a stream parser on the socket would be cheaper.
        char byte = 0;
        const int size = mg_read(this->connection, &byte, 1);
        if (size < 0 || (size == 0 && this->contentLength >= 0)) {
            return absl::DataLossError("response body was cut");
        }
        if (size == 0) {
            return line.empty() ? std::optional<std::string>() : std::optional(std::move(line));
        }
        ++this->received;
        if (byte == '\n') {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            return std::optional(std::move(line));
        }
        line += byte;
    }
    return absl::DataLossError(AK::concat("a line of the response body exceeds ", lineLimitBytes, " bytes"));
}

absl::StatusOr<std::string> HttpStream::readAll(size_t limit)
{
    std::string body;
    std::string buffer(size_t{64} << 10, '\0');
    while (this->contentLength < 0 || this->received < this->contentLength) {
        const size_t wanted = this->contentLength < 0 ? buffer.size() : std::min(buffer.size(), static_cast<size_t>(this->contentLength - this->received));
        const int size = mg_read(this->connection, buffer.data(), wanted);
        if (size < 0 || (size == 0 && this->contentLength >= 0)) {
            return absl::DataLossError(AK::concat("response body was cut after ", this->received, " bytes"));
        }
        if (size == 0) {
            break;
        }
        this->received += size;
        body.append(buffer, 0, static_cast<size_t>(size));
        if (body.size() > limit) {
            return absl::DataLossError(AK::concat("response body exceeds ", limit, " bytes"));
        }
    }
    return body;
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
