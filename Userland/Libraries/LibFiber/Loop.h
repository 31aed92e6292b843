#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <LibLog/Logger.h>
#include <absl/status/statusor.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <memory>
#include <string>
#include <utility>

namespace LibFiber
{

/// Turns an I/O error into a status: kUnavailable for a broken connection, kDeadlineExceeded for a timeout, kInternal otherwise.
absl::Status toStatus(const kj::Exception &exception);

/// The event loop of a process and the fibers that run on it. One instance per process, used from one thread.
class Loop final : public kj::TaskSet::ErrorHandler
{
public:
    Loop();
    ~Loop();
    KJ_DISALLOW_COPY(Loop);

    kj::WaitScope &rootScope();
    kj::Network &network();
    kj::UnixEventPort &events();
    const AK::Clock &clock() const;

    /// Resolves after `duration` ms.
    kj::Promise<void> after(AK::Milliseconds duration);

    /// Runs `function(kj::WaitScope &)` on a fiber. Dropping the promise cancels the fiber and unwinds its stack. A fiber that is dropped before its first turn
    /// never runs.
    template <typename Function>
    kj::Promise<void> fiber(Function &&function)
    {
        auto dropped = std::make_shared<bool>(false);
        auto started = this->fibers.startFiber([dropped, body = std::forward<Function>(function)](kj::WaitScope &scope) mutable {
            if (!*dropped) {
                body(scope);
            }
        });
        return kj::newAdaptedPromise<void, FiberAdapter>(kj::mv(started), kj::mv(dropped));
    }

    /// Runs `function(kj::WaitScope &)` on a fiber until it returns or cancelSpawned() is called. Does nothing after cancelSpawned().
    template <typename Function>
    void spawn(Function &&function)
    {
        if (this->ended) {
            return;
        }
        this->tasks->add(this->fiber(std::forward<Function>(function)));
    }

    /// Cancels all fibers started with spawn() and unwinds their stacks. Must be called before the objects that the fibers refer to are destroyed.
    void cancelSpawned();

    /// Suspends the calling fiber for `duration` ms.
    void sleep(kj::WaitScope &scope, AK::Milliseconds duration);

    /// Lets everything else that is ready run before the calling fiber goes on.
    void yield(kj::WaitScope &scope);

    /// Waits for a promise until the monotonic time `deadline` (ms).
    /// Errors: kDeadlineExceeded; those of toStatus().
    template <typename Type>
    absl::StatusOr<Type> await(kj::WaitScope &scope, kj::Promise<Type> promise, AK::Milliseconds deadline)
    {
        return this->withDeadline(kj::mv(promise), deadline)
            .then([](Type &&value) { return absl::StatusOr<Type>(kj::mv(value)); },
                  [](kj::Exception &&exception) { return absl::StatusOr<Type>(toStatus(exception)); })
            .wait(scope);
    }

    /// await() for a promise without a value.
    absl::Status awaitDone(kj::WaitScope &scope, kj::Promise<void> promise, AK::Milliseconds deadline);

private:
    /// Promise adapter that owns a fiber and marks it as dropped before destroying it. kj runs a fiber that is destroyed before its first turn up to its first
    /// wait; the mark makes it return at once.
    class FiberAdapter
    {
    public:
        FiberAdapter(kj::PromiseFulfiller<void> &fulfiller, kj::Promise<void> fiber, std::shared_ptr<bool> dropped);
        ~FiberAdapter();
        KJ_DISALLOW_COPY(FiberAdapter);

    private:
        std::shared_ptr<bool> dropped;
        kj::Promise<void> fiber;
    };

    void taskFailed(kj::Exception &&exception) override;

    /// The time on the clock of kj's timer, which is the monotonic system clock too. A delay would count from the start of the loop's turn instead.
    static kj::TimePoint timePoint(AK::Milliseconds monotonicTime);

    template <typename Type>
    kj::Promise<Type> withDeadline(kj::Promise<Type> promise, AK::Milliseconds deadline)
    {
        return this->io.provider->getTimer().timeoutAt(timePoint(deadline), kj::mv(promise));
    }

    AK::SystemClock systemClock;
    kj::AsyncIoContext io;
    kj::FiberPool fibers;
    kj::Own<kj::TaskSet> tasks;
    bool ended = false;
    LibLog::Logger logger{"loop"};
};

/// Scope guard that cancels the spawned fibers of a loop. Declare it as the last member of a class whose fibers refer to the other members: it is then
/// destroyed first, also when the constructor throws.
class SpawnedFibersGuard
{
public:
    explicit SpawnedFibersGuard(Loop &loop);
    ~SpawnedFibersGuard();
    KJ_DISALLOW_COPY(SpawnedFibersGuard);

private:
    Loop &loop;
};

/// The address of an endpoint for the loop's network.
/// Errors: kInvalidArgument when the host is not an IPv4 address.
absl::StatusOr<kj::Own<kj::NetworkAddress>> networkAddress(Loop &loop, const AK::Endpoint &endpoint);

/// Binds to the endpoint and listens.
/// Errors: kInvalidArgument when the host is not an IPv4 address, kUnavailable when the address cannot be bound.
absl::StatusOr<kj::Own<kj::ConnectionReceiver>> listenOn(Loop &loop, const AK::Endpoint &endpoint);

} // namespace LibFiber
