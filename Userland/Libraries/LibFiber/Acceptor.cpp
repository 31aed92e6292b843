#include <LibFiber/Acceptor.h>

namespace LibFiber
{

namespace
{

constexpr AK::Milliseconds acceptRetryDelay = 50;
// await() needs a deadline; when it passes without a connection the fiber waits again.
constexpr AK::Milliseconds acceptWait = 60'000;

} // namespace

void acceptEach(Loop &loop, kj::Own<kj::ConnectionReceiver> listener, ConnectionHandler handler)
{
    // Shared with the fibers of the connections, which may outlive the accepting fiber.
    loop.spawn([&loop, listener = kj::mv(listener), sharedHandler = std::make_shared<ConnectionHandler>(std::move(handler))](kj::WaitScope &scope) mutable {
        const LibLog::Logger logger("acceptor");
        while (true) {
            // evalNow() turns a failed accept into a status. Catching exceptions here would also catch the cancellation of this fiber, which must not wait
            // again.
            auto stream = loop.await(scope, kj::evalNow([&] { return listener->accept(); }), loop.clock().now() + acceptWait);
            if (stream.ok()) {
                loop.spawn([sharedHandler, connection = kj::mv(*stream)](kj::WaitScope &inner) mutable { (*sharedHandler)(inner, kj::mv(connection)); });
            } else if (!absl::IsDeadlineExceeded(stream.status())) {
                logger.warning("accept_failed", {{"reason", std::string(stream.status().message())}});
                loop.sleep(scope, acceptRetryDelay);
            }
        }
    });
}

} // namespace LibFiber
