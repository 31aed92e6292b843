#include <LibFiber/Loop.h>

#include <arpa/inet.h>
#include <kj/exception.h>
#include <netinet/in.h>

namespace LibFiber
{

namespace
{

// JSON decoding of a configuration needs the deepest stack. Pages that are never touched use no memory.
constexpr size_t fiberStackBytes = 256UL * 1024;
// Stacks kept for reuse; an entry runs about one fiber per connection and call.
constexpr size_t pooledFiberStacks = 256;
// Events that run in a row before timers and all other connections are looked at. A peer whose bytes are always there already would keep the loop from them.
constexpr kj::uint eventsBeforePoll = 64;

} // namespace

absl::Status toStatus(const kj::Exception &exception)
{
    const std::string text(exception.getDescription().cStr());
    switch (exception.getType()) {
    case kj::Exception::Type::DISCONNECTED:
        return absl::UnavailableError(text);
    case kj::Exception::Type::OVERLOADED:
        // kj reports the end of timeoutAfter() as OVERLOADED.
        return absl::DeadlineExceededError(text);
    default:
        return absl::InternalError(text);
    }
}

Loop::Loop()
    : io(kj::setupAsyncIo())
    , fibers(fiberStackBytes)
    , tasks(kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler &>(*this)))
{
    this->fibers.setMaxFreelist(pooledFiberStacks);
    this->io.waitScope.setBusyPollInterval(eventsBeforePoll);
}

Loop::~Loop() = default;

kj::WaitScope &Loop::rootScope()
{
    return this->io.waitScope;
}

kj::Network &Loop::network()
{
    return this->io.provider->getNetwork();
}

kj::UnixEventPort &Loop::events()
{
    return this->io.unixEventPort;
}

const AK::Clock &Loop::clock() const
{
    return this->systemClock;
}

kj::Promise<void> Loop::after(AK::Milliseconds duration)
{
    return this->io.provider->getTimer().atTime(timePoint(this->systemClock.now() + duration));
}

kj::TimePoint Loop::timePoint(AK::Milliseconds monotonicTime)
{
    return kj::origin<kj::TimePoint>() + monotonicTime * kj::MILLISECONDS;
}

void Loop::cancelSpawned()
{
    // A fiber spawned by a destructor of a cancelled fiber would outlive the objects it refers to.
    this->ended = true;
    const kj::Own<kj::TaskSet> cancelled = kj::mv(this->tasks);
    this->tasks = kj::heap<kj::TaskSet>(static_cast<kj::TaskSet::ErrorHandler &>(*this));
}

Loop::FiberAdapter::FiberAdapter(kj::PromiseFulfiller<void> &fulfiller, kj::Promise<void> fiber, std::shared_ptr<bool> dropped)
    : dropped(std::move(dropped))
    , fiber(fiber.then([&fulfiller] { fulfiller.fulfill(); }, [&fulfiller](kj::Exception &&exception) { fulfiller.reject(kj::mv(exception)); })
                .eagerlyEvaluate(nullptr))
{
}

Loop::FiberAdapter::~FiberAdapter()
{
    *this->dropped = true;
}

void Loop::sleep(kj::WaitScope &scope, AK::Milliseconds duration)
{
    this->after(duration).wait(scope);
}

void Loop::yield(kj::WaitScope &scope)
{
    kj::evalLater([] {}).wait(scope);
}

absl::Status Loop::awaitDone(kj::WaitScope &scope, kj::Promise<void> promise, AK::Milliseconds deadline)
{
    return this->withDeadline(kj::mv(promise), deadline)
        .then([]() -> absl::Status { return absl::OkStatus(); }, [](kj::Exception &&exception) -> absl::Status { return toStatus(exception); })
        .wait(scope);
}

SpawnedFibersGuard::SpawnedFibersGuard(Loop &loop)
    : loop(loop)
{
}

SpawnedFibersGuard::~SpawnedFibersGuard()
{
    this->loop.cancelSpawned();
}

absl::StatusOr<kj::Own<kj::NetworkAddress>> networkAddress(Loop &loop, const AK::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1) {
        return absl::InvalidArgumentError("not an IPv4 address: " + endpoint.host);
    }
    return loop.network().getSockaddr(&address, sizeof address);
}

absl::StatusOr<kj::Own<kj::ConnectionReceiver>> listenOn(Loop &loop, const AK::Endpoint &endpoint)
{
    auto address = networkAddress(loop, endpoint);
    if (!address.ok()) {
        return address.status();
    }
    kj::Own<kj::ConnectionReceiver> receiver;
    const auto failure = kj::runCatchingExceptions([&] { receiver = (*address)->listen(); });
    KJ_IF_MAYBE (exception, failure) {
        return absl::UnavailableError(endpoint.text() + ": " + exception->getDescription().cStr());
    }
    return receiver;
}

void Loop::taskFailed(kj::Exception &&exception)
{
    this->logger.warning("task_failed", {{"reason", exception.getDescription().cStr()}});
}

} // namespace LibFiber
