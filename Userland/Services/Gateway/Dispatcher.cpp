#include "Dispatcher.h"

#include "HindranceOverview.h"
#include "UpstreamChoice.h"
#include "WeightsOverview.h"

#include <algorithm>
#include <kj/debug.h>

namespace Gateway
{

namespace
{

// A slot must be used within this time, which is longer than three owners may take to respond and a connection to open. Later, its owner may have taken it
// back, and rates that it was granted by have been refilled.
constexpr AK::Milliseconds slotMaxAge = 1'500;

} // namespace

Dispatcher::Dispatcher(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, DispatchSettings settings, SlotSource *slotSource)
    : loop(loop)
    , fleet(fleet)
    , settings(std::move(settings))
    , slotSource(slotSource)
    , table(loop.clock(), fleet, this->settings.upstreams, slotSource != nullptr)
    , slotRequester(loop, fleet, this->table, this->settings.upstreams.placement, slotSource)
    , random(AK::seededFromSystem())
{
}

void Dispatcher::setBounds(const LibGateway::RetryBudgetSettings &retries, AK::Milliseconds weightsSwitchDelay, AK::Milliseconds weightsBeginLimit)
{
    this->settings.retries = retries;
    this->table.setWeightsTimes(weightsSwitchDelay, weightsBeginLimit);
    for (const auto &[service, queue] : this->queues) {
        queue->budget.reconfigure(retries, this->loop.clock().now());
    }
}

void Dispatcher::setRegions(std::map<std::string, std::string> regionsByDomain)
{
    this->table.setRegions(std::move(regionsByDomain));
}

void Dispatcher::setEntries(std::vector<LibFleet::EntryLocation> entries)
{
    this->table.setEntries(std::move(entries));
}

void Dispatcher::setOpenSlots(std::map<std::string, int> openSlotsByEntry)
{
    this->table.setOpenSlots(std::move(openSlotsByEntry));
}

int Dispatcher::openSlots()
{
    return this->table.openSlots();
}

ServiceQueue &Dispatcher::queue(const std::string &service)
{
    std::unique_ptr<ServiceQueue> &queue = this->queues[service];
    if (!queue) {
        queue = std::make_unique<ServiceQueue>(this->settings.retries);
    }
    return *queue;
}

void Dispatcher::countCall(const std::string &service)
{
    this->queue(service).budget.countCall(this->loop.clock().now());
}

void Dispatcher::setRankAndStartBy(CallRequirements &requirements, const LibFleet::Route &route, AK::Milliseconds clientTimeout)
{
    LibGateway::ClientTimeoutRecord &record = this->clientTimeouts[route.name];
    LibGateway::recordClientTimeout(record, clientTimeout);
    requirements.rank.returning = LibGateway::isReturning(route.kind, clientTimeout, record, this->settings.queue);
    if (this->settings.competition) {
        const AK::Milliseconds clientWaits = route.clientGapLimit > 0 ? std::min(clientTimeout, route.clientGapLimit) : clientTimeout;
        const LibGateway::WaitLimits limits = LibGateway::waitLimits(requirements.arrivedAt, route.targetLatency, this->responseTime(requirements, route),
                                                                     clientWaits, requirements.rank.returning, this->settings.waits);
        requirements.startBy = limits.startBy;
        requirements.inTimeUntil = limits.inTimeUntil;
        requirements.clientLeavesAt = requirements.arrivedAt + clientTimeout;
        return;
    }
    requirements.startBy = requirements.arrivedAt + LibGateway::longestWait(route.kind, requirements.rank.returning, route.targetLatency, this->settings.queue);
}

bool Dispatcher::trySpendRetry(const std::string &service)
{
    return this->queue(service).budget.trySpend(this->loop.clock().now(), this->table.registeredEntries());
}

Dispatcher::Availability Dispatcher::tryGrant(const CallRequirements &requirements, bool ignoreBacklog, GrantKind kind, kj::Maybe<kj::Own<Grant>> &grant)
{
    const AK::RecentCheck check(this->loop.clock(), slotMaxAge);
    const UpstreamChoice choice = chooseUpstream(this->table, this->fleet, requirements, kind, ignoreBacklog, this->settings.upstreams, this->random);
    if (choice.upstream == nullptr) {
        return choice.anyUsable ? Availability::Full : Availability::None;
    }
    const LibFleet::UpstreamRecord &record = *choice.upstream;
    LibGateway::UpstreamLoad &load = this->table.loadOf(record);
    ++load.ownInFlight;
    load.pendingPromptTokens += requirements.promptTokens;
    this->table.takeRateToken(record);
    this->table.recordSend(record.service);
    this->callsForPeers += kind == GrantKind::ForPeer ? 1 : 0;
    grant = kj::heap<Grant>(*this, kind, record, this->table.heldWeightsVersion(record), requirements.promptTokens, choice.load, check);
    KJ_ASSERT_NONNULL(grant)->countWork(this->table.expectedWork(record.service, requirements.answerTokenHint));
    return Availability::Granted;
}

kj::Maybe<kj::Own<Grant>> Dispatcher::requestFromOwners(kj::WaitScope &scope, const CallRequirements &requirements, AK::Milliseconds wait,
                                                        std::set<std::string> *asked)
{
    const AK::RecentCheck check(this->loop.clock(), slotMaxAge + wait);
    kj::Maybe<RequestedSlot> requested =
        asked == nullptr ? this->slotRequester.request(scope, requirements) : this->slotRequester.requestAndWait(scope, requirements, wait, *asked);
    KJ_IF_MAYBE (slot, requested) {
        LibGateway::UpstreamLoad &load = this->table.loadOf(slot->upstream);
        const double estimated = LibGateway::estimatedLoad(load, this->loop.clock().now(), this->settings.upstreams.placement);
        ++load.ownInFlight;
        load.pendingPromptTokens += requirements.promptTokens;
        return kj::heap<Grant>(*this, GrantKind::FromPeer, slot->upstream, slot->weightsVersion, requirements.promptTokens, estimated, check,
                               kj::mv(slot->slot));
    }
    return nullptr;
}

std::optional<LibGateway::Hindrance> Dispatcher::hindranceToSend(const Grant &grant, const CallRequirements &requirements)
{
    if (!grant.isRecent()) {
        return LibGateway::Hindrance{LibGateway::Obstacle::SlotExpired, 0};
    }
    // The required version may have changed since the slot was granted.
    const LibFleet::UpstreamRecord &upstream = grant.upstream();
    const int64_t held = std::max(grant.heldWeights(), this->table.heldWeightsVersion(upstream));
    if (upstream.isEngine && !this->table.allowsWeights(upstream.service, held)) {
        return LibGateway::Hindrance{LibGateway::Obstacle::Weights, 0};
    }
    return this->table.hindranceToSend(upstream, requirements);
}

int64_t Dispatcher::weightsToExpect(const Grant &grant) const
{
    return this->table.expectedWeightsVersion(grant.upstream(), grant.heldWeights());
}

AK::Milliseconds Dispatcher::timeToBegin(const Grant &grant) const
{
    return this->table.timeToBegin(grant.upstream(), grant.heldWeights());
}

bool Dispatcher::mayStillWait(const Grant &grant, AK::Milliseconds sentAt) const
{
    return grant.upstream().isEngine && this->table.mayStillWait(grant.upstream(), sentAt);
}

CallRequirements Dispatcher::requirementsOf(const LibPeers::SlotRequest &request) const
{
    CallRequirements requirements;
    const AK::Milliseconds now = this->loop.clock().now();
    const LibGateway::RequestedRank requested = LibGateway::rankOfRequest(request.priority);
    requirements.service = request.service;
    requirements.rank = {requested.priority, request.returning};
    requirements.promptTokens = request.promptTokens;
    requirements.regions = request.regions;
    requirements.excluded.insert(request.excluded.begin(), request.excluded.end());
    requirements.account = request.account;
    requirements.arrivedAt = now;
    requirements.startBy = now + request.wait;
    requirements.inTimeUntil = requested.inTime ? now + std::max<AK::Milliseconds>(1, request.wait) : now;
    return requirements;
}

LibPeers::OfferedSlot Dispatcher::offerOf(kj::Own<Grant> grant) const
{
    std::string upstream = grant->upstream().id;
    const int64_t version = this->table.heldWeightsVersion(grant->upstream());
    return LibPeers::OfferedSlot{std::move(upstream), kj::mv(grant), version};
}

kj::Maybe<LibPeers::OfferedSlot> Dispatcher::offerSlot(const LibPeers::SlotRequest &request)
{
    const CallRequirements requirements = this->requirementsOf(request);
    const ServiceQueue &queue = this->queue(request.service);
    const bool isNext = this->settings.competition ? isServedBeforeAll(queue, requirements, this->loop.clock().now()) : isBeforeAll(queue, requirements.rank);
    if (!isNext) {
        return nullptr;
    }
    kj::Maybe<kj::Own<Grant>> grant;
    if (this->tryGrant(requirements, false, GrantKind::ForPeer, grant) != Availability::Granted) {
        return nullptr;
    }
    this->recordStart(this->queue(request.service), requirements);
    return this->offerOf(kj::mv(KJ_ASSERT_NONNULL(grant)));
}

std::optional<AK::Milliseconds> Dispatcher::retryAfterPause(CallRequirements requirements)
{
    requirements.excluded.clear();
    const std::optional<AK::Milliseconds> firstEnd = firstPauseEnd(this->table, this->fleet, requirements);
    if (!firstEnd) {
        return std::nullopt;
    }
    const double spread = std::uniform_real_distribution<double>(0, 1)(this->random);
    return LibGateway::retryAfterPause(*firstEnd, this->loop.clock().now(), spread, this->table.notices().pauseSettings());
}

void Dispatcher::release(const LibFleet::UpstreamRecord &record, GrantKind kind, AK::Milliseconds heldFor)
{
    LibGateway::UpstreamLoad &load = this->table.loadOf(record);
    load.ownInFlight = std::max(0, load.ownInFlight - 1);
    ServiceQueue &queue = this->queue(record.service);
    if (kind == GrantKind::ForPeer) {
        --this->callsForPeers;
    } else {
        // Slots freed by this entry's own calls measure how fast its queue moves, wherever the calls ran.
        LibGateway::recordFreedSlot(queue.intervals, this->loop.clock().now());
        LibGateway::recordEvent(queue.rates.freedSlots, this->loop.clock().now());
        if (!record.isEngine) {
            constexpr double smoothing = 0.9;
            queue.holdMs = queue.holdMs == 0 ? static_cast<double>(heldFor) : smoothing * queue.holdMs + (1 - smoothing) * static_cast<double>(heldFor);
        }
    }
    if (kind != GrantKind::FromPeer && !queue.waiters.empty()) {
        this->serveWaiters(record.service);
    }
}

void Dispatcher::recordStart(ServiceQueue &queue, const CallRequirements &requirements)
{
    if (this->settings.competition) {
        queue.accountStarts.record(requirements.account, this->loop.clock().now());
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

void Dispatcher::recordOutcome(const LibFleet::UpstreamRecord &upstream, bool failed)
{
    this->table.recordOutcome(upstream, failed);
}

void Dispatcher::suspend(const LibFleet::UpstreamRecord &upstream)
{
    this->table.suspend(upstream);
}

void Dispatcher::recordMisdirection(const LibFleet::UpstreamRecord &upstream, int64_t heldWeights)
{
    this->table.notices().recordMisdirection(upstream, heldWeights);
}

void Dispatcher::recordResponse(const LibFleet::UpstreamRecord &upstream, const LibGateway::ResponseInfo &response, AK::Milliseconds sentAt)
{
    this->table.recordRateLimit(upstream, response.callsPerSecondLimit, sentAt);
    this->table.notices().record(upstream, response);
    if (!response.notRun && !response.pause) {
        this->table.recordServiceTime(upstream, this->loop.clock().now() - sentAt);
    }
}

void Dispatcher::exportMetrics(LibMetrics::MetricRegistry &metrics)
{
    this->exportCompetition(metrics);
    this->table.notices().exportTo(metrics);
    this->table.exportLoad(metrics);
    exportHindrances(this->table, this->fleet, metrics);
    exportWeights(this->table, this->fleet, this->loop.clock(), metrics);
}

void Dispatcher::recordResponseLoad(const LibFleet::UpstreamRecord &upstream, int running, int waiting, std::optional<double> slowness)
{
    this->table.recordResponseLoad(upstream, running, waiting, slowness);
}

void Dispatcher::recordRateLimit(const LibFleet::UpstreamRecord &upstream, std::optional<double> callsPerSecond, AK::Milliseconds sentAt)
{
    this->table.recordRateLimit(upstream, callsPerSecond, sentAt);
}

void Dispatcher::addUpstreamNews(LibPeers::NodeState &state)
{
    this->table.addRateLimits(state);
    this->table.notices().addTo(state);
}

void Dispatcher::adoptUpstreamNews(const LibPeers::NodeState &state)
{
    this->table.adoptRateLimits(state);
    this->table.notices().adopt(state);
}

void Dispatcher::recordReport(const LibPeers::EngineReport &report)
{
    this->table.recordReport(report);
    this->serveAllWaiters();
}

size_t Dispatcher::waitingCalls() const
{
    size_t count = 0;
    for (const auto &[service, queue] : this->queues) {
        count += ownCalls(*queue);
    }
    return count;
}

int Dispatcher::callsInFlight() const
{
    return this->table.callsInFlight() - this->callsForPeers;
}

} // namespace Gateway
