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
    /// `system_fingerprint` that every answer must carry.
    std::string fingerprint;
    /// Calls that the engine says it bears at once.
    int slots = 0;
    /// Monotonic time of the last status read that confirmed this state.
    AK::Milliseconds confirmedAt = 0;
};

/// The state that the weights service keeps of the engine and that admission reads. Thread-safe.
class EngineState
{
public:
    /// The verified state, unless its last confirmation is older than `maxAge` ms at `now`.
    std::optional<VerifiedEngine> verified(AK::Milliseconds now, AK::Milliseconds maxAge) const;

    /// Called by the weights service after a status read that matches the wanted weights.
    void confirm(VerifiedEngine engine);

    /// Forgets the verified state: an answer carried another fingerprint, the engine restarted, or a load starts.
    void markUnverified();

    /// Grows with each confirm() of a fingerprint other than the one before, so that admission starts a new ramp.
    uint64_t epoch() const;

private:
    mutable std::mutex mutex;
    std::optional<VerifiedEngine> engine;
    std::string lastFingerprint;
    uint64_t epochNumber = 0;
};

/// Closes admission while the engine is switched. Implemented by the agent's admission; used by the weights service.
class AdmissionGate
{
public:
    virtual ~AdmissionGate() = default;

    /// Refuses new calls from now on.
    virtual void closeForSwitch() = 0;

    /// Waits until no call is in flight. False when `timeout` ms are over.
    virtual bool waitDrained(AK::Milliseconds timeout) = 0;

    /// Admits again, from the start of the ramp.
    virtual void reopen() = 0;

    /// Calls in flight; weights give way to them.
    virtual int callsInFlight() const = 0;
};

} // namespace LibEngine
