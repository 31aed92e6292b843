#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <memory>
#include <optional>

struct mg_connection;

namespace LibHttp
{

/// How far a failed request got. Decides whether it may be repeated.
enum class SendState {
    /// No connection: the request cannot have run.
    NotSent,
    /// The request was sent in part or in whole: it may have run.
    Sent,
};

/// Reads how far the request got from a status that this package returned. Statuses of other origin count as Sent.
SendState sendStateOf(const absl::Status &status);

/// A response that is being read. One connection per request; it is closed on destruction, which also cancels the request at the server.
class HttpStream
{
public:
    /// Connects, sends the request and waits up to `headTimeout` ms for the response head.
    /// Errors: kUnavailable (with SendState), kDeadlineExceeded.
    static absl::StatusOr<std::unique_ptr<HttpStream>> open(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds headTimeout);

    ~HttpStream();
    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    int status() const;
    const HttpHeaders &headers() const;

    /// The next line without its line end; nothing at the true end of the body.
    /// Blocks until a line is complete or the peer is silent for 30 s (CivetWeb's limit for a body).
    /// Errors: kDataLoss when the body ends before its Content-Length or final chunk, or a line exceeds 1 MiB.
    absl::StatusOr<std::optional<std::string>> readLine();

    /// The rest of the body. Errors: kDataLoss as in readLine() and above `limit` bytes.
    absl::StatusOr<std::string> readAll(size_t limit);

private:
    HttpStream(mg_connection *connection, int status, HttpHeaders headers, long long contentLength);

    mg_connection *connection;
    int code;
    HttpHeaders head;
    long long contentLength;
    long long received = 0;
    bool chunked;
};

/// One request and its whole response. `timeout` bounds the wait for the response head.
/// Errors: kUnavailable (with SendState), kDeadlineExceeded, kDataLoss when the body is cut or larger than `bodyLimit` bytes.
absl::StatusOr<HttpResponse> httpCall(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds timeout, size_t bodyLimit = 64 << 20);

} // namespace LibHttp
