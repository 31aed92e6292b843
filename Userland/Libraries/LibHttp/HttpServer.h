#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <LibHttp/ReadDeadlines.h>
#include <LibLog/Logger.h>
#include <absl/status/status.h>
#include <atomic>
#include <functional>
#include <memory>

struct mg_connection;
struct mg_context;

namespace LibHttp
{

/// A request and the means to respond to it. Used on the thread that serves the connection.
/// Exactly one of respond(), beginStream() or abandon() must be called.
class HttpExchange
{
public:
    HttpExchange(mg_connection *connection, HttpRequest request);

    const HttpRequest &request() const;

    /// Sends a whole response with Content-Length. Returns false when the peer has closed the connection.
    bool respond(const HttpResponse &response);

    /// Starts a chunked response. Returns false when the peer has closed the connection.
    bool beginStream(int status, const HttpHeaders &headers);

    /// Sends one chunk without buffering. Returns false when the peer has closed the connection, which CivetWeb detects only when it writes.
    bool writeChunk(std::string_view data);

    /// Sends `lastData`, unless it is empty, and the final chunk in one write, so that no process ends between them. When the handler returns without this
    /// call, the peer sees an incomplete response.
    void endStream(std::string_view lastData = {});

    /// Closes the connection without a response once the handler returns.
    void abandon();

    /// Whether a response was started or abandoned.
    bool started() const;

private:
    bool writeHead(int status, const HttpHeaders &headers, std::string_view framing);

    mg_connection *connection;
    HttpRequest message;
    bool headSent = false;
};

/// Limits of an HttpServer.
struct HttpServerLimits {
    int threads = 16;
    /// Requests with larger bodies are refused with 413.
    size_t bodyBytes = 1 << 20;
    /// What is read of a body beyond that, so that a client which still sends it sees the response.
    size_t discardBytes = 32 << 20;
    /// Requests whose head takes longer (ms) are broken off, and so are bodies.
    AK::Milliseconds requestTimeout = 30'000;
};

/// An HTTP/1.1 server over CivetWeb: one thread per connection, no keep-alive, so that a drain leaves no idle connections to close.
class HttpServer
{
public:
    /// A request whose handler throws gets 500; a response that it had begun is broken off.
    using Handler = std::function<void(HttpExchange &)>;

    HttpServer(AK::Endpoint endpoint, HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Errors: kUnavailable when the address cannot be bound.
    absl::Status start();

    /// Requests whose handler has not returned yet.
    int inFlight() const;

    /// Waits until no request is in flight or `limit` ms have passed. Returns whether the server is idle.
    bool waitIdle(const AK::Clock &clock, AK::Milliseconds limit) const;

    /// Closes the listener and aborts the requests in flight; call waitIdle() first for a graceful shutdown.
    void stop();

private:
    static int beginRequest(mg_connection *connection);
    void serve(mg_connection *connection);
    void respondTo(mg_connection *connection);
    /// Limits the time in which the rest of a request is read.
    ReadDeadlines::Guard limitRead(mg_connection *connection);
    /// The body of a request, or nothing when it is incomplete, too large or late.
    std::optional<std::string> receiveBody(mg_connection *connection);

    AK::Endpoint endpoint;
    HttpServerLimits limits;
    Handler handler;
    /// While the server runs.
    std::unique_ptr<ReadDeadlines> deadlines;
    mg_context *context = nullptr;
    std::atomic<int> active{0};
    LibLog::Logger logger{"http"};
};

} // namespace LibHttp
