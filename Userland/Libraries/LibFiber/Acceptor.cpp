#include <LibFiber/Acceptor.h>

namespace LibFiber
{

namespace
{

constexpr AK::Milliseconds pauseAfterFailure = 50;
// A wait for a connection has no end of its own; the bound only keeps it an ordinary wait.
constexpr AK::Milliseconds waitLimit = 60'000;

} // namespace

void acceptEach(Loop &loop, kj::Own<kj::ConnectionReceiver> listener, ConnectionHandler handler)
{
    // Shared with the connections, which may end after the fiber that accepts.
    loop.spawn([&loop, listener = kj::mv(listener), shared = std::make_shared<ConnectionHandler>(std::move(handler))](kj::WaitScope &scope) mutable {
        const LibLog::Logger logger("acceptor");
        while (true) {
            // Not caught as an exception: that would also catch the end of this fiber, which must not wait again.
            auto stream = loop.await(scope, kj::evalNow([&] { return listener->accept(); }), loop.clock().now() + waitLimit);
            if (stream.ok()) {
                loop.spawn([shared, connection = kj::mv(*stream)](kj::WaitScope &inner) mutable { (*shared)(inner, kj::mv(connection)); });
            } else if (!absl::IsDeadlineExceeded(stream.status())) {
                logger.warning("accept_failed", {{"reason", std::string(stream.status().message())}});
                loop.sleep(scope, pauseAfterFailure);
            }
        }
    });
}

} // namespace LibFiber
