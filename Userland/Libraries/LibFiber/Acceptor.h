#pragma once

#include <LibFiber/Loop.h>
#include <functional>

namespace LibFiber
{

/// Serves one connection on a fiber of its own.
using ConnectionHandler = std::function<void(kj::WaitScope &, kj::Own<kj::AsyncIoStream>)>;

/// Takes the connections of a listener until the loop ends its fibers. After a failed accept, for example when descriptors ran out, it goes on after a pause.
void acceptEach(Loop &loop, kj::Own<kj::ConnectionReceiver> listener, ConnectionHandler handler);

} // namespace LibFiber
