#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/status.h>
#include <atomic>
#include <functional>

struct mg_connection;
struct mg_context;

namespace LibHttp
{

/// One request and the means to answer it. Lives on the thread that serves the connection.
/// Exactly one of respond(), beginStream() or abandon() must be called.
class HttpExchange
{
public:
    HttpExchange(mg_connection *connection, HttpRequest request);

    const HttpRequest &request() const;

    /// Sends a whole response with Content-Length. False when the peer is gone.
    bool respond(const HttpResponse &response);

    /// Starts a chunked response. False when the peer is gone.
    bool beginStream(int status, const HttpHeaders &headers);

    /// Sends one chunk at once. False when the peer is gone; CivetWeb notices a closed peer only when it writes.
    bool writeChunk(std::string_view data);

    /// Sends the final chunk. A stream that returns without this call is cut: the peer sees an incomplete response.
    void endStream();

    /// Closes the connection without a response once the handler returns.
    void abandon();

    /// Whether a response was begun or abandoned.
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
    /// Larger bodies are answered with 413.
    size_t bodyBytes = 1 << 20;
};

/// An HTTP/1.1 server over CivetWeb: one thread per connection, no keep-alive, so that a drain has no idle connections to cut.
class HttpServer
{
public:
    using Handler = std::function<void(HttpExchange &)>;

    HttpServer(AK::Endpoint endpoint, HttpServerLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Errors: kUnavailable when the address cannot be bound.
    absl::Status start();

    /// Requests whose handler has not returned yet.
    int inFlight() const;

    /// Waits until no request is in flight or the limit is over. Returns whether it is idle.
    bool waitIdle(const AK::Clock &clock, AK::Milliseconds limit) const;

    /// Closes the listener and cuts what is still in flight; call waitIdle() first for a graceful shutdown.
    void stop();

private:
    static int beginRequest(mg_connection *connection);
    void serve(mg_connection *connection);

    AK::Endpoint endpoint;
    HttpServerLimits limits;
    Handler handler;
    mg_context *context = nullptr;
    std::atomic<int> active{0};
};

} // namespace LibHttp
