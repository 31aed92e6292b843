#pragma once

#include <cstdint>
#include <mutex>
#include <set>

namespace LibWire
{

/// Bytes of RPC connections, headers of TCP segments included, from the kernel's counters of each socket. Thread-safe.
class TrafficCounter
{
public:
    /// Counts what a connected TCP socket moves in both directions from its opening on.
    void openSocket(int socket);

    /// Must be called before a counted socket is closed; what it has moved stays counted.
    void closeSocket(int socket);

    /// Bytes of all sockets, those that are still open included.
    uint64_t bytes() const;

private:
    mutable std::mutex mutex;
    std::set<int> open;
    uint64_t closed = 0;
};

} // namespace LibWire
