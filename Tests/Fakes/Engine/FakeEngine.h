#pragma once

#include <AK/Clock.h>
#include <AK/Endpoint.h>
#include <AK/EnumNames.h>
#include <LibHttp/HttpServer.h>
#include <absl/status/statusor.h>
#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Fakes
{

/// Stall: calls wait until the fault changes. CutStream: streams break off after half of their tokens. CrashInLoad: the engine restarts during its next load.
/// LoseLoadResponse: the next load takes effect, but its connection is closed without a whole response.
enum class EngineFault { None, Stall, CutStream, CrashInLoad, LoseLoadResponse };

inline constexpr std::array engineFaultNames{
    AK::EnumName{EngineFault::None, "none"},
    AK::EnumName{EngineFault::Stall, "stall"},
    AK::EnumName{EngineFault::CutStream, "cut_stream"},
    AK::EnumName{EngineFault::CrashInLoad, "crash_in_load"},
    AK::EnumName{EngineFault::LoseLoadResponse, "lose_load_answer"},
};

struct FakeEngineOptions {
    AK::Endpoint address;
    /// Concurrent calls while the engine is warm.
    int slots = 16;
    /// Concurrent calls while the engine is cold, which is for `coldMs` after each load.
    int coldSlots = 2;
    AK::Milliseconds coldMs = 0;
    /// Time per token.
    AK::Milliseconds tokenMs = 0;
    /// Time of a load after all files are read.
    AK::Milliseconds loadMs = 0;
    /// Accepts load orders with an old fencing token.
    bool ignoreFencing = false;
    /// Threads that serve requests; each call in progress occupies one.
    int threads = 64;
};

struct FakeEngineStats {
    uint64_t calls = 0;
    uint64_t peakConcurrent = 0;
    /// Calls that were rejected because the cold engine was at its limit.
    uint64_t coldOverload = 0;
    uint64_t loads = 0;
    uint64_t refusedLoads = 0;
};

/// The tokens that the weights with this root generate for a prompt.
std::vector<std::string> expectedTokens(const std::string &prompt, const std::string &root, int count);

/// Fake model engine. It downloads the weights that it is told to load, and generates tokens from which a test can tell the weights that produced them.
class FakeEngine
{
public:
    FakeEngine(FakeEngineOptions options, const AK::Clock &clock);
    ~FakeEngine();
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;

    absl::Status start();
    void stop();

    /// Starts a new instance with no weights loaded.
    void restart();
    void setFault(EngineFault fault);
    FakeEngineStats stats() const;

private:
    struct LoadedWeights {
        std::string instance;
        uint64_t generation = 0;
        std::string state = "empty";
        std::string model;
        std::string adapter;
        std::string version;
        std::string root;
        AK::Milliseconds coldUntil = 0;

        std::string fingerprint() const;
    };

    void handle(LibHttp::HttpExchange &exchange);
    void handleControl(LibHttp::HttpExchange &exchange);
    void handleStatus(LibHttp::HttpExchange &exchange);
    void handleLoad(LibHttp::HttpExchange &exchange);
    absl::StatusOr<std::string> downloadWeights(const std::string &url, const std::string &instance);
    void handleCompletion(LibHttp::HttpExchange &exchange, bool chat);
    void respondWhole(LibHttp::HttpExchange &exchange, bool chat, const std::vector<std::string> &tokens, const LoadedWeights &weights);
    void respondStream(LibHttp::HttpExchange &exchange, bool chat, const std::vector<std::string> &tokens, const LoadedWeights &weights);
    bool admit(LoadedWeights &weights, int &errorStatus);
    void restartLocked();
    EngineFault currentFault() const;
    void waitWhileStalled();

    FakeEngineOptions options;
    const AK::Clock &clock;
    LibHttp::HttpServer server;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    LoadedWeights loaded;
    uint64_t restarts = 0;
    uint64_t highestFencingToken = 0;
    int concurrent = 0;
    EngineFault fault = EngineFault::None;
    FakeEngineStats counters;
};

} // namespace Fakes
