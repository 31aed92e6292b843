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

    /// Runs `function(kj::WaitScope &)` on a fiber. Dropping the promise cancels the fiber and runs its destructors; before its first turn nothing runs.
    template <typename Function>
    kj::Promise<void> fiber(Function &&function)
    {
        auto dropped = std::make_shared<bool>(false);
        auto started = this->fibers.startFiber([dropped, body = std::forward<Function>(function)](kj::WaitScope &scope) mutable {
            if (!*dropped) {
                body(scope);
            }
        });
        return kj::newAdaptedPromise<void, FiberHold>(kj::mv(started), kj::mv(dropped));
    }

    /// Runs `function(kj::WaitScope &)` on a fiber until it returns or cancelSpawned() is called; after that nothing starts any more.
    template <typename Function>
    void spawn(Function &&function)
    {
        if (this->ended) {
            return;
        }
        this->tasks->add(this->fiber(std::forward<Function>(function)));
    }

    /// Ends all fibers started with spawn(), running their destructors. Called before what they refer to is destroyed.
    void cancelSpawned();

    void sleep(kj::WaitScope &scope, AK::Milliseconds duration);

    /// Waits for a promise until the monotonic time `deadline` (ms).
    /// Errors: kDeadlineExceeded; those of toStatus().
    template <typename Type>
    absl::StatusOr<Type> await(kj::WaitScope &scope, kj::Promise<Type> promise, AK::Milliseconds deadline)
    {
        return this->bounded(kj::mv(promise), deadline)
            .then([](Type &&value) { return absl::StatusOr<Type>(kj::mv(value)); },
                  [](kj::Exception &&exception) { return absl::StatusOr<Type>(toStatus(exception)); })
            .wait(scope);
    }

    absl::Status awaitDone(kj::WaitScope &scope, kj::Promise<void> promise, AK::Milliseconds deadline);

private:
    /// Holds a fiber and marks it as dropped before it is destroyed: the library runs a fiber that is destroyed before its first turn up to its first wait.
    class FiberHold
    {
    public:
        FiberHold(kj::PromiseFulfiller<void> &fulfiller, kj::Promise<void> fiber, std::shared_ptr<bool> dropped);
        ~FiberHold();
        KJ_DISALLOW_COPY(FiberHold);

    private:
        std::shared_ptr<bool> dropped;
        kj::Promise<void> fiber;
    };

    void taskFailed(kj::Exception &&exception) override;

    template <typename Type>
    kj::Promise<Type> bounded(kj::Promise<Type> promise, AK::Milliseconds deadline)
    {
        const AK::Milliseconds left = deadline - this->systemClock.now();
        return this->io.provider->getTimer().timeoutAfter((left > 0 ? left : 0) * kj::MILLISECONDS, kj::mv(promise));
    }

    AK::SystemClock systemClock;
    kj::AsyncIoContext io;
    kj::FiberPool fibers;
    kj::Own<kj::TaskSet> tasks;
    bool ended = false;
    LibLog::Logger logger{"loop"};
};

/// Ends the spawned fibers of a loop. Declared as the last member of a class whose fibers refer to the others, so that it goes first, also when the constructor
/// throws.
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
/// Errors: kInvalidArgument when the host is no IPv4 address.
absl::StatusOr<kj::Own<kj::NetworkAddress>> networkAddress(Loop &loop, const AK::Endpoint &endpoint);

/// Binds and listens.
/// Errors: kInvalidArgument, kUnavailable when the address can't be bound.
absl::StatusOr<kj::Own<kj::ConnectionReceiver>> listenOn(Loop &loop, const AK::Endpoint &endpoint);

} // namespace LibFiber
