#include <LibHttp/ReadDeadlines.h>

#include <AK/Text.h>
#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <filesystem>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace LibHttp
{

namespace
{

// The thread wakes at least this often.
constexpr AK::Milliseconds longestWait = 60'000;

using AddressGetter = int (*)(int, sockaddr *, socklen_t *);

std::optional<AK::Endpoint> addressOf(int socket, AddressGetter getAddress)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    std::array<char, INET_ADDRSTRLEN> text{};
    if (getAddress(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0 || address.sin_family != AF_INET
        || inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()) == nullptr) {
        return std::nullopt;
    }
    return AK::Endpoint{text.data(), ntohs(address.sin_port)};
}

// CivetWeb does not tell the socket of a connection, so it is looked for among the files of the process.
std::optional<int> findSocket(const AK::Endpoint &peer, uint16_t port)
{
    std::error_code error;
    for (std::filesystem::directory_iterator file("/proc/self/fd", error); !error && file != std::filesystem::directory_iterator(); file.increment(error)) {
        const std::optional<int64_t> number = AK::parseInteger(file->path().filename().string());
        if (!number) {
            continue;
        }
        const int socket = static_cast<int>(*number);
        const std::optional<AK::Endpoint> remote = addressOf(socket, &getpeername);
        if (!remote || remote->host != peer.host || remote->port != peer.port) {
            continue;
        }
        const std::optional<AK::Endpoint> local = addressOf(socket, &getsockname);
        if (local && local->port == port) {
            return socket;
        }
    }
    return std::nullopt;
}

} // namespace

ReadDeadlines::Guard::Guard(ReadDeadlines &deadlines, AK::Endpoint peer, uint16_t port, AK::Milliseconds timeout)
    : deadlines(deadlines)
    , number(0)
{
    const std::lock_guard lock(this->deadlines.mutex);
    this->number = this->deadlines.nextNumber++;
    this->deadlines.connections[this->number] = {std::move(peer), port, this->deadlines.clock.now() + timeout};
    this->deadlines.changed.notify_one();
}

ReadDeadlines::Guard::~Guard()
{
    const std::lock_guard lock(this->deadlines.mutex);
    this->deadlines.connections.erase(this->number);
}

ReadDeadlines::ReadDeadlines()
    : thread([this] { this->run(); })
{
}

ReadDeadlines::~ReadDeadlines()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->changed.notify_one();
    }
    this->thread.join();
}

void ReadDeadlines::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->changed.wait_for(lock, std::chrono::milliseconds(this->shutDownExpired()));
    }
}

AK::Milliseconds ReadDeadlines::shutDownExpired()
{
    const AK::Milliseconds now = this->clock.now();
    AK::Milliseconds next = longestWait;
    for (auto entry = this->connections.begin(); entry != this->connections.end();) {
        const Connection &connection = entry->second;
        if (connection.deadline > now) {
            next = std::min(next, connection.deadline - now);
            ++entry;
            continue;
        }
        // The guard holds the connection open, so that the number can't belong to another file meanwhile.
        if (const std::optional<int> socket = findSocket(connection.peer, connection.port)) {
            shutdown(*socket, SHUT_RDWR);
        }
        entry = this->connections.erase(entry);
    }
    return next;
}

} // namespace LibHttp
