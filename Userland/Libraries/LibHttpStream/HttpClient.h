#pragma once

#include <AK/Endpoint.h>
#include <LibFiber/ByteChannel.h>
#include <LibHttpStream/MessageHead.h>
#include <memory>

namespace LibHttpStream
{

struct WholeResponse {
    int status = 0;
    Headers headers;
    std::string body;
};

/// Largest body of a response, in bytes, where the caller names no other limit. Chunks of weights are the largest.
inline constexpr uint64_t largestResponseBody = 16UL << 20;

/// An HTTP/1.1 client of one server with a persistent connection. Makes one call at a time; fibers must not share an instance. A connection that is closed or
/// receives bytes while idle is not used again.
class HttpClient
{
public:
    HttpClient(LibFiber::Loop &loop, AK::Endpoint address);

    /// Sends a request and reads the whole response. `connectDeadline` bounds the opening of a connection, `deadline` the whole call; both are monotonic times
    /// in ms. Errors: kFailedPrecondition while another call is in flight, kUnavailable, kDeadlineExceeded, kInvalidArgument, kDataLoss,
    /// kResourceExhausted when the head is too long or the body exceeds `maxBodyBytes`. The server may have
    /// executed the request unless the connection could not be opened.
    absl::StatusOr<WholeResponse> call(kj::WaitScope &scope, const std::string &method, const std::string &target, const std::string &body,
                                       AK::Milliseconds connectDeadline, AK::Milliseconds deadline, uint64_t maxBodyBytes = largestResponseBody);

    const AK::Endpoint &address() const;

private:
    absl::StatusOr<WholeResponse> exchange(kj::WaitScope &scope, const RequestHead &head, const std::string &body, AK::Milliseconds deadline,
                                           uint64_t maxBodyBytes);

    LibFiber::Loop &loop;
    AK::Endpoint target;
    kj::Maybe<kj::Own<LibFiber::ByteChannel>> connection;
    bool busy = false;
};

/// A connection pool for one server. Calls may run concurrently; each uses a connection of its own, and idle connections are reused.
class HttpClientPool
{
public:
    /// Closes connections that have been idle for `idleTimeout` ms; 0 keeps them open. With a timeout the pool must outlive the spawned fibers of the loop.
    HttpClientPool(LibFiber::Loop &loop, AK::Endpoint address, AK::Milliseconds idleTimeout = 0);

    /// As HttpClient::call().
    absl::StatusOr<WholeResponse> call(kj::WaitScope &scope, const std::string &method, const std::string &target, const std::string &body,
                                       AK::Milliseconds connectDeadline, AK::Milliseconds deadline, uint64_t maxBodyBytes = largestResponseBody);

private:
    void closeWhenIdle();

    LibFiber::Loop &loop;
    AK::Endpoint address;
    AK::Milliseconds idleTimeout;
    struct IdleClient {
        std::unique_ptr<HttpClient> client;
        AK::Milliseconds idleSince = 0;
    };
    std::vector<IdleClient> idle;
};

} // namespace LibHttpStream
