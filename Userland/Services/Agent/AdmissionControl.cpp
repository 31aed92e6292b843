#include <Services/Agent/AdmissionControl.h>

#include <LibWire/EventLoop.h>
#include <algorithm>
#include <chrono>

namespace Agent
{

Slot::Slot(AdmissionControl &control, std::string account, AK::Milliseconds startedAt)
    : control(control)
    , account(std::move(account))
    , startedAt(startedAt)
{
}

Slot::~Slot()
{
    this->control.release(this->account, this->complete ? this->control.clock.now() - this->startedAt : -1);
}

void Slot::markComplete()
{
    this->complete = true;
}

/// A queued call. Its fiber waits on the thread of its connection.
struct AdmissionControl::QueuedCall {
    kj::Own<kj::CrossThreadPromiseFulfiller<bool>> wake;
    bool resolved = false;
    LibRouting::Refusal reason = LibRouting::Refusal::None;
};

/// Removes the call from the queue when its wait is cancelled, or releases the slot that was granted meanwhile.
class AdmissionControl::QueueGuard
{
public:
    QueueGuard(AdmissionControl &control, const LibRouting::AdmissionRequest &request, std::shared_ptr<QueuedCall> queuedCall)
        : control(control)
        , request(request)
        , queuedCall(std::move(queuedCall))
    {
    }

    ~QueueGuard()
    {
        const std::lock_guard lock(this->control.mutex);
        this->control.queuedCalls.erase(this->request.id);
        if (this->resultTaken) {
            return;
        }
        if (!LibRouting::withdrawCall(this->control.admission, this->request.id) && this->queuedCall->resolved
            && this->queuedCall->reason == LibRouting::Refusal::None) {
            LibRouting::finishCall(this->control.admission, this->request.account, -1);
            this->control.grantLocked();
        }
        this->control.changed.notify_all();
    }

    QueueGuard(const QueueGuard &) = delete;
    QueueGuard &operator=(const QueueGuard &) = delete;

