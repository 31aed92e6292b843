#include "Dispatcher.h"

#include <algorithm>
#include <kj/debug.h>
#include <set>

namespace Gateway
{

namespace
{

// Slots can become free without an event (a rate refills, a suspension ends), so queues with waiting calls are served again at this interval.
constexpr AK::Milliseconds pollInterval = 20;
// The first call in a queue repeats its requests to the owners of other engines at this interval.
constexpr AK::Milliseconds ownerRequestInterval = 40;

// Owners at which a call waits at the same time, besides this entry.
constexpr int ownersPerCall = 2;
// A request waits this long at most. A slot that comes after the wait must be used within slotMaxAge; both together end before its owner takes it back.
constexpr AK::Milliseconds longestOwnerWait = 1'400;
// Requests of this entry's calls that wait at owners. Each takes a fiber; the calls beyond them wait for slots of this entry only.
constexpr size_t maxOwnerWaits = 128;
// Requests of other entries that wait here, of about 1 KB each. The others are answered at once.
constexpr size_t maxRemoteWaiters = 512;

/// Priority under which a call is counted: those from 9 on together, so that accounts can't add series without end.
int countedPriority(int priority)
{
    return std::clamp(priority, 0, 9);
}

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

class Dispatcher::RemoteWaiter
{
public:
    RemoteWaiter(Dispatcher &dispatcher, CallRequirements requirements, kj::Own<kj::PromiseFulfiller<void>> fulfiller)
        : dispatcher(&dispatcher)
        , requirements(std::move(requirements))
        , waiter{&this->requirements, kj::mv(fulfiller), nullptr, false, GrantKind::ForPeer}
    {
        dispatcher.remoteWaiters.insert(this);
        insert(dispatcher.queue(this->requirements.service), this->waiter);
    }

    ~RemoteWaiter()
    {
        if (this->dispatcher != nullptr) {
            this->dispatcher->remoteWaiters.erase(this);
            this->dispatcher->queue(this->requirements.service).waiters.remove(&this->waiter);
        }
    }

    /// Must be called before the dispatcher is destroyed: a call over a connection that is closed lives until the next turn of the loop.
    void detach()
    {
        this->waiter.grant = nullptr;
        this->dispatcher = nullptr;
    }

    KJ_DISALLOW_COPY(RemoteWaiter);

    kj::Maybe<LibPeers::OfferedSlot> takeSlot()
    {
        KJ_IF_MAYBE (grant, this->waiter.grant) {
            LibPeers::OfferedSlot offer = this->dispatcher->offerOf(kj::mv(*grant));
            this->waiter.grant = nullptr;
            return kj::mv(offer);
        }
        return nullptr;
    }

private:
    Dispatcher *dispatcher;
    CallRequirements requirements;
    Waiter waiter;
};

Dispatcher::~Dispatcher()
{
    for (const auto &[service, queue] : this->queues) {
        queue->waiters.clear();
    }
    for (RemoteWaiter *waiter : this->remoteWaiters) {
        waiter->detach();
    }
}

struct Dispatcher::OwnerWaits {
    explicit OwnerWaits(Dispatcher &dispatcher)
        : dispatcher(dispatcher)
    {
    }

    ~OwnerWaits()
    {
        this->dispatcher.ownerWaits -= this->fibers.size();
    }

    KJ_DISALLOW_COPY(OwnerWaits);

