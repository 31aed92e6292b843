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

} // namespace

void TrafficCounter::addSocket(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
        const uint64_t segments = uint64_t{info.tcpi_segs_in} + info.tcpi_segs_out;
        this->total += info.tcpi_bytes_acked + info.tcpi_bytes_received + segments * headerBytesPerSegment;
    }
}

uint64_t TrafficCounter::bytes() const
{
    return this->total;
}

} // namespace LibWire
