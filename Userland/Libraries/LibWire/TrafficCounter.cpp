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

void TrafficCounter::openSocket(int socket)
{
    const std::lock_guard lock(this->mutex);
    this->open.insert(socket);
}

void TrafficCounter::closeSocket(int socket)
{
    const std::lock_guard lock(this->mutex);
    if (this->open.erase(socket) > 0) {
        this->closed += bytesOf(socket);
    }
}

uint64_t TrafficCounter::bytes() const
{
    const std::lock_guard lock(this->mutex);
    uint64_t sum = this->closed;
    for (const int socket : this->open) {
        sum += bytesOf(socket);
    }
    return sum;
}

} // namespace LibWire
