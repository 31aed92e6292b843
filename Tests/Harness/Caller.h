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
    /// Kind of request, for example "completion" or "grant-payment". Results are weighted by kind.
    std::string kind;
    LibHttp::HttpRequest request;
    /// The response is read as an event stream and is complete only with its end marker.
    bool stream = false;
    /// Repeatable calls are sent again after a failure; others only after the outcome "not_run".
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
    /// HTTP status of the last attempt; 0 when no response arrived.
    int status = 0;
    std::string outcome;
    std::string body;
    /// Status 200 and the whole body was received (a stream with its end marker).
    bool complete = false;
    /// An attempt failed after its request may have been sent.
    bool cut = false;
    std::string idempotencyKey;
    /// X-Request-Id of the attempts with the outcome "not_run", none of which may ever be executed. Only for calls that may not be repeated.
    std::vector<std::string> notRunRequestIds;
};

/// Client with the behaviour of the callers on the platform: asks any entry host for the addresses of the entries, caches them for their TTL, connects to the
/// entries directly, and tries the next entry when one does not accept the connection. Not thread-safe; each load thread has its own.
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
    AK::Milliseconds addressesExpireAt = 0;
    size_t nextIndex = 0;
    AK::SystemClock clock;
};

struct LoadPlan {
    /// Rate at which calls start, whether or not earlier calls have ended.
    double callsPerSecond = 20;
    int threads = 64;
    /// Creates call number `sequence`, from 0.
    std::function<CallPlan(uint64_t sequence)> makeCall;
    /// Number of the account (from 1) that makes call number `sequence`.
    std::function<int(uint64_t sequence)> account = [](uint64_t) {
        return 1;
    };
    uint64_t seed = 1;
};

/// Open-loop load generator: calls start on a fixed schedule. A call for which no thread is free starts late and is counted in lateStarts().
class Load
{
public:
    Load(Site &site, LoadPlan plan);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /// Stops the load, waits for calls in flight and returns all records in order of their start time.
    std::vector<CallRecord> finish();

    /// Waits until every call that is in flight now has ended and `count` calls that started later are complete. False after `limit` ms.
    bool waitForNewCalls(int count, AK::Milliseconds limit);

    uint64_t lateStarts() const;

private:
    void worker(int number);

    Site &site;
    LoadPlan plan;
    AK::SystemClock clock;
    AK::Milliseconds startedAt;
    std::atomic<uint64_t> nextSequence{0};
    std::atomic<uint64_t> lateCount{0};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::condition_variable callEnded;
    /// Sequence numbers of the calls in flight.
    std::set<uint64_t> inFlight;
    /// Sequence numbers of complete calls, in order of their end.
    std::vector<uint64_t> completed;
    std::vector<CallRecord> records;
    std::vector<std::thread> threads;
};

/// A completion request to a model service.
CallPlan completionCall(const std::string &service, const std::string &prompt, bool stream, int tokens);

} // namespace Harness
