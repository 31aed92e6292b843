#include <LibHttp/HttpServer.h>

#include <AK/Text.h>
#include <LibHttp/CivetWebLibrary.h>
#include <LibHttpStream/MessageHead.h>
#include <algorithm>
#include <array>
#include <civetweb.h>
#include <cstdio>
#include <cstring>
#include <optional>

namespace LibHttp
{

namespace
{

constexpr AK::Milliseconds idlePollMs = 5;

// Whether each line of the head is a field whose name is a token, directly followed by a colon. CivetWeb drops blanks round a name, takes a lone LF for the end
// of a line, and stops at a line that begins otherwise or at the 65th field, without an error. It parses the head in place, so that its pointers tell the lines
// apart: the end of a line becomes two NULs, and so do a blank before a colon and that colon; the last byte of the head becomes one.
bool hasOnlyFields(const mg_request_info &info)
{
    const char *lineEnd = info.http_version + std::strlen(info.http_version);
    for (int i = 0; i < info.num_headers; ++i) {
        const mg_header &field = info.http_headers[i];
        const char *nameEnd = field.name + std::strlen(field.name);
        const bool hasBlankBeforeColon = field.value > nameEnd + 1 && nameEnd[1] == '\0';
        if (field.name != lineEnd + 2 || !LibHttpStream::isToken(field.name) || hasBlankBeforeColon) {
            return false;
        }
        lineEnd = field.value + std::strlen(field.value);
    }
    if (info.num_headers == 0) {
        // Blanks and line ends after the first line all become NULs. HTTP/1.1 requires Host (RFC 9112, 3.2).
        return std::string_view(info.http_version) == "1.0" && lineEnd[2] == '\0';
    }
    return std::string_view(lineEnd, 4) == std::string_view("\0\0\r\0", 4);
}

HttpRequest readHead(mg_connection *connection)
{
    const mg_request_info *info = mg_get_request_info(connection);
    HttpRequest request;
    request.method = info->request_method;
    request.path = info->request_uri;
    request.query = info->query_string != nullptr ? info->query_string : "";
    for (int i = 0; i < info->num_headers; ++i) {
        request.headers[AK::toLower(info->http_headers[i].name)] = info->http_headers[i].value;
    }
    return request;
}

// The body, or std::nullopt when it exceeds the limit or ends before its Content-Length.
std::optional<std::string> readBody(mg_connection *connection, size_t limit)
{
    const long long contentLength = mg_get_request_info(connection)->content_length;
    if (contentLength > static_cast<long long>(limit)) {
        return std::nullopt;
    }
    std::string body;
    std::string buffer(8192, '\0');
    while (true) {
        const int size = mg_read(connection, buffer.data(), buffer.size());
        if (size <= 0) {
            const bool complete = size == 0 && (contentLength < 0 || body.size() == static_cast<size_t>(contentLength));
            return complete ? std::optional(std::move(body)) : std::nullopt;
        }
        body.append(buffer, 0, static_cast<size_t>(size));
        if (body.size() > limit) {
            return std::nullopt;
        }
    }
}

void discardBody(mg_connection *connection, size_t limit)
{
    std::string buffer(8192, '\0');
    size_t discarded = 0;
    int size = 0;
    do {
        size = mg_read(connection, buffer.data(), buffer.size());
        discarded += static_cast<size_t>(std::max(0, size));
    } while (size > 0 && discarded < limit);
}

std::string chunkOf(std::string_view data)
{
    std::array<char, 17> size{};
    std::snprintf(size.data(), size.size(), "%zx", data.size());
    return AK::concat(size.data(), "\r\n", data, "\r\n");
}

class CountGuard
{
public:
    explicit CountGuard(std::atomic<int> &counter)
        : counter(counter)
    {
        ++this->counter;
    }
    ~CountGuard()
    {
        --this->counter;
    }
    CountGuard(const CountGuard &) = delete;
    CountGuard &operator=(const CountGuard &) = delete;

private:
    std::atomic<int> &counter;
};

} // namespace

HttpExchange::HttpExchange(mg_connection *connection, HttpRequest request)
    : connection(connection)
    , message(std::move(request))
{
}

const HttpRequest &HttpExchange::request() const
{
    return this->message;
}

bool HttpExchange::writeHead(int status, const HttpHeaders &headers, std::string_view framing)
{
    std::string head = AK::concat("HTTP/1.1 ", status, " ", reasonPhrase(status), "\r\n");
    for (const auto &[name, value] : headers) {
        head += AK::concat(name, ": ", value, "\r\n");
    }
    head += AK::concat("connection: close\r\n", framing, "\r\n\r\n");
    this->headSent = true;
    return mg_write(this->connection, head.data(), head.size()) == static_cast<int>(head.size());
}

bool HttpExchange::respond(const HttpResponse &response)
{
    if (!this->writeHead(response.status, response.headers, AK::concat("content-length: ", response.body.size()))) {
        return false;
    }
    return response.body.empty() || mg_write(this->connection, response.body.data(), response.body.size()) == static_cast<int>(response.body.size());
}

bool HttpExchange::beginStream(int status, const HttpHeaders &headers)
{
    return this->writeHead(status, headers, "transfer-encoding: chunked");
}

bool HttpExchange::writeChunk(std::string_view data)
{
    return data.empty() || mg_send_chunk(this->connection, data.data(), static_cast<unsigned int>(data.size())) > 0;
}

void HttpExchange::endStream(std::string_view lastData)
{
    const std::string text = AK::concat(lastData.empty() ? "" : chunkOf(lastData), "0\r\n\r\n");
    mg_write(this->connection, text.data(), text.size());
}

void HttpExchange::abandon()
{
    this->headSent = true;
}

bool HttpExchange::started() const
{
    return this->headSent;
}

HttpServer::HttpServer(AK::Endpoint endpoint, HttpServerLimits limits, Handler handler)
    : endpoint(std::move(endpoint))
    , limits(limits)
    , handler(std::move(handler))
{
}

HttpServer::~HttpServer()
{
    this->stop();
}

absl::Status HttpServer::start()
{
    initializeCivetWeb();
    const std::string address = this->endpoint.text();
    const std::string threads = std::to_string(this->limits.threads);
    const std::string queue = std::to_string(std::max(64, this->limits.threads));
    const std::string requestTimeout = std::to_string(this->limits.requestTimeout);
    const char *options[] = {
        "listening_ports",
        address.c_str(),
        "num_threads",
        threads.c_str(),
        "connection_queue",
        queue.c_str(),
        "listen_backlog",
        "512",
        "tcp_nodelay",
        "1",
        "enable_keep_alive",
        "no",
        "request_timeout_ms",
        requestTimeout.c_str(),
        nullptr,
    };
    mg_callbacks callbacks{};
    callbacks.begin_request = &HttpServer::beginRequest;
    this->deadlines = std::make_unique<ReadDeadlines>();
    this->context = mg_start(&callbacks, this, options);
    if (this->context == nullptr) {
        return absl::UnavailableError(AK::concat("cannot listen on http address ", address));
    }
    return absl::OkStatus();
}

int HttpServer::beginRequest(mg_connection *connection)
{
    auto *server = static_cast<HttpServer *>(mg_get_user_data(mg_get_context(connection)));
    server->serve(connection);
    return 1;
}

void HttpServer::serve(mg_connection *connection)
{
    const CountGuard guard(this->active);
    // Otherwise CivetWeb reads what the client has not sent yet of the body once the handler returns, however long that is.
    mg_disable_connection_keep_alive(connection);
    this->respondTo(connection);
    const ReadDeadlines::Guard deadline = this->limitRead(connection);
    discardBody(connection, this->limits.discardBytes);
}

ReadDeadlines::Guard HttpServer::limitRead(mg_connection *connection)
{
    const mg_request_info *info = mg_get_request_info(connection);
    const AK::Endpoint peer{info->remote_addr, static_cast<uint16_t>(info->remote_port)};
    return ReadDeadlines::Guard(*this->deadlines, peer, static_cast<uint16_t>(info->server_port), this->limits.requestTimeout);
}

std::optional<std::string> HttpServer::receiveBody(mg_connection *connection)
{
    const ReadDeadlines::Guard deadline = this->limitRead(connection);
    return readBody(connection, this->limits.bodyBytes);
}

void HttpServer::respondTo(mg_connection *connection)
{
    HttpRequest request = readHead(connection);
    if (!hasOnlyFields(*mg_get_request_info(connection))) {
        HttpExchange(connection, std::move(request)).respond(jsonResponse(400, R"({"error":"a line of the request's head is no field"})"));
        return;
    }
    const bool hasBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    std::optional<std::string> body = hasBody ? this->receiveBody(connection) : std::string();
    const bool complete = body.has_value();
    request.body = std::move(body).value_or("");
    HttpExchange exchange(connection, std::move(request));
    if (!complete) {
        exchange.respond(jsonResponse(413, AK::concat(R"({"error":"request body is incomplete or larger than )", this->limits.bodyBytes, R"( bytes"})")));
        return;
    }
    try {
        this->handler(exchange);
    } catch (const std::exception &exception) {
        // CivetWeb is written in C: an exception that reaches it ends the process.
        this->logger.error("handler_exception", {{"path", exchange.request().path}, {"reason", exception.what()}});
    }
    if (!exchange.started()) {
        exchange.respond(jsonResponse(500, R"({"error":"the handler gave no response"})"));
    }
}

int HttpServer::inFlight() const
{
    return this->active;
}

bool HttpServer::waitIdle(const AK::Clock &clock, AK::Milliseconds limit) const
{
    const AK::Milliseconds end = clock.now() + limit;
    while (this->active > 0) {
        if (clock.now() >= end) {
            return false;
        }
        clock.sleep(idlePollMs);
    }
    return true;
}

void HttpServer::stop()
{
    if (this->context != nullptr) {
        mg_stop(this->context);
        this->context = nullptr;
    }
    this->deadlines.reset();
}

} // namespace LibHttp
