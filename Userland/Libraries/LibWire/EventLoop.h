#pragma once

#include <AK/Clock.h>
#include <AK/Text.h>
#include <absl/status/statusor.h>
#include <kj/async-io.h>
#include <kj/time.h>

namespace LibWire
{

/// The kj event loop of the calling thread, created on first use and destroyed with the thread.
kj::AsyncIoContext &threadEventLoop();

/// The text of a kj exception without source positions.
std::string describeException(const kj::Exception &exception);

/// Waits for a promise on the given wait scope for at most `timeout` ms.
/// Errors: kDeadlineExceeded after `timeout` ms (the promise is then cancelled), kUnavailable when the connection is lost, kInternal when the peer reported an
/// error.
template <typename Type>
absl::StatusOr<Type> waitFor(kj::Promise<Type> promise, AK::Milliseconds timeout, kj::WaitScope &scope)
{
    try {
        // kj's timer holds the time of the loop's last turn: afterDelay() would expire too early, or at once, when the loop has been idle.
        const kj::TimePoint deadline = kj::systemPreciseMonotonicClock().now() + timeout * kj::MILLISECONDS;
        kj::Promise<kj::Maybe<Type>> wrapped = promise.then([](Type &&value) -> kj::Maybe<Type> { return kj::mv(value); });
        kj::Promise<kj::Maybe<Type>> expiry = threadEventLoop().provider->getTimer().atTime(deadline).then([]() -> kj::Maybe<Type> { return nullptr; });
        kj::Maybe<Type> result = wrapped.exclusiveJoin(kj::mv(expiry)).wait(scope);
        KJ_IF_MAYBE (value, result) {
            return kj::mv(*value);
        }
        return absl::DeadlineExceededError(AK::concat("no reply from the peer within ", timeout, " ms"));
    } catch (const kj::Exception &exception) {
        const bool disconnected = exception.getType() == kj::Exception::Type::DISCONNECTED;
        return absl::Status(disconnected ? absl::StatusCode::kUnavailable : absl::StatusCode::kInternal, describeException(exception));
    }
}

} // namespace LibWire
