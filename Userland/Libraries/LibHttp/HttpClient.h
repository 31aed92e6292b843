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

/// How far a failed request got. Decides whether it may be retried.
enum class SendState {
    /// No connection was made: the server cannot have executed the request.
    NotSent,
    /// The request was sent in part or in whole: the server may have executed it.
    Sent,
};

/// The SendState recorded in a status that this library returned. Any other status counts as Sent.
SendState sendStateOf(const absl::Status &status);

/// A response whose body is read as it arrives. Each request has its own connection, which the destructor closes; that also cancels the request at the server.
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

    /// The next line without its line end, or std::nullopt at the end of the body.
    /// Blocks until a line is complete or the peer has sent nothing for 30 s (CivetWeb's limit for reading a body).
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

/// Sends a request and reads its whole response. `timeout` (ms) bounds the wait for the response head.
/// Errors: kUnavailable (with SendState), kDeadlineExceeded, kDataLoss when the body is truncated or larger than `bodyLimit` bytes.
absl::StatusOr<HttpResponse> httpCall(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds timeout, size_t bodyLimit = 64 << 20);

} // namespace LibHttp
