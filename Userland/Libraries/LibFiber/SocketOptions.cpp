#include <LibFiber/SocketOptions.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace LibFiber
{

namespace
{

// Keepalive probes detect a peer that disappeared without a reset: the first after one idle second, then one each second, three in all.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 3;
// The kernel aborts the connection when sent data stays unacknowledged for this time.
constexpr unsigned userTimeoutMs = 4000;

void setOption(kj::AsyncIoStream &stream, int level, int option, unsigned value)
{
    // Streams that are not sockets, such as pipes in tests, have no options and need none.
    kj::runCatchingExceptions([&] { stream.setsockopt(level, option, &value, sizeof value); });
}

} // namespace

void setLossDetection(kj::AsyncIoStream &stream)
{
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
    setOption(stream, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace LibFiber
