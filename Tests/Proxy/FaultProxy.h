#pragma once

#include "FaultState.h"
#include <AK/Endpoint.h>
#include <LibHttp/HttpServer.h>
#include <array>
#include <atomic>
#include <memory>
#include <set>
#include <thread>

/// TCP proxy that injects faults. Each connection has two threads, one for each direction.
class FaultProxy
{
public:
    /// `bytesPerSecond` limits the rate of each direction, shared by all connections; 0 means no limit.
    FaultProxy(AK::Endpoint listen, AK::Endpoint target, int64_t bytesPerSecond, const AK::Clock &clock);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Errors: kUnavailable when the address cannot be bound.
    absl::Status start();
    void stop();

    void setFault(const Fault &fault);

    /// Serves `POST /fault` and `GET /stats`.
    void handleAdmin(LibHttp::HttpExchange &exchange);

private:
    enum Direction { ToTarget, ToClient };

    struct Connection {
        int client = -1;
        int target = -1;
    };

    struct LinkLimit {
        std::mutex mutex;
        AK::Milliseconds idleAt = 0;
        /// Fraction of a millisecond that idleAt leaves out, in bytes times 1,000.
        int64_t remainder = 0;
    };

    void acceptLoop();
    void serve(int client);
    void pump(const Connection &connection, Direction direction);
    bool forwardBlock(const Connection &connection, Direction direction, char *data, size_t size, size_t &forwardedBytes, uint64_t &generation);
    void waitForLink(Direction direction, size_t size);
    static void cut(const Connection &connection);

    AK::Endpoint listen;
    AK::Endpoint target;
    int64_t bytesPerSecond;
    const AK::Clock &clock;
    FaultState faults;
    std::array<LinkLimit, 2> links;
    std::array<std::atomic<uint64_t>, 2> bytes{};
    std::atomic<uint64_t> accepted{0};
    int listener = -1;
    std::thread acceptor;
    std::mutex mutex;
    std::condition_variable closed;
    std::set<const Connection *> open;
    int activeConnections = 0;
    bool stopping = false;
};
