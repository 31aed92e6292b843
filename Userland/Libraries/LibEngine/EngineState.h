#pragma once

#include <AK/Clock.h>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace LibEngine
{

/// What the engine was verified to serve.
struct VerifiedEngine {
    /// Root of the loaded weights.
    std::string root;
    /// `system_fingerprint` that every response must carry.
    std::string fingerprint;
    /// Calls that the engine can run concurrently, as it reports.
    int slots = 0;
    /// Monotonic time of the last status read that confirmed this state.
    AK::Milliseconds confirmedAt = 0;
};

/// Verified state of the engine, written by the weights service and read by admission. Thread-safe.
class EngineState
{
public:
    /// The verified state, unless its last confirmation is older than `maxAge` ms at `now`.
    std::optional<VerifiedEngine> verified(AK::Milliseconds now, AK::Milliseconds maxAge) const;

    /// Called by the weights service after each status that matches the target or, before the switch, the previous weights.
    void confirm(VerifiedEngine engine);

    /// Discards the verified state, because a response carried another fingerprint, the engine restarted, or a load starts.
    void markUnverified();

    /// Incremented by each confirm() whose fingerprint differs from the last one, so that admission starts a new ramp.
    uint64_t epoch() const;

private:
    mutable std::mutex mutex;
    std::optional<VerifiedEngine> engine;
    std::string lastFingerprint;
    uint64_t epochNumber = 0;
};

/// Closes admission while the engine switches to other weights. Implemented by the agent's admission; used by the weights service.
class AdmissionGate
{
public:
    virtual ~AdmissionGate() = default;

    /// Refuses new calls from now on.
    virtual void closeForSwitch() = 0;

    /// Waits until no call is in flight. False after `timeout` ms.
    virtual bool waitDrained(AK::Milliseconds timeout) = 0;

    /// Admits calls again, from the start of the ramp.
    virtual void reopen() = 0;

    /// Number of calls in flight; transfers of weights are throttled while there are any.
    virtual int callsInFlight() const = 0;
};

} // namespace LibEngine
