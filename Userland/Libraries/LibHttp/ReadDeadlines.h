#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace LibHttp
{

/// Shuts down connections of clients whose request body is not read in time. CivetWeb waits for each next byte anew, so that a client which sends single bytes
/// would hold its thread without end.
class ReadDeadlines
{
public:
    /// While it lives, the connection is shut down once the deadline has passed. Must be destroyed before the connection is closed.
    class Guard
    {
    public:
        /// `peer`: address and port of the client. `port`: local port of the connection. `timeout`: in ms from now.
        Guard(ReadDeadlines &deadlines, AK::Endpoint peer, uint16_t port, AK::Milliseconds timeout);
        ~Guard();
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;

    private:
        ReadDeadlines &deadlines;
        uint64_t number;
    };

    ReadDeadlines();
    ~ReadDeadlines();
    ReadDeadlines(const ReadDeadlines &) = delete;
    ReadDeadlines &operator=(const ReadDeadlines &) = delete;

private:
    struct Connection {
        AK::Endpoint peer;
        uint16_t port = 0;
        AK::Milliseconds deadline = 0;
    };

    void run();
    /// Shuts down the connections whose deadline has passed. Returns the time in ms until the next deadline.
    AK::Milliseconds shutDownExpired();

    AK::SystemClock clock;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<uint64_t, Connection> connections;
    uint64_t nextNumber = 0;
    bool stopping = false;
    std::thread thread;
};

} // namespace LibHttp
