#pragma once

#include <AK/Clock.h>
#include <LibRouting/Admission.h>
#include <LibRouting/Candidates.h>
#include <atomic>
#include <condition_variable>
#include <kj/async.h>
#include <memory>
#include <mutex>

namespace Agent
{

class AdmissionControl;

/// A slot held by a call. It is released when the last pointer to it is destroyed.
class Slot
{
public:
    Slot(AdmissionControl &control, std::string account, AK::Milliseconds startedAt);
    ~Slot();
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

    /// Marks the call as completed, so that its duration counts as service time.
    void markComplete();

private:
    AdmissionControl &control;
    std::string account;
    AK::Milliseconds startedAt;
    std::atomic<bool> complete{false};
};

/// Result of AdmissionControl::acquireSlot().
struct SlotResult {
    /// Null when the call was refused.
    std::shared_ptr<Slot> slot;
    /// Reason of the refusal.
    LibRouting::Refusal reason = LibRouting::Refusal::None;
    AK::Milliseconds retryAfterMs = 0;
};

/// Slots, queue and ramp of the upstream, shared by all connections. Thread-safe. All slots must be released before destruction.
class AdmissionControl
{
public:
    AdmissionControl(LibRouting::AdmissionLimits limits, const AK::Clock &clock);

    /// Takes a slot for a call. When none is free, the call is queued at most until its deadline. Runs in a fiber; cancelling the fiber removes the call from
    /// the queue.
    SlotResult acquireSlot(LibRouting::AdmissionRequest request, kj::WaitScope &scope);

    /// Refuses new and queued calls with the given reason. Refusal::Draining cannot be replaced or undone.
    void close(LibRouting::Refusal reason);
    /// Admits calls again after close(). No effect while draining.
    void open();
    /// Takes over the number of slots of the engine, 0 for no limit, and starts a new ramp when `epoch` is later than that of the current ramp.
    void observeEngine(uint64_t epoch, int slots);
    /// Starts a new ramp.
    void startCold();
    /// Grants slots that the ramp has added and drops queued calls that cannot finish by their deadline.
    void tick();
    /// Waits until all slots are free. Returns false after `timeout` ms.
    bool waitIdle(AK::Milliseconds timeout);

    LibRouting::LoadHint load();
    int inUse() const;
    /// Estimated time in ms until a refused caller can get a slot.
    AK::Milliseconds retryAfter() const;

private:
    friend class Slot;
    struct QueuedCall;
    class QueueGuard;

    LibRouting::AdmissionLimits effectiveLimits() const;
    void release(const std::string &account, AK::Milliseconds serviceTimeMs);
    void grantLocked();
    void resolveLocked(uint64_t id, LibRouting::Refusal reason);

    LibRouting::AdmissionLimits limits;
    const AK::Clock &clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    LibRouting::AdmissionState admission;
    LibRouting::Refusal closedReason = LibRouting::Refusal::None;
    int engineSlots = 0;
    uint64_t lastId = 0;
    std::map<uint64_t, std::shared_ptr<QueuedCall>> queuedCalls;
};

} // namespace Agent
