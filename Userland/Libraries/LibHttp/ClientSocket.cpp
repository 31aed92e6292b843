#include <LibHttp/ClientSocket.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <limits>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace LibHttp
{

namespace
{

absl::Status brokenConnection(int error)
{
    return absl::UnavailableError(std::strerror(error));
}

// Waits until the socket is ready for `events` or has ended.
absl::Status waitFor(int socket, short events, AK::Milliseconds deadline)
{
    const AK::SystemClock clock;
    while (true) {
        const AK::Milliseconds left = std::clamp<AK::Milliseconds>(deadline - clock.now(), 0, std::numeric_limits<int>::max());
        pollfd waiting{socket, events, 0};
        const int ready = ::poll(&waiting, 1, static_cast<int>(left));
        if (ready > 0) {
            return absl::OkStatus();
        }
        if (ready < 0 && errno != EINTR) {
            return brokenConnection(errno);
        }
        if (ready == 0 && clock.now() >= deadline) {
            return absl::DeadlineExceededError("the deadline has passed");
        }
    }
}

bool mustWait(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

} // namespace

ClientSocket::ClientSocket(int socket)
    : socket(socket)
{
}

ClientSocket::~ClientSocket()
{
    ::close(this->socket);
}

absl::StatusOr<std::unique_ptr<ClientSocket>> ClientSocket::connect(const AK::Endpoint &target, AK::Milliseconds deadline)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.port);
    if (inet_pton(AF_INET, target.host.c_str(), &address.sin_addr) != 1) {
        return absl::UnavailableError("not an IPv4 address");
    }
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return brokenConnection(errno);
    }
    std::unique_ptr<ClientSocket> connection(new ClientSocket(descriptor));
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        if (errno != EINPROGRESS && errno != EINTR) {
            return brokenConnection(errno);
        }
        CATKINLINK_TRY(waitFor(descriptor, POLLOUT, deadline));
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            return brokenConnection(error);
        }
    }
    return connection;
}

absl::Status ClientSocket::write(std::string_view text, AK::Milliseconds deadline)
{
    while (!text.empty()) {
        const ssize_t size = ::send(this->socket, text.data(), text.size(), MSG_NOSIGNAL);
        if (size >= 0) {
            text.remove_prefix(static_cast<size_t>(size));
        } else if (mustWait(errno)) {
            CATKINLINK_TRY(waitFor(this->socket, POLLOUT, deadline));
        } else {
            return brokenConnection(errno);
        }
    }
    return absl::OkStatus();
}

absl::StatusOr<size_t> ClientSocket::read(char *buffer, size_t size, AK::Milliseconds deadline)
{
    while (true) {
        CATKINLINK_TRY(this->waitReadable(deadline));
        const ssize_t received = ::recv(this->socket, buffer, size, 0);
        if (received >= 0) {
            if (this->cancelled) {
                return absl::CancelledError("the call was cancelled");
            }
            // A peer that never pauses keeps the socket readable, so the wait alone would not end at the deadline.
            if (received > 0 && AK::SystemClock().now() >= deadline) {
                return absl::DeadlineExceededError("the deadline has passed");
            }
            return static_cast<size_t>(received);
        }
        if (!mustWait(errno)) {
            return brokenConnection(errno);
        }
    }
}

void ClientSocket::cancel()
{
    this->cancelled = true;
}

absl::Status ClientSocket::waitReadable(AK::Milliseconds deadline)
{
    return waitFor(this->socket, POLLIN, deadline);
}

} // namespace LibHttp
