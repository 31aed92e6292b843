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

/// A queued call that waits on the thread of its connection.
struct AdmissionControl::Ticket {
    kj::Own<kj::CrossThreadPromiseFulfiller<bool>> wake;
    bool settled = false;
    LibRouting::Refusal reason = LibRouting::Refusal::None;
};

/// Gives the place in the queue, or the slot that was granted meanwhile, back when the wait is cancelled.
class AdmissionControl::QueuePlace
{
public:
    QueuePlace(AdmissionControl &control, const LibRouting::AdmissionRequest &applicant, std::shared_ptr<Ticket> ticket)
        : control(control)
        , applicant(applicant)
        , ticket(std::move(ticket))
    {
    }

    ~QueuePlace()
    {
        const std::lock_guard lock(this->control.mutex);
        this->control.tickets.erase(this->applicant.id);
        if (this->taken) {
            return;
        }
        if (!LibRouting::withdrawCall(this->control.admission, this->applicant.id) && this->ticket->settled
            && this->ticket->reason == LibRouting::Refusal::None) {
            LibRouting::finishCall(this->control.admission, this->applicant.account, -1);
            this->control.grantLocked();
        }
        this->control.changed.notify_all();
    }

    QueuePlace(const QueuePlace &) = delete;
    QueuePlace &operator=(const QueuePlace &) = delete;

    /// The outcome of the wait; a granted slot then belongs to the caller of this function.
    LibRouting::Refusal take()
    {
        const std::lock_guard lock(this->control.mutex);
        if (!this->ticket->settled) {
            return LibRouting::Refusal::Deadline;
        }
        this->taken = true;
        return this->ticket->reason;
    }

private:
    AdmissionControl &control;
    const LibRouting::AdmissionRequest &applicant;
    std::shared_ptr<Ticket> ticket;
    bool taken = false;
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

EntryResult AdmissionControl::enter(LibRouting::AdmissionRequest applicant, kj::WaitScope &scope)
{
    auto ticket = std::make_shared<Ticket>();
    kj::Promise<bool> granted = nullptr;
    {
        const std::lock_guard lock(this->mutex);
        if (this->closed != LibRouting::Refusal::None) {
            return {nullptr, this->closed, LibRouting::retryAfter(this->admission)};
        }
        applicant.id = ++this->lastId;
        const LibRouting::AdmissionDecision decision = LibRouting::offerCall(this->admission, this->effectiveLimits(), applicant, this->clock.now());
        if (decision.result == LibRouting::AdmissionResult::Refused) {
            return {nullptr, decision.reason, decision.retryAfterMs};
        }
        if (decision.result == LibRouting::AdmissionResult::Admitted) {
            return {std::make_shared<Slot>(*this, applicant.account, this->clock.now()), LibRouting::Refusal::None, 0};
        }
        for (const LibRouting::DroppedCall &displaced : decision.displaced) {
            this->settleLocked(displaced.id, displaced.reason);
        }
        auto pair = kj::newPromiseAndCrossThreadFulfiller<bool>();
        ticket->wake = kj::mv(pair.fulfiller);
        granted = kj::mv(pair.promise);
        this->tickets[applicant.id] = ticket;
    }
    QueuePlace place(*this, applicant, ticket);
    const AK::Milliseconds left = std::max<AK::Milliseconds>(0, applicant.deadline - this->clock.now());
    (void)LibWire::waitFor<bool>(kj::mv(granted), left, scope);
    const LibRouting::Refusal reason = place.take();
    if (reason != LibRouting::Refusal::None) {
        return {nullptr, reason, this->retryAfter()};
    }
    return {std::make_shared<Slot>(*this, applicant.account, this->clock.now()), LibRouting::Refusal::None, 0};
}

AK::Milliseconds AdmissionControl::retryAfter() const
{
    const std::lock_guard lock(this->mutex);
    return LibRouting::retryAfter(this->admission);
}

void AdmissionControl::settleLocked(uint64_t id, LibRouting::Refusal reason)
{
    const auto found = this->tickets.find(id);
    if (found != this->tickets.end()) {
        found->second->settled = true;
        found->second->reason = reason;
        found->second->wake->fulfill(true);
    }
}

void AdmissionControl::grantLocked()
{
    const LibRouting::QueueGrants grants = LibRouting::grantQueued(this->admission, this->effectiveLimits(), this->clock.now());
    for (const LibRouting::DroppedCall &dropped : grants.dropped) {
        this->settleLocked(dropped.id, dropped.reason);
    }
    for (const uint64_t id : grants.admitted) {
        this->settleLocked(id, LibRouting::Refusal::None);
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
    if (this->closed != LibRouting::Refusal::Draining) {
        this->closed = reason;
    }
    for (const LibRouting::AdmissionRequest &queued : this->admission.queue) {
        this->settleLocked(queued.id, reason);
    }
    while (!this->admission.queue.empty()) {
        LibRouting::withdrawCall(this->admission, this->admission.queue.back().id);
    }
}

void AdmissionControl::open()
{
    const std::lock_guard lock(this->mutex);
    if (this->closed != LibRouting::Refusal::Draining) {
        this->closed = LibRouting::Refusal::None;
    }
}

void AdmissionControl::observeEngine(uint64_t epoch, int slots)
{
    const std::lock_guard lock(this->mutex);
    this->engineSlots = slots;
    // Readers may report epochs out of order; only a later one is news.
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
