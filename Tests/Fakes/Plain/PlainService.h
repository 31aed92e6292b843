#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <LibHttp/HttpServer.h>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Fakes
{

enum class PlainFault {
    None,
    /// Executes the request, then cuts the response.
    CutAfterRun,
    /// Cuts the response without executing the request.
    CutBeforeRun,
    /// Executes the request, then holds the response back until the fault changes.
    Stall,
};

inline constexpr std::array plainFaultNames{
    AK::EnumName{PlainFault::None, "none"},
    AK::EnumName{PlainFault::CutAfterRun, "cut_after_run"},
    AK::EnumName{PlainFault::CutBeforeRun, "cut_before_run"},
    AK::EnumName{PlainFault::Stall, "stall"},
};

/// Fake plain service: executes every request, including repeated ones, and counts executions by Idempotency-Key. `delay` is the time that each request takes,
/// in ms. Thread-safe.
class PlainService
{
public:
    PlainService(const AK::Clock &clock, AK::Milliseconds delay);

    void handle(LibHttp::HttpExchange &exchange);

    /// Ends the wait of stalled requests; their responses are cut.
    void shutdown();

private:
    void handleFault(LibHttp::HttpExchange &exchange);
    void handleStats(LibHttp::HttpExchange &exchange);
    void handleExecutions(LibHttp::HttpExchange &exchange);
    void handleRequests(LibHttp::HttpExchange &exchange);
    void execute(LibHttp::HttpExchange &exchange);
    uint64_t countExecution(const std::string &key, const std::string &requestId);
    bool waitWhileStalled();

    const AK::Clock &clock;
    AK::Milliseconds delay;
    std::mutex mutex;
    std::condition_variable changed;
    PlainFault fault = PlainFault::None;
    bool stopping = false;
    uint64_t executions = 0;
    std::map<std::string, uint64_t> executionsByIdempotencyKey;
    /// X-Request-Id of the executed requests, in the order of execution.
    std::vector<std::string> requestIds;
};

} // namespace Fakes
