#pragma once

#include <Kernel/Service.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibOnce/ClaimRateLimit.h>
#include <LibOnce/PendingOutcomes.h>
#include <LibSettings/ProcessSettings.h>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace LibOnce
{

/// Runs each call at most once: claims it in the object API, dispatches it within the dispatch window and records the outcome. A background thread retries
/// outcomes that the store did not confirm and removes expired claims at a low rate.
class ClaimRunner final : public Kernel::Service, public OnceRunner
{
public:
    ClaimRunner(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store, LibMetrics::MetricRegistry &metrics);
    ~ClaimRunner() override;

    std::string_view name() const override;
    absl::Status start() override;

    /// Retries the pending outcomes for at most five seconds.
    void drain() override;
    void stop() override;

    OnceResult run(const OnceRequest &request, const Dispatch &dispatch) override;

    /// One pass of the background thread: tries once to record each pending outcome that is due, or every one with `ignoreBackoff`. Returns how many remain.
    size_t recordPending(bool ignoreBackoff);

    /// Removes a limited number of expired claims whose name starts with `prefix`.
    void removeExpired(const std::string &prefix);

private:
    OnceResult dispatchClaim(HeldClaim claim, const Dispatch &dispatch);
    void enqueue(HeldClaim claim);
    void runBackgroundPasses();
    void count(std::string_view result);

    ClaimSettings claimSettings;
    const AK::Clock &clock;
    LibObjectStore::ObjectStore &store;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger;
    mutable std::mutex mutex;
    std::condition_variable wake;
    ClaimRateLimit rateLimit;
    PendingOutcomes pending;
    bool stopping = false;
    std::thread worker;
};

} // namespace LibOnce
