#pragma once

#include <LibFiber/Loop.h>
#include <functional>

namespace LibFiber
{

/// Serves one connection. Runs on its own fiber.
using ConnectionHandler = std::function<void(kj::WaitScope &, kj::Own<kj::AsyncIoStream>)>;

/// Accepts connections until the loop cancels its spawned fibers and runs `handler` for each on a new fiber. A failed accept, for example because file
/// descriptors ran out, is logged and retried after 50 ms.
void acceptEach(Loop &loop, kj::Own<kj::ConnectionReceiver> listener, ConnectionHandler handler);

} // namespace LibFiber
