#pragma once

#include <AK/Random.h>
#include <Harness/Site.h>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

namespace Harness
{

/// One request of a caller.
struct CallPlan {
    /// Kind of request, for example "completion" or "grant-payment"; results are weighted by it.
    std::string kind;
    LibHttp::HttpRequest request;
    /// Streams are read event by event and need their end marker.
    bool stream = false;
    /// Calls that may be repeated are sent again after a failure; others only after "not run".
    bool repeatable = true;
    AK::Milliseconds deadlineMs = 10'000;
    /// Copied to the record, for example the prompt.
    std::string label;
};

struct CallRecord {
    std::string kind;
    std::string label;
    AK::Milliseconds startedAt = 0;
    AK::Milliseconds firstByteAt = 0;
    AK::Milliseconds endedAt = 0;
    int attempts = 0;
    /// Status of the last attempt; 0 when the connection broke.
    int status = 0;
    std::string outcome;
    std::string body;
    /// 200 and the whole body (for a stream: with its end marker).
    bool complete = false;
    /// An attempt broke after its connection was accepted.
    bool cut = false;
    std::string idempotencyKey;
    /// X-Request-Id of the attempts that were told "not run"; none of them may ever run. Calls that may not be repeated only.
    std::vector<std::string> notRunRequestIds;
};

/// A caller as the platform has them: asks any entry host for addresses, keeps the answer for its lifetime, connects itself, and goes to another entry when one
/// does not take the connection. Not thread-safe; each load thread has its own.
class Caller
{
public:
    Caller(Site &site, int account, uint64_t seed);

    CallRecord run(const CallPlan &plan);

private:
    AK::Endpoint nextEntry();
    void refreshAddresses();
    void attempt(const CallPlan &plan, CallRecord &record);

    Site &site;
    AK::Random random;
    std::string key;
    std::vector<AK::Endpoint> entries;
    AK::Milliseconds addressesUntil = 0;
    size_t position = 0;
    AK::SystemClock clock;
};

struct LoadPlan {
    /// Calls per second that are offered, whatever becomes of them.
    double callsPerSecond = 20;
    int threads = 64;
    /// Makes call number `sequence`.
    std::function<CallPlan(uint64_t sequence)> makeCall;
    /// Account of call number `sequence`, from 1.
    std::function<int(uint64_t sequence)> account = [](uint64_t) {
        return 1;
    };
    uint64_t seed = 1;
};

/// Open-loop load: calls start on a fixed schedule. Calls for which no thread is free start late and are counted.
class Load
{
public:
    Load(Site &site, LoadPlan plan);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Ends the load, waits for calls in flight and returns all records in order of their start.
    std::vector<CallRecord> finish();

    /// Waits until every call that runs now has ended and `count` calls that started after now are complete. False when `limit` ms are over.
    bool waitForFreshCalls(int count, AK::Milliseconds limit);

    uint64_t lateStarts() const;

private:
    void worker(int number);

    Site &site;
    LoadPlan plan;
    AK::SystemClock clock;
    AK::Milliseconds startedAt;
    std::atomic<uint64_t> next{0};
    std::atomic<uint64_t> late{0};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::condition_variable ended;
    std::set<uint64_t> running;
    /// Sequence numbers of complete calls, in order of their end.
    std::vector<uint64_t> completed;
    std::vector<CallRecord> records;
    std::vector<std::thread> threads;
};

/// A completion request of a service.
CallPlan completionCall(const std::string &service, const std::string &prompt, bool stream, int tokens);

} // namespace Harness
