#include "Dispatcher.h"

#include <algorithm>
#include <kj/debug.h>

namespace Gateway
{

namespace
{

// Slots can become free without an event (a rate refills, a suspension ends), so queues with waiting calls are served again at this interval.
constexpr AK::Milliseconds pollInterval = 20;
// The first call in a queue repeats its requests to the owners of other engines at this interval.
constexpr AK::Milliseconds ownerRequestInterval = 40;

/// Figures of the engines of a service, with all of their slots in use; zeros when it has none.
LibGateway::EngineFigures engineFigures(const LibFleet::FleetState &fleet, const std::string &service)
{
    const auto configuration = fleet.configuration();
    if (!configuration) {
        return {};
    }
    const auto found = configuration->services.find(service);
    if (found == configuration->services.end() || !found->second.engine) {
        return {};
    }
    const LibFleet::EngineSpec &engine = *found->second.engine;
    return {engine.stepMs, engine.perSequenceMs, engine.prefillPerSecond, engine.stride, engine.slots};
}

} // namespace

bool Dispatcher::waitInQueue(kj::WaitScope &scope, ServiceQueue &queue, Waiter &waiter, kj::ForkedPromise<void> &granted)
{
    while (true) {
        const AK::Milliseconds now = this->loop.clock().now();
        if (waiter.grant != nullptr) {
            return true;
        }
        if (waiter.refused || now >= waiter.requirements->startBy) {
            return false;
        }
        if (this->settings.competition && now >= waiter.requirements->inTimeUntil && !this->mayWait(*waiter.requirements, &waiter)) {
            return false;
        }
        const bool checksAgain = this->slotSource != nullptr || this->settings.competition;
        const AK::Milliseconds until = checksAgain ? std::min(waiter.requirements->startBy, now + ownerRequestInterval) : waiter.requirements->startBy;
        const absl::Status waited = this->loop.awaitDone(scope, granted.addBranch(), until);
        if (waited.ok() || queue.waiters.empty() || queue.waiters.front() != &waiter) {
            continue;
        }
        kj::Maybe<kj::Own<Grant>> fromPeer = this->requestFromOwners(scope, *waiter.requirements);
        if (waiter.grant == nullptr && fromPeer != nullptr) {
            waiter.grant = kj::mv(fromPeer);
            return true;
        }
    }
}

GrantOrRefusal Dispatcher::acquire(kj::WaitScope &scope, const CallRequirements &requirements)
{
    ServiceQueue &queue = this->queue(requirements.service);
    GrantOrRefusal result;
    if (!requirements.rank.returning) {
        LibGateway::recordFreshCall(queue.intervals, this->loop.clock().now());
        LibGateway::recordFreshCall(queue.rates, requirements.rank.priority, this->loop.clock().now());
    }
    if (queue.waiters.empty()) {
        const Availability availability = this->tryGrant(requirements, false, GrantKind::Local, result.grant);
        if (availability == Availability::Full) {
            result.grant = this->requestFromOwners(scope, requirements);
        }
        if (result.grant != nullptr) {
            return result;
        }
        if (availability == Availability::None) {
            return this->refusalWithoutUpstream(requirements);
        }
    }
    if (!this->mayWait(requirements, nullptr)) {
        return this->refusalForLackOfRoom(requirements, RefusalReason::QueueTooLong);
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    kj::ForkedPromise<void> granted = paf.promise.fork();
    Waiter waiter{&requirements, kj::mv(paf.fulfiller), nullptr, false};
    insert(queue, waiter);
    KJ_DEFER(queue.waiters.remove(&waiter));
    this->schedulePoll(requirements.service);
    if (this->waitInQueue(scope, queue, waiter, granted)) {
        result.grant = kj::mv(waiter.grant);
        return result;
    }
    if (waiter.refused) {
        return this->refusalWithoutUpstream(requirements);
    }
    return this->refusalForLackOfRoom(requirements, RefusalReason::WaitedTooLong);
}

GrantOrRefusal Dispatcher::refusalWithoutUpstream(const CallRequirements &requirements)
{
    GrantOrRefusal result;
    const std::optional<AK::Milliseconds> afterPause = this->retryAfterPause(requirements);
    result.reason = afterPause ? RefusalReason::AllPaused : RefusalReason::NoUpstream;
    if (afterPause) {
        result.retryAfter = *afterPause;
    } else if (this->settings.competition) {
        const AK::Milliseconds timeLeft = requirements.clientLeavesAt - this->loop.clock().now();
        result.retryAfter = LibGateway::retryAfterWithoutUpstream(timeLeft, std::uniform_real_distribution<double>(0, 1)(this->random), this->settings.waits);
    } else {
        result.retryAfter = Gateway::retryAfter(this->queue(requirements.service), this->settings.queue, this->random);
    }
    return result;
}

GrantOrRefusal Dispatcher::refusalForLackOfRoom(const CallRequirements &requirements, RefusalReason reason)
{
    ServiceQueue &queue = this->queue(requirements.service);
    GrantOrRefusal result;
    result.reason = reason;
    if (!this->settings.competition) {
        result.retryAfter = Gateway::retryAfter(queue, this->settings.queue, this->random);
        return result;
    }
    const AK::Milliseconds now = this->loop.clock().now();
    LibGateway::recordEvent(queue.rates.refusals, now);
    const bool inTime = now < requirements.inTimeUntil;
    const size_t ahead = inTime ? callsAhead(queue, requirements.rank) : queue.waiters.size();
    result.predictedWaitMs =
        LibGateway::timeToSlot(LibGateway::outlookOf(queue.rates, requirements.rank.priority, inTime, ahead, now), inTime, this->settings.waits);
    result.retryAfter = LibGateway::retryAfter(queue.rates, queue.waiters.size(), requirements.clientLeavesAt - now,
                                               std::uniform_real_distribution<double>(0, 1)(this->random), now, this->settings.waits);
    return result;
}

AK::Milliseconds Dispatcher::responseTime(const CallRequirements &requirements, const LibFleet::Route &route)
{
    if (route.kind != LibFleet::RouteKind::Stream) {
        return static_cast<AK::Milliseconds>(this->queue(requirements.service).holdMs);
    }
    const AK::Milliseconds predicted =
        LibGateway::timeToFirstEvent(engineFigures(this->fleet, requirements.service), requirements.promptTokens, this->settings.waits);
    // Without the figures of the engine, the share of the target that calls may wait otherwise.
    return predicted > 0 ? predicted : static_cast<AK::Milliseconds>((1 - this->settings.queue.streamWaitShare) * static_cast<double>(route.targetLatency));
}

bool Dispatcher::mayWait(const CallRequirements &requirements, const Waiter *own)
{
    ServiceQueue &queue = this->queue(requirements.service);
    const AK::Milliseconds now = this->loop.clock().now();
    if (!this->settings.competition) {
        return !LibGateway::startsTooLate(queue.intervals, requirements.rank, callsAhead(queue, requirements.rank), now, requirements.startBy);
    }
    const int priority = requirements.rank.priority;
    const size_t others = queue.waiters.size() - (own == nullptr ? 0 : 1);
    const LibGateway::WaitOutlook inTime = LibGateway::outlookOf(queue.rates, priority, true, callsAhead(queue, requirements.rank), now);
    const LibGateway::WaitOutlook late = LibGateway::outlookOf(queue.rates, priority, false, others, now);
    return LibGateway::decideWait(inTime, late, {requirements.inTimeUntil, requirements.startBy}, now, this->settings.waits)
        != LibGateway::WaitDecision::Refuse;
}

void Dispatcher::serveWaiters(const std::string &service)
{
    ServiceQueue &queue = this->queue(service);
    for (auto it = queue.waiters.begin(); it != queue.waiters.end();) {
        Waiter &waiter = **it;
        // A call that has waited for half of its time in the queue is sent to an engine even if its prompt must wait there.
        const AK::Milliseconds waitsUntil = this->settings.competition ? waiter.requirements->inTimeUntil : waiter.requirements->startBy;
        const bool ignoreBacklog = this->loop.clock().now() >= (waiter.requirements->arrivedAt + waitsUntil) / 2;
        const Availability availability = this->tryGrant(*waiter.requirements, ignoreBacklog, GrantKind::Local, waiter.grant);
        waiter.refused = availability == Availability::None && this->retryAfterPause(*waiter.requirements);
        if (availability != Availability::Granted && !waiter.refused) {
            if (waiter.requirements->excluded.empty() && waiter.requirements->regions.empty() && waiter.requirements->accountRegions.empty()) {
                // No upstream has room for a call without restrictions, so none has room for the calls behind it.
                break;
            }
            ++it;
            continue;
        }
        it = queue.waiters.erase(it);
        waiter.fulfiller->fulfill();
    }
    if (!queue.waiters.empty()) {
        this->schedulePoll(service);
    }
}

void Dispatcher::serveAllWaiters()
{
    for (const auto &[service, queue] : this->queues) {
        if (!queue->waiters.empty()) {
            this->serveWaiters(service);
        }
    }
}

void Dispatcher::schedulePoll(const std::string &service)
{
    ServiceQueue &queue = this->queue(service);
    if (queue.pollScheduled) {
        return;
    }
    queue.pollScheduled = true;
    this->loop.spawn([this, service](kj::WaitScope &scope) {
        this->loop.sleep(scope, pollInterval);
        this->queue(service).pollScheduled = false;
        this->serveWaiters(service);
    });
}

} // namespace Gateway
