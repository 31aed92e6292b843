#pragma once

#include <Harness/Caller.h>

/// Open-loop load of the baselines: sends calls directly to the upstreams, round robin, bypassing entries and agents and thus without admission control.
class DirectLoad
{
public:
    struct Plan {
        /// Offered rate; calls start on a fixed schedule.
        double callsPerSecond = 20;
        int threads = 64;
        std::function<Harness::CallPlan(uint64_t sequence)> makeCall;
        /// Upstreams that may receive calls now; queried before each attempt.
        std::function<std::vector<AK::Endpoint>()> upstreams;
        /// Retries on the next upstream after any failure until the deadline; otherwise each call is sent once.
        bool retryAllFailures = true;
    };

    explicit DirectLoad(Plan plan);
    ~DirectLoad();
    DirectLoad(const DirectLoad &) = delete;
    DirectLoad &operator=(const DirectLoad &) = delete;

    /// Stops the threads and returns the records in order of start time.
    std::vector<Harness::CallRecord> finish();

private:
    void sendCalls();
    Harness::CallRecord run(const Harness::CallPlan &call, uint64_t sequence);

    Plan plan;
    AK::SystemClock clock;
    AK::Milliseconds startTime;
    std::atomic<uint64_t> nextSequence{0};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<Harness::CallRecord> records;
    std::vector<std::thread> threads;
};
