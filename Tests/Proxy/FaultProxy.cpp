#include "FaultProxy.h"

#include <AK/Text.h>
#include <algorithm>
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace
{

constexpr size_t blockBytes = 64 << 10;

sockaddr_in socketAddress(const AK::Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
    return address;
}

bool sendAll(int socket, const char *data, size_t size)
{
    while (size > 0) {
        const ssize_t sent = send(socket, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<size_t>(sent);
    }
    return true;
}

int connectTo(const AK::Endpoint &endpoint)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = socketAddress(endpoint);
    if (socket >= 0 && connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

} // namespace

FaultProxy::FaultProxy(AK::Endpoint listen, AK::Endpoint target, int64_t bytesPerSecond, const AK::Clock &clock)
    : listen(std::move(listen))
    , target(std::move(target))
    , bytesPerSecond(bytesPerSecond)
    , clock(clock)
{
}

FaultProxy::~FaultProxy()
{
    this->stop();
}

absl::Status FaultProxy::start()
{
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in address = socketAddress(this->listen);
    if (bind(this->listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->listener, 1'024) != 0) {
        return absl::UnavailableError(AK::concat("cannot listen on ", this->listen.text()));
    }
    this->acceptor = std::thread([this] { this->acceptLoop(); });
    return absl::OkStatus();
}

void FaultProxy::stop()
{
    if (!this->acceptor.joinable()) {
        return;
    }
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    close(this->listener);
    this->faults.end();
    std::unique_lock lock(this->mutex);
    this->stopping = true;
    for (const Connection *connection : this->open) {
        cut(*connection);
    }
    this->closed.wait(lock, [this] { return this->activeConnections == 0; });
}

void FaultProxy::setFault(const Fault &fault)
{
    this->faults.set(fault);
    if (fault.mode == FaultMode::Cut && fault.afterBytes == 0) {
        const std::lock_guard lock(this->mutex);
        for (const Connection *connection : this->open) {
            cut(*connection);
        }
    }
}

void FaultProxy::handleAdmin(LibHttp::HttpExchange &exchange)
{
    const auto &request = exchange.request();
    if (request.method == "POST" && request.path == "/fault") {
        const auto fault = parseFault(request.body);
        if (!fault.ok()) {
            exchange.respond(LibHttp::jsonResponse(400, nlohmann::json{{"error", std::string(fault.status().message())}}.dump()));
            return;
        }
        this->setFault(*fault);
        exchange.respond(LibHttp::jsonResponse(200, "{}"));
    } else if (request.method == "GET" && request.path == "/stats") {
        const std::lock_guard lock(this->mutex);
        const nlohmann::json stats = {{"connections", this->accepted.load()},
                                      {"open", this->open.size()},
                                      {"bytes_to_target", this->bytes[ToTarget].load()},
                                      {"bytes_to_client", this->bytes[ToClient].load()}};
        exchange.respond(LibHttp::jsonResponse(200, stats.dump()));
    } else {
        exchange.respond(LibHttp::jsonResponse(404, R"({"error":"no such path"})"));
    }
}

void FaultProxy::acceptLoop()
{
    while (true) {
        const int client = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0 && (errno == EINTR || errno == ECONNABORTED)) {
            continue;
        }
        if (client < 0) {
            return;
        }
        ++this->accepted;
        {
            const std::lock_guard lock(this->mutex);
            ++this->activeConnections;
        }
        std::thread([this, client] { this->serve(client); }).detach();
    }
}

void FaultProxy::serve(int client)
{
    const Fault fault = this->faults.current();
    const bool cutImmediately = fault.mode == FaultMode::Cut && fault.afterBytes == 0;
    const Connection connection{client, cutImmediately ? -1 : connectTo(this->target)};
    if (connection.target >= 0) {
        const int yes = 1;
        setsockopt(connection.client, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        setsockopt(connection.target, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        {
            const std::lock_guard lock(this->mutex);
            this->open.insert(&connection);
            const Fault now = this->faults.current();
            if (this->stopping || (now.mode == FaultMode::Cut && now.afterBytes == 0)) {
                cut(connection);
            }
        }
        std::thread responses([this, &connection] { this->pump(connection, ToClient); });
        this->pump(connection, ToTarget);
        responses.join();
    }
    const std::lock_guard lock(this->mutex);
    this->open.erase(&connection);
    close(connection.client);
    if (connection.target >= 0) {
        close(connection.target);
    }
    --this->activeConnections;
    this->closed.notify_all();
}

void FaultProxy::pump(const Connection &connection, Direction direction)
{
    const int from = direction == ToTarget ? connection.client : connection.target;
    const int to = direction == ToTarget ? connection.target : connection.client;
    // A block holds at most 50 ms of the rate limit, so that bytes flow evenly.
    const size_t limit = this->bytesPerSecond > 0 ? std::clamp<size_t>(static_cast<size_t>(this->bytesPerSecond / 20), 1, blockBytes) : blockBytes;
    std::vector<char> block(limit);
    uint64_t generation = this->faults.current().generation;
    size_t forwardedBytes = 0;
    while (true) {
        const ssize_t received = recv(from, block.data(), block.size(), 0);
        if (received <= 0) {
            break;
        }
        if (!this->forwardBlock(connection, direction, block.data(), static_cast<size_t>(received), forwardedBytes, generation)) {
            cut(connection);
            return;
        }
    }
    const Fault fault = this->faults.current();
    if (fault.mode == FaultMode::HalfOpen || fault.mode == FaultMode::Stall) {
        // The close is not forwarded while the fault is in force.
        this->faults.waitForChange(fault.generation);
    }
    shutdown(to, SHUT_WR);
}

// Forwards a block, in two parts when `afterBytes` is reached within it. Returns false when the connection has to be closed.
bool FaultProxy::forwardBlock(const Connection &connection, Direction direction, char *data, size_t size, size_t &forwardedBytes, uint64_t &generation)
{
    const int to = direction == ToTarget ? connection.target : connection.client;
    while (size > 0) {
        const Fault fault = this->faults.current();
        if (fault.generation != generation) {
            generation = fault.generation;
            forwardedBytes = 0;
        }
        size_t part = size;
        const bool beforeFault = forwardedBytes < fault.afterBytes;
        if (beforeFault) {
            part = std::min(size, fault.afterBytes - forwardedBytes);
        } else if (fault.mode == FaultMode::Cut) {
            return false;
        } else if (fault.mode == FaultMode::Stall) {
            this->faults.waitForChange(generation);
            const std::lock_guard lock(this->mutex);
            if (this->stopping) {
                return false;
            }
            continue;
        } else if (fault.mode == FaultMode::Corrupt && direction == ToClient) {
            data[0] = static_cast<char>(data[0] ^ 1);
        } else if (fault.mode == FaultMode::Delay) {
            this->faults.waitForChange(generation, fault.delayMs);
        }
        this->waitForLink(direction, part);
        const bool discarded = !beforeFault && fault.mode == FaultMode::HalfOpen;
        if (!discarded && !sendAll(to, data, part)) {
            return false;
        }
        this->bytes[direction] += discarded ? 0 : part;
        forwardedBytes += part;
        data += part;
        size -= part;
    }
    return true;
}

void FaultProxy::waitForLink(Direction direction, size_t size)
{
    if (this->bytesPerSecond <= 0) {
        return;
    }
    LinkLimit &link = this->links[direction];
    AK::Milliseconds wait = 0;
    {
        const std::lock_guard lock(link.mutex);
        const AK::Milliseconds now = this->clock.now();
        const int64_t due = link.remainder + static_cast<int64_t>(size) * 1'000;
        link.idleAt = std::max(link.idleAt, now) + due / this->bytesPerSecond;
        link.remainder = due % this->bytesPerSecond;
        wait = link.idleAt - now;
    }
    this->clock.sleep(wait);
}

void FaultProxy::cut(const Connection &connection)
{
    shutdown(connection.client, SHUT_RDWR);
    shutdown(connection.target, SHUT_RDWR);
}
