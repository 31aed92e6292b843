#include <LibWire/TrafficCounter.h>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace LibWire
{

namespace
{

// Ethernet, IPv4 and TCP headers with the timestamp option.
constexpr uint64_t headerBytesPerSegment = 14 + 20 + 32;

uint64_t bytesOf(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return 0;
    }
    const uint64_t segments = uint64_t{info.tcpi_segs_in} + info.tcpi_segs_out;
    return info.tcpi_bytes_acked + info.tcpi_bytes_received + segments * headerBytesPerSegment;
}

} // namespace

void TrafficCounter::addSocket(int socket)
{
    const std::lock_guard lock(this->mutex);
    this->openSockets.insert(socket);
}

void TrafficCounter::removeSocket(int socket)
{
    const std::lock_guard lock(this->mutex);
    if (this->openSockets.erase(socket) > 0) {
        this->closedBytes += bytesOf(socket);
    }
}

uint64_t TrafficCounter::bytes() const
{
    const std::lock_guard lock(this->mutex);
    uint64_t sum = this->closedBytes;
    for (const int socket : this->openSockets) {
        sum += bytesOf(socket);
    }
    return sum;
}

} // namespace LibWire
