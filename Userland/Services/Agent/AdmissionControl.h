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

/// A slot that a call holds. The slot is free again when the last copy of its pointer is gone.
class Slot
{
public:
    Slot(AdmissionControl &control, std::string account, AK::Milliseconds startedAt);
    ~Slot();
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

    /// The call was completed; its duration counts as service time.
    void markComplete();

private:
    AdmissionControl &control;
    std::string account;
    AK::Milliseconds startedAt;
    std::atomic<bool> complete{false};
};

/// Result of asking for a slot.
struct EntryResult {
    std::shared_ptr<Slot> slot;
    /// Without a slot: why.
    LibRouting::Refusal reason = LibRouting::Refusal::None;
    AK::Milliseconds retryAfterMs = 0;
};

/// Slots, queue and ramp of the upstream, shared by the connections. Thread-safe. All slots must be gone before destruction.
class AdmissionControl
{
public:
    AdmissionControl(LibRouting::AdmissionLimits limits, const AK::Clock &clock);

    /// Waits in the queue of this agent when it must; the wait ends at the applicant's deadline. Runs in a fiber; cancelling the fiber gives the place up.
    EntryResult enter(LibRouting::AdmissionRequest applicant, kj::WaitScope &scope);

    /// Refuses new and queued calls for the given reason. Draining is final.
    void close(LibRouting::Refusal reason);
    /// Admits again. No effect while draining.
    void open();
    /// Starts a new ramp when the epoch is later than that of the ramp.
    void observeEngine(uint64_t epoch, int slots);
    void startCold();
    /// Grants slots that the ramp has added and drops calls that are late.
    void tick();
    /// False when `timeout` ms are over before all slots are free.
    bool waitIdle(AK::Milliseconds timeout);

    LibRouting::LoadHint load();
    int inUse() const;
    /// Time in ms after which a refused caller may find a slot.
    AK::Milliseconds retryAfter() const;

private:
    friend class Slot;
    struct Ticket;
    class QueuePlace;

    LibRouting::AdmissionLimits effectiveLimits() const;
    void release(const std::string &account, AK::Milliseconds serviceTimeMs);
    void grantLocked();
    void settleLocked(uint64_t id, LibRouting::Refusal reason);

    LibRouting::AdmissionLimits limits;
    const AK::Clock &clock;
    mutable std::mutex mutex;
    std::condition_variable changed;
    LibRouting::AdmissionState admission;
    LibRouting::Refusal closed = LibRouting::Refusal::None;
    int engineSlots = 0;
    uint64_t lastId = 0;
    std::map<uint64_t, std::shared_ptr<Ticket>> tickets;
};

} // namespace Agent
