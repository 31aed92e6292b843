#pragma once

#include "FaultState.h"
#include <AK/Endpoint.h>
#include <LibHttp/HttpServer.h>
#include <array>
#include <atomic>
#include <memory>
#include <set>
#include <thread>

/// TCP proxy that injects faults: a pair of threads per connection, one per direction.
class FaultProxy
{
public:
    /// `bytesPerSecond` limits each direction over all connections, as a link would; 0 means no limit.
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
        AK::Milliseconds freeAt = 0;
        /// Rest of a millisecond, in bytes times 1,000.
        int64_t rest = 0;
    };

    void acceptLoop();
    void serve(int client);
    void pump(const Connection &connection, Direction direction);
    bool passBlock(const Connection &connection, Direction direction, char *data, size_t size, size_t &passed, uint64_t &generation);
    void awaitLink(Direction direction, size_t size);
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
    int serving = 0;
    bool stopping = false;
};
