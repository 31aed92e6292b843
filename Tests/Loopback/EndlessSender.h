#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <atomic>
#include <string>
#include <thread>

namespace Loopback
{

/// Measures by how much the resident memory of this process grows at most, in bytes.
class MemoryGrowth
{
public:
    MemoryGrowth();
    size_t largest() const;

private:
    size_t before = 0;
};

/// What goes over the connections of an EndlessSender.
struct EndlessTraffic {
    /// Sent once on each connection.
    std::string start;
    /// Sent without end after it.
    std::string again;
    /// Whether received bytes are read and dropped.
    bool reads = true;
};

/// The faulty end of connections: sends bytes without end, on a thread of its own, so that it is never slower than the event loop under test. Stops by itself
/// after `endlessTime`, so that a loop that is kept busy by it goes on.
class EndlessSender
{
public:
    enum class Role {
        /// Connects to the address.
        Client,
        /// Listens on the address and serves its connections one after another, each after a request has arrived.
        Server,
    };

    static constexpr AK::Milliseconds endlessTime = 6'000;
    /// Bytes that the sockets of one connection hold: 4 MB to send and 6 MB received, the kernel's maximum for each.
    static constexpr size_t socketBytes = 10UL << 20;

    EndlessSender(Role role, const AK::Endpoint &address, EndlessTraffic traffic);
    ~EndlessSender();
    EndlessSender(const EndlessSender &) = delete;
    EndlessSender &operator=(const EndlessSender &) = delete;

    /// Bytes that the kernel has accepted, on all connections.
    size_t bytesSent() const;
    /// Connections that the other side has closed.
    int closedConnections() const;

private:
    void run(Role role);
    void sendWithoutEnd(int connection);
    bool stopped() const;

    EndlessTraffic traffic;
    int socketNumber = -1;
    AK::SystemClock clock;
    AK::Milliseconds until = 0;
    std::atomic<size_t> sent = 0;
    std::atomic<int> closed = 0;
    std::atomic<bool> stop = false;
    std::thread thread;
};

} // namespace Loopback
