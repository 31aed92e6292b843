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
    /// Counts the bytes of a connected TCP socket in both directions since it was opened.
    void addSocket(int socket);

    /// Must be called before a counted socket is closed. Its bytes stay in the total.
    void removeSocket(int socket);

    /// Bytes of all sockets added so far.
    uint64_t bytes() const;

private:
    mutable std::mutex mutex;
    std::set<int> openSockets;
    uint64_t closedBytes = 0;
};

} // namespace LibWire
