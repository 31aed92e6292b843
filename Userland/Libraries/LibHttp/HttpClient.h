#pragma once

#include <LibHttp/HttpMessage.h>
#include <LibHttp/ResponseReader.h>
#include <absl/status/statusor.h>
#include <memory>
#include <optional>

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
    /// Connects, sends the request and waits for the response head. `timeout` ms bound the whole exchange, from the connection to the last byte of the body.
    /// Errors: kUnavailable (with SendState), kDeadlineExceeded, kDataLoss when the head is malformed or exceeds 16 KiB.
    static absl::StatusOr<std::unique_ptr<HttpStream>> open(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds timeout);

    HttpStream(const HttpStream &) = delete;
    HttpStream &operator=(const HttpStream &) = delete;

    int status() const;
    const HttpHeaders &headers() const;

    /// The next line without its line end, or std::nullopt at the end of the body.
    /// Blocks until a line is complete, the timeout of the exchange has passed or the peer has sent nothing for 30 s.
    /// Errors: kDataLoss when the body ends before its Content-Length or final chunk, or a line exceeds 1 MiB, kDeadlineExceeded, kUnavailable.
    absl::StatusOr<std::optional<std::string>> readLine();

    /// The rest of the body. Errors: as readLine(), and kDataLoss above `limit` bytes.
    absl::StatusOr<std::string> readAll(size_t limit);

    /// Waits, also beyond the timeout, until the server sends more, ends the connection or has sent nothing for 30 s.
    void waitForActivity();

    /// Makes a read on another thread fail as soon as the server sends something more. A server that is silent may still work on the request, so that its
    /// connection stays open. May be called from any thread while the stream exists.
    void cancel();

private:
    HttpStream(ResponseReader reader, const LibHttpStream::ResponseHead &head);

    ResponseReader reader;
    int code;
    HttpHeaders head;
};

/// Sends a request and reads its whole response. `timeout` (ms) bounds the whole exchange.
/// Errors: kUnavailable (with SendState), kDeadlineExceeded, kDataLoss when the response is malformed, truncated or larger than `bodyLimit` bytes.
absl::StatusOr<HttpResponse> httpCall(const AK::Endpoint &target, const HttpRequest &request, AK::Milliseconds timeout, size_t bodyLimit = 64 << 20);

} // namespace LibHttp
