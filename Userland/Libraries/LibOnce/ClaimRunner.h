#pragma once

#include <Kernel/Service.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibOnce/ClaimLimit.h>
#include <LibOnce/PendingOutcomes.h>
#include <LibSettings/ProcessSettings.h>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace LibOnce
{

/// Runs calls at most once: claim, dispatch within the window, record. A background thread records outcomes that the store did not confirm and removes
/// expired claims at a low rate.
class ClaimRunner final : public Kernel::Service, public OnceRunner
{
public:
    ClaimRunner(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store, LibMetrics::MetricRegistry &metrics);
    ~ClaimRunner() override;

    std::string_view name() const override;
    absl::Status start() override;

    /// Tries for at most five seconds to record the outcomes that are still pending.
    void drain() override;
    void stop() override;

    OnceResult run(const OnceRequest &request, const Dispatch &dispatch) override;

    /// One pass of the background thread: tries the pending outcomes that are due, or all with `early`, once each. Returns how many remain.
    size_t recordPending(bool early);

    /// One pass of the cleaner over the claims whose name starts with `prefix`.
    void removeExpired(const std::string &prefix);

private:
    OnceResult dispatchHeld(HeldClaim claim, const Dispatch &dispatch);
    void enqueue(HeldClaim claim);
    void work();
    void count(std::string_view result);

    ClaimRules rules;
    const AK::Clock &clock;
    LibObjectStore::ObjectStore &store;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger;
    mutable std::mutex mutex;
    std::condition_variable wake;
    ClaimLimit limit;
    PendingOutcomes pending;
    bool stopping = false;
    std::thread worker;
};

} // namespace LibOnce