    /// Result of the wait: None when a slot was granted, which the caller then owns.
    LibRouting::Refusal takeResult()
    {
        const std::lock_guard lock(this->control.mutex);
        if (!this->queuedCall->resolved) {
            return LibRouting::Refusal::Deadline;
        }
        this->resultTaken = true;
        return this->queuedCall->reason;
    }

private:
    AdmissionControl &control;
    const LibRouting::AdmissionRequest &request;
    std::shared_ptr<QueuedCall> queuedCall;
    bool resultTaken = false;
};

AdmissionControl::AdmissionControl(LibRouting::AdmissionLimits limits, const AK::Clock &clock)
    : limits(limits)
    , clock(clock)
{
    this->admission.ramp = LibRouting::startRamp(limits.coldSlots, 0, clock.now());
}

LibRouting::AdmissionLimits AdmissionControl::effectiveLimits() const
{
    LibRouting::AdmissionLimits result = this->limits;
    if (this->engineSlots > 0) {
        result.capacity = std::min(result.capacity, this->engineSlots);
    }
    return result;
}

SlotResult AdmissionControl::acquireSlot(LibRouting::AdmissionRequest request, kj::WaitScope &scope)
{
    auto queuedCall = std::make_shared<QueuedCall>();
    kj::Promise<bool> granted = nullptr;
    {
        const std::lock_guard lock(this->mutex);
        if (this->closedReason != LibRouting::Refusal::None) {
            return {nullptr, this->closedReason, LibRouting::retryAfter(this->admission)};
        }
        request.id = ++this->lastId;
        const LibRouting::AdmissionDecision decision = LibRouting::offerCall(this->admission, this->effectiveLimits(), request, this->clock.now());
        if (decision.result == LibRouting::AdmissionResult::Refused) {
            return {nullptr, decision.reason, decision.retryAfterMs};
        }
        if (decision.result == LibRouting::AdmissionResult::Admitted) {
            return {std::make_shared<Slot>(*this, request.account, this->clock.now()), LibRouting::Refusal::None, 0};
        }
        for (const LibRouting::DroppedCall &displaced : decision.displaced) {
            this->resolveLocked(displaced.id, displaced.reason);
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<bool>();
        queuedCall->wake = kj::mv(pair.fulfiller);
        granted = kj::mv(pair.promise);
        this->queuedCalls[request.id] = queuedCall;
    }
    QueueGuard queueGuard(*this, request, queuedCall);
    const AK::Milliseconds left = std::max<AK::Milliseconds>(0, request.deadline - this->clock.now());
    (void)LibWire::waitFor<bool>(kj::mv(granted), left, scope);
    const LibRouting::Refusal reason = queueGuard.takeResult();
    if (reason != LibRouting::Refusal::None) {
        return {nullptr, reason, this->retryAfter()};
    }
    return {std::make_shared<Slot>(*this, request.account, this->clock.now()), LibRouting::Refusal::None, 0};
}

AK::Milliseconds AdmissionControl::retryAfter() const
{
    const std::lock_guard lock(this->mutex);
    return LibRouting::retryAfter(this->admission);
}

void AdmissionControl::resolveLocked(uint64_t id, LibRouting::Refusal reason)
{
    const auto found = this->queuedCalls.find(id);
    if (found != this->queuedCalls.end()) {
        found->second->resolved = true;
        found->second->reason = reason;
        found->second->wake->fulfill(true);
    }
}

void AdmissionControl::grantLocked()
{
    const LibRouting::QueueGrants grants = LibRouting::grantQueued(this->admission, this->effectiveLimits(), this->clock.now());
    for (const LibRouting::DroppedCall &dropped : grants.dropped) {
        this->resolveLocked(dropped.id, dropped.reason);
    }
    for (const uint64_t id : grants.admitted) {
        this->resolveLocked(id, LibRouting::Refusal::None);
    }
}

void AdmissionControl::release(const std::string &account, AK::Milliseconds serviceTimeMs)
{
    const std::lock_guard lock(this->mutex);
    LibRouting::finishCall(this->admission, account, serviceTimeMs);
    this->grantLocked();
    this->changed.notify_all();
}

void AdmissionControl::close(LibRouting::Refusal reason)
{
    const std::lock_guard lock(this->mutex);
    if (this->closedReason != LibRouting::Refusal::Draining) {
        this->closedReason = reason;
    }
    for (const LibRouting::AdmissionRequest &queued : this->admission.queue) {
        this->resolveLocked(queued.id, reason);
    }
    while (!this->admission.queue.empty()) {
        LibRouting::withdrawCall(this->admission, this->admission.queue.back().id);
    }
}

void AdmissionControl::open()
{
    const std::lock_guard lock(this->mutex);
    if (this->closedReason != LibRouting::Refusal::Draining) {
        this->closedReason = LibRouting::Refusal::None;
    }
}

void AdmissionControl::observeEngine(uint64_t epoch, int slots)
{
    const std::lock_guard lock(this->mutex);
    this->engineSlots = slots;
    // Threads may report epochs out of order; an earlier one is ignored.
    if (epoch > this->admission.ramp.epoch) {
        this->admission.ramp = LibRouting::startRamp(this->limits.coldSlots, epoch, this->clock.now());
    }
}

void AdmissionControl::startCold()
{
    const std::lock_guard lock(this->mutex);
    this->admission.ramp = LibRouting::startRamp(this->limits.coldSlots, this->admission.ramp.epoch, this->clock.now());
}

void AdmissionControl::tick()
{
    const std::lock_guard lock(this->mutex);
    this->grantLocked();
}

bool AdmissionControl::waitIdle(AK::Milliseconds timeout)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, std::chrono::milliseconds(timeout), [this] { return this->admission.inUse == 0; });
}

LibRouting::LoadHint AdmissionControl::load()
{
    const std::lock_guard lock(this->mutex);
    const LibRouting::AdmissionLimits current = this->effectiveLimits();
    LibRouting::advanceRamp(this->admission.ramp, current.capacity, current.rampStepMs, this->clock.now());
    LibRouting::LoadHint hint;
    hint.slots = static_cast<uint32_t>(this->admission.ramp.slots);
    hint.inUse = static_cast<uint32_t>(this->admission.inUse);
    hint.queued = static_cast<uint32_t>(this->admission.queue.size());
    hint.warm = this->admission.ramp.slots >= current.capacity;
    return hint;
}

int AdmissionControl::inUse() const
{
    const std::lock_guard lock(this->mutex);
    return this->admission.inUse;
}

} // namespace Agent
