#pragma once

#include <atomic>
#include <cstdint>

namespace LibWire
{

/// Bytes of RPC connections, headers of TCP segments included, from the kernel's counters of each socket. Thread-safe.
class TrafficCounter
{
public:
    /// Adds what a connected TCP socket has moved in both directions since it was opened; call it once, before the socket is closed.
    void addSocket(int socket);

    uint64_t bytes() const;

private:
    std::atomic<uint64_t> total{0};
};

} // namespace LibWire
