#include "EndlessSender.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Loopback
{

namespace
{

constexpr int pollTimeoutMs = 20;
constexpr size_t readBytes = 65'536;

sockaddr_in addressOf(const AK::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

size_t statusBytes(std::string_view field)
{
    std::ifstream file("/proc/self/status");
    std::string word;
    size_t kilobytes = 0;
    while (file >> word && word != field) {}
    file >> kilobytes;
    return kilobytes * 1024;
}

bool isTemporary(ssize_t result)
{
    return result < 0 && (errno == EAGAIN || errno == EINTR);
}

} // namespace

MemoryGrowth::MemoryGrowth()
{
    // Sets the peak to the present value; see proc(5).
    std::ofstream("/proc/self/clear_refs") << "5";
    this->before = statusBytes("VmHWM:");
}

size_t MemoryGrowth::largest() const
{
    // The kernel counts pages for each thread and adds them up with a delay, so that the peak may seem to shrink a little.
    return std::max(statusBytes("VmHWM:"), this->before) - this->before;
}

EndlessSender::EndlessSender(Role role, const AK::Endpoint &address, EndlessTraffic traffic)
    : traffic(std::move(traffic))
    , socketNumber(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , until(this->clock.now() + endlessTime)
{
    const sockaddr_in name = addressOf(address);
    const int enabled = 1;
    setsockopt(this->socketNumber, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const auto *generic = reinterpret_cast<const sockaddr *>(&name);
    const bool ready = role == Role::Client ? connect(this->socketNumber, generic, sizeof name) == 0
                                            : bind(this->socketNumber, generic, sizeof name) == 0 && listen(this->socketNumber, SOMAXCONN) == 0;
    if (!ready) {
        throw std::runtime_error("the endless sender can't use " + address.text());
    }
    fcntl(this->socketNumber, F_SETFL, O_NONBLOCK);
    this->thread = std::thread([this, role] { this->run(role); });
}

EndlessSender::~EndlessSender()
{
    this->stop = true;
    this->thread.join();
    close(this->socketNumber);
}

size_t EndlessSender::bytesSent() const
{
    return this->sent;
}

int EndlessSender::closedConnections() const
{
    return this->closed;
}

bool EndlessSender::stopped() const
{
    return this->stop || this->clock.now() >= this->until;
}

void EndlessSender::run(Role role)
{
    if (role == Role::Client) {
        this->sendWithoutEnd(this->socketNumber);
        return;
    }
    while (!this->stopped()) {
        pollfd listening{this->socketNumber, POLLIN, 0};
        poll(&listening, 1, pollTimeoutMs);
        const int connection = accept4(this->socketNumber, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0) {
            continue;
        }
        pollfd request{connection, POLLIN, 0};
        while (!this->stopped() && poll(&request, 1, pollTimeoutMs) == 0) {}
        this->sendWithoutEnd(connection);
        close(connection);
    }
}

void EndlessSender::sendWithoutEnd(int connection)
{
    std::array<char, readBytes> received{};
    std::string_view pending = this->traffic.start;
    bool reads = this->traffic.reads;
    while (!this->stopped()) {
        pollfd state{connection, static_cast<short>(reads ? POLLIN | POLLOUT : POLLOUT), 0};
        poll(&state, 1, pollTimeoutMs);
        if (reads && (state.revents & POLLIN) != 0) {
            const ssize_t size = recv(connection, received.data(), received.size(), 0);
            reads = size > 0 || isTemporary(size);
        }
        if ((state.revents & (POLLOUT | POLLERR | POLLHUP)) == 0) {
            continue;
        }
        pending = pending.empty() ? std::string_view(this->traffic.again) : pending;
        const ssize_t size = send(connection, pending.data(), pending.size(), MSG_NOSIGNAL);
        if (size > 0) {
            this->sent += static_cast<size_t>(size);
            pending.remove_prefix(static_cast<size_t>(size));
        } else if (!isTemporary(size)) {
            ++this->closed;
            return;
        }
    }
}

} // namespace Loopback
