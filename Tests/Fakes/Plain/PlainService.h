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
    /// Executes, then cuts the answer.
    CutAfterRun,
    /// Cuts the answer without executing.
    CutBeforeRun,
    /// Executes, then holds the answer until the fault is changed.
    Stall,
};

inline constexpr std::array plainFaultNames{
    AK::EnumName{PlainFault::None, "none"},
    AK::EnumName{PlainFault::CutAfterRun, "cut_after_run"},
    AK::EnumName{PlainFault::CutBeforeRun, "cut_before_run"},
    AK::EnumName{PlainFault::Stall, "stall"},
};

/// Stand-in for a plain service: executes every request, also a repeated one, and counts executions by Idempotency-Key. Thread-safe.
class PlainService
{
public:
    PlainService(const AK::Clock &clock, AK::Milliseconds delay);

    void handle(LibHttp::HttpExchange &exchange);

    /// Ends the wait of stalled requests; they are cut.
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
    std::map<std::string, uint64_t> byKey;
    /// X-Request-Id of executed requests, in order.
    std::vector<std::string> requestIds;
};

} // namespace Fakes