    Dispatcher &dispatcher;
    std::set<std::string> asked;
    /// Dropping one withdraws its request.
    std::vector<kj::Promise<void>> fibers;
};

kj::Promise<kj::Maybe<LibPeers::OfferedSlot>> Dispatcher::awaitSlot(const LibPeers::SlotRequest &request)
{
    if (!this->settings.competition || request.wait <= 0 || this->remoteWaiters.size() >= maxRemoteWaiters) {
        return this->offerSlot(request);
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    auto waiter = kj::heap<RemoteWaiter>(*this, this->requirementsOf(request), kj::mv(paf.fulfiller));
    this->serveWaiters(request.service);
    const AK::Milliseconds wait = std::min(request.wait, longestOwnerWait);
    return paf.promise.exclusiveJoin(this->loop.after(wait)).then([waiter = kj::mv(waiter)]() mutable { return waiter->takeSlot(); });
}

void Dispatcher::startOwnerWaits(OwnerWaits &waits, ServiceQueue &queue, Waiter &waiter)
{
    for (int i = 0; i < ownersPerCall && this->slotSource != nullptr && waiter.grant == nullptr && this->ownerWaits < maxOwnerWaits; ++i) {
        ++this->ownerWaits;
        waits.fibers.push_back(this->loop.fiber([this, &waits, &queue, &waiter](kj::WaitScope &scope) { this->waitAtOwner(scope, waits, queue, waiter); }));
    }
}

void Dispatcher::waitAtOwner(kj::WaitScope &scope, OwnerWaits &waits, ServiceQueue &queue, Waiter &waiter)
{
    const CallRequirements &requirements = *waiter.requirements;
    while (waiter.grant == nullptr && !waiter.refused) {
        const AK::Milliseconds now = this->loop.clock().now();
        const AK::Milliseconds until = now < requirements.inTimeUntil ? std::min(requirements.inTimeUntil, requirements.startBy) : requirements.startBy;
        if (until <= now) {
            return;
        }
        kj::Maybe<kj::Own<Grant>> grant = this->requestFromOwners(scope, requirements, std::min(until - now, longestOwnerWait), &waits.asked);
        if (waiter.grant != nullptr || waiter.refused) {
            // The call has got another slot meanwhile; this one is released.
            return;
        }
        if (grant != nullptr) {
            queue.waiters.remove(&waiter);
            waiter.grant = kj::mv(grant);
            this->recordStart(queue, requirements);
            waiter.fulfiller->fulfill();
            return;
        }
        // An owner of an older build, or one that has no room for waiting requests, answers at once.
        this->loop.sleep(scope, ownerRequestInterval);
    }
}

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
        if (waited.ok() || this->settings.competition || queue.waiters.empty() || queue.waiters.front() != &waiter) {
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
    GrantOrRefusal result = this->acquireOrWait(scope, requirements);
    if (this->settings.competition) {
        const int priority = countedPriority(requirements.rank.priority);
        ++(result.grant != nullptr ? this->startedCalls[priority] : this->refusedCalls[{priority, result.reason}]);
    }
    return result;
}

void Dispatcher::exportCompetition(LibMetrics::MetricRegistry &metrics) const
{
    if (!this->settings.competition) {
        return;
    }
    std::map<int, int> waiting;
    for (const auto &[priority, count] : this->startedCalls) {
        waiting[priority] = 0;
        metrics.set("catkinlink_priority_calls_started", {{"priority", std::to_string(priority)}}, static_cast<double>(count));
    }
    for (const auto &[key, count] : this->refusedCalls) {
        waiting[key.first] = 0;
        metrics.set("catkinlink_priority_calls_refused",
                    {{"priority", std::to_string(key.first)}, {"reason", std::string(AK::nameOf(refusalReasonNames, key.second))}}, static_cast<double>(count));
    }
    for (const auto &[service, queue] : this->queues) {
        for (const Waiter *waiter : queue->waiters) {
            waiting[countedPriority(waiter->requirements->rank.priority)] += waiter->kind == GrantKind::Local ? 1 : 0;
        }
    }
    for (const auto &[priority, count] : waiting) {
        metrics.set("catkinlink_priority_calls_waiting", {{"priority", std::to_string(priority)}}, count);
    }
    metrics.set("catkinlink_peer_requests_waiting", {}, static_cast<double>(this->remoteWaiters.size()));
}

GrantOrRefusal Dispatcher::acquireOrWait(kj::WaitScope &scope, const CallRequirements &requirements)
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
            this->recordStart(queue, requirements);
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
    // Destroyed first, because the requests refer to the waiter.
    OwnerWaits ownerWaits(*this);
    if (this->settings.competition) {
        this->serveWaiters(requirements.service);
        this->startOwnerWaits(ownerWaits, queue, waiter);
    }
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
    const size_t waiting = ownCalls(queue);
    const size_t ahead = inTime ? callsAheadInTime(queue, requirements.rank, nullptr, now) : waiting;
    result.predictedWaitMs =
        LibGateway::timeToSlot(LibGateway::outlookOf(queue.rates, requirements.rank.priority, inTime, ahead, now), inTime, this->settings.waits);
    result.retryAfter = LibGateway::retryAfter(queue.rates, waiting, requirements.clientLeavesAt - now,
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
    const size_t others = ownCalls(queue) - (own == nullptr ? 0 : 1);
    const size_t aheadInTime = callsAheadInTime(queue, requirements.rank, own, now);
    const LibGateway::WaitOutlook inTime = LibGateway::outlookOf(queue.rates, priority, true, aheadInTime, now);
    const LibGateway::WaitOutlook late = LibGateway::outlookOf(queue.rates, priority, false, others, now);
    return LibGateway::decideWait(inTime, late, {requirements.inTimeUntil, requirements.startBy}, now, this->settings.waits)
        != LibGateway::WaitDecision::Refuse;
}

void Dispatcher::serveWaiters(const std::string &service)
{
    ServiceQueue &queue = this->queue(service);
    const Waiter *forShare = this->settings.competition ? sortByServiceOrder(queue, this->loop.clock().now()) : nullptr;
    bool peersFull = false;
    for (auto it = queue.waiters.begin(); it != queue.waiters.end();) {
        Waiter &waiter = **it;
        if (peersFull && waiter.kind == GrantKind::ForPeer) {
            ++it;
            continue;
        }
        // A call that has waited for half of its time in the queue is sent to an engine even if its prompt must wait there.
        const AK::Milliseconds waitsUntil = this->settings.competition ? waiter.requirements->inTimeUntil : waiter.requirements->startBy;
        const bool ignoreBacklog = this->loop.clock().now() >= (waiter.requirements->arrivedAt + waitsUntil) / 2;
        const Availability availability = this->tryGrant(*waiter.requirements, ignoreBacklog, waiter.kind, waiter.grant);
        waiter.refused = availability == Availability::None && (waiter.kind == GrantKind::ForPeer || this->retryAfterPause(*waiter.requirements));
        if (availability != Availability::Granted && !waiter.refused) {
            if (waiter.requirements->excluded.empty() && waiter.requirements->regions.empty() && waiter.requirements->accountRegions.empty()) {
                // No upstream has room for a call without restrictions, so none has room for the calls behind it. Calls of this entry may also use upstreams
                // without an owner.
                if (waiter.kind == GrantKind::Local) {
                    break;
                }
                peersFull = true;
            }
            ++it;
            continue;
        }
        it = queue.waiters.erase(it);
        if (availability == Availability::Granted) {
            queue.minimumShare.slotsSince = &waiter == forShare ? 0 : queue.minimumShare.slotsSince + 1;
            this->recordStart(queue, *waiter.requirements);
        }
        waiter.fulfiller->fulfill();
    }
    if (!queue.waiters.empty()) {
        this->schedulePoll(service);
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
