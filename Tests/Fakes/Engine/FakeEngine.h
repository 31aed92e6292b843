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
    int slots = 16;
    int coldSlots = 2;
    AK::Milliseconds coldMs = 0;
    AK::Milliseconds tokenMs = 0;
    AK::Milliseconds loadMs = 0;
    bool ignoreFencing = false;
    /// Threads that serve requests; a call in progress holds one.
    int threads = 64;
};

struct FakeEngineStats {
    uint64_t calls = 0;
    uint64_t peakConcurrent = 0;
    /// Calls that arrived while a cold engine was at its limit.
    uint64_t coldOverload = 0;
    uint64_t loads = 0;
    uint64_t refusedLoads = 0;
};

/// The tokens that weights of `root` give for a prompt.
std::vector<std::string> expectedTokens(const std::string &prompt, const std::string &root, int count);

/// A model engine that really reads the weights it is told to load and answers with tokens that tell which weights made them.
class FakeEngine
{
public:
    FakeEngine(FakeEngineOptions options, const AK::Clock &clock);
    ~FakeEngine();
    FakeEngine(const FakeEngine &) = delete;
    FakeEngine &operator=(const FakeEngine &) = delete;

    absl::Status start();
    void stop();

    /// A new instance with nothing loaded.
    void restart();
    void setFault(EngineFault fault);
    FakeEngineStats stats() const;

private:
    struct Loaded {
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
    absl::StatusOr<std::string> pullWeights(const std::string &url, const std::string &instance);
    void handleCompletion(LibHttp::HttpExchange &exchange, bool chat);
    void answerWhole(LibHttp::HttpExchange &exchange, bool chat, const std::vector<std::string> &tokens, const Loaded &weights);
    void answerStream(LibHttp::HttpExchange &exchange, bool chat, const std::vector<std::string> &tokens, const Loaded &weights);
    bool admit(Loaded &weights, int &refusal);
    void restartLocked();
    EngineFault currentFault() const;
    void stallUntilChanged();

    FakeEngineOptions options;
    const AK::Clock &clock;
    LibHttp::HttpServer server;
    std::atomic<bool> stopping{false};
    mutable std::mutex mutex;
    Loaded loaded;
    uint64_t restarts = 0;
    uint64_t greatestToken = 0;
    int concurrent = 0;
    EngineFault fault = EngineFault::None;
    FakeEngineStats counters;
};

} // namespace Fakes
