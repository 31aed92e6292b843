#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Loopback
{

/// What a faulty peer sends: `start` once, then `again` without end, with a pause (ms) before each.
struct EndlessBytes {
    std::string start;
    std::string again;
    AK::Milliseconds pause = 0;
};

/// Most that the sockets of one connection hold on their own: what the system lets a receive buffer grow to, and the send buffer that these peers set.
size_t socketBufferBytes();

/// What became of one connection.
struct EndlessResult {
    /// Bytes that the other side's system has taken.
    size_t bytes = 0;
    AK::Milliseconds duration = 0;
    /// The other side closed the connection before the sender's own limit of time.
    bool closed = false;
    /// The first bytes that the other side sent.
    std::string reply;
};

/// Connects to `target` and sends the bytes until the other side closes the connection or `limit` ms have passed.
EndlessResult sendWithoutEnd(const AK::Endpoint &target, const EndlessBytes &bytes, AK::Milliseconds limit);

/// A server that answers the first bytes of each connection with bytes without end, on a thread per connection.
class EndlessServer
{
public:
    /// Listens from the constructor on. Gives up a connection after `limit` ms.
    EndlessServer(const AK::Endpoint &address, EndlessBytes bytes, AK::Milliseconds limit);
    ~EndlessServer();
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    /// Waits until each connection that was accepted has ended, and returns what became of them.
    std::vector<EndlessResult> results();

private:
    void run();
    void serve(int socket);

    EndlessBytes bytes;
    AK::Milliseconds limit;
    int listener = -1;
    std::atomic<bool> stopping{false};
    std::atomic<int> open{0};
    std::mutex mutex;
    std::vector<EndlessResult> ended;
    std::vector<std::thread> connections;
    std::thread acceptor;
};

} // namespace Loopback
