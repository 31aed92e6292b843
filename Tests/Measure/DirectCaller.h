#pragma once

#include <Harness/Caller.h>

/// Load of the baselines: sends calls straight to the upstreams, round robin, without admission and without our processes.
class DirectLoad
{
public:
    struct Plan {
        double callsPerSecond = 20;
        int threads = 64;
        std::function<Harness::CallPlan(uint64_t sequence)> makeCall;
        /// Upstreams to use now; read before each call.
        std::function<std::vector<AK::Endpoint>()> upstreams;
        /// Sends again at the next upstream after any failure, up to the deadline.
        bool retryAnything = true;
    };

    explicit DirectLoad(Plan plan);
    ~DirectLoad();
    DirectLoad(const DirectLoad &) = delete;
    DirectLoad &operator=(const DirectLoad &) = delete;

    std::vector<Harness::CallRecord> finish();

private:
    void worker();
    Harness::CallRecord run(const Harness::CallPlan &call, uint64_t sequence);

    Plan plan;
    AK::SystemClock clock;
    AK::Milliseconds startedAt;
    std::atomic<uint64_t> next{0};
    std::atomic<bool> stopping{false};
    std::mutex mutex;
    std::vector<Harness::CallRecord> records;
    std::vector<std::thread> threads;
};
