#include <Loopback/EndlessPeer.h>

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Loopback
{

namespace
{

constexpr int sendBufferBytes = 64 << 10;
// The system doubles the size that is asked for.
constexpr size_t sendBufferFactor = 2;
constexpr int backlog = 512;
constexpr int pollMs = 20;
constexpr size_t keptReplyBytes = 4096;

sockaddr_in socketAddress(const AK::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

// False when the other side has closed or reset the connection.
bool takeReply(int socket, EndlessResult &result)
{
    std::array<char, 4096> buffer{};
    const ssize_t size = ::recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
        result.reply.append(buffer.data(), std::min(static_cast<size_t>(size), keptReplyBytes - std::min(keptReplyBytes, result.reply.size())));
    }
    return size > 0 || (size < 0 && (errno == EAGAIN || errno == EINTR));
}

// Sends `text`; false when the connection has ended or the time is over.
bool sendAll(int socket, std::string_view text, AK::Milliseconds end, EndlessResult &result)
{
    const AK::SystemClock clock;
    while (!text.empty()) {
        pollfd events{socket, POLLIN | POLLOUT, 0};
        const int ready = ::poll(&events, 1, pollMs);
        if (ready > 0 && (events.revents & (POLLIN | POLLHUP | POLLERR)) != 0 && !takeReply(socket, result)) {
            result.closed = true;
            return false;
        }
        if (ready > 0 && (events.revents & POLLOUT) != 0) {
            const ssize_t size = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0 && errno != EAGAIN && errno != EINTR) {
                result.closed = true;
                return false;
            }
            if (size > 0) {
                result.bytes += static_cast<size_t>(size);
                text.remove_prefix(static_cast<size_t>(size));
            }
        }
        if (clock.now() >= end) {
            return false;
        }
    }
    return true;
}

EndlessResult sendOn(int socket, const EndlessBytes &bytes, AK::Milliseconds limit)
{
    const AK::SystemClock clock;
    const AK::Milliseconds started = clock.now();
    EndlessResult result;
    ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof(sendBufferBytes));
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bool ok = sendAll(socket, bytes.start, started + limit, result);
    while (ok) {
        if (bytes.pause > 0) {
            clock.sleep(bytes.pause);
        }
        ok = sendAll(socket, bytes.again, started + limit, result);
    }
    // What was sent back before the end tells why.
    while (result.closed && result.reply.size() < keptReplyBytes && takeReply(socket, result)) {}
    result.duration = clock.now() - started;
    ::close(socket);
    return result;
}

} // namespace

size_t socketBufferBytes()
{
    std::ifstream file("/proc/sys/net/ipv4/tcp_rmem");
    size_t least = 0;
    size_t usual = 0;
    size_t most = 0;
    file >> least >> usual >> most;
    return most + sendBufferFactor * sendBufferBytes;
}

EndlessResult sendWithoutEnd(const AK::Endpoint &target, const EndlessBytes &bytes, AK::Milliseconds limit)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(target);
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        throw std::runtime_error("cannot connect to " + target.text());
    }
    return sendOn(socket, bytes, limit);
}

EndlessServer::EndlessServer(const AK::Endpoint &address, EndlessBytes bytes, AK::Milliseconds limit)
    : bytes(std::move(bytes))
    , limit(limit)
    , listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in bound = socketAddress(address);
    if (::bind(this->listener, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) != 0 || ::listen(this->listener, backlog) != 0) {
        ::close(this->listener);
        throw std::runtime_error("cannot listen on " + address.text());
    }
    this->acceptor = std::thread([this] { this->run(); });
}

EndlessServer::~EndlessServer()
{
    this->stopping = true;
    this->acceptor.join();
    ::close(this->listener);
    for (std::thread &connection : this->connections) {
        connection.join();
    }
}

void EndlessServer::run()
{
    while (!this->stopping) {
        pollfd events{this->listener, POLLIN, 0};
        if (::poll(&events, 1, pollMs) <= 0) {
            continue;
        }
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0) {
            ++this->open;
            this->connections.emplace_back([this, socket] { this->serve(socket); });
        }
    }
}

void EndlessServer::serve(int socket)
{
    pollfd events{socket, POLLIN, 0};
    ::poll(&events, 1, static_cast<int>(this->limit));
    std::array<char, 4096> request{};
    (void)::recv(socket, request.data(), request.size(), MSG_DONTWAIT);
    EndlessResult result = sendOn(socket, this->bytes, this->limit);
    const std::lock_guard lock(this->mutex);
    this->ended.push_back(std::move(result));
    --this->open;
}

std::vector<EndlessResult> EndlessServer::results()
{
    const AK::SystemClock clock;
    while (this->open > 0) {
        clock.sleep(pollMs);
    }
    const std::lock_guard lock(this->mutex);
    return this->ended;
}

} // namespace Loopback
