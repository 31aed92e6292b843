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

/// Makes one call at a time to one server over a kept connection. Two fibers must not share one.
class HttpCaller
{
public:
    HttpCaller(LibFiber::Loop &loop, AK::Endpoint address);

    /// Sends a request and reads the whole response. `connectBy` bounds the opening of a connection, `deadline` everything.
    /// Errors: kFailedPrecondition while another call is made, kUnavailable, kDeadlineExceeded, kInvalidArgument, kDataLoss; the request may have been executed
    /// unless the connection failed.
    absl::StatusOr<WholeResponse> call(kj::WaitScope &scope, const std::string &method, const std::string &target, const std::string &body,
                                       AK::Milliseconds connectBy, AK::Milliseconds deadline);

    const AK::Endpoint &address() const;

private:
    absl::StatusOr<WholeResponse> exchange(kj::WaitScope &scope, const RequestHead &head, const std::string &body, AK::Milliseconds deadline);

    LibFiber::Loop &loop;
    AK::Endpoint target;
    kj::Maybe<kj::Own<LibFiber::ByteChannel>> kept;
    bool busy = false;
};

/// Makes calls to one server at a time or side by side, each over a kept connection that no other call uses.
class HttpCallerPool
{
public:
    /// Connections that rest for `idleLimit` ms are closed; 0 keeps them. With a limit the pool must live until the spawned fibers of the loop have ended.
    HttpCallerPool(LibFiber::Loop &loop, AK::Endpoint address, AK::Milliseconds idleLimit = 0);

    /// As HttpCaller::call().
    absl::StatusOr<WholeResponse> call(kj::WaitScope &scope, const std::string &method, const std::string &target, const std::string &body,
                                       AK::Milliseconds connectBy, AK::Milliseconds deadline);

private:
    void closeWhenIdle();

    LibFiber::Loop &loop;
    AK::Endpoint address;
    AK::Milliseconds idleLimit;
    struct Resting {
        std::unique_ptr<HttpCaller> caller;
        AK::Milliseconds since = 0;
    };
    std::vector<Resting> idle;
};

} // namespace LibHttpStream
