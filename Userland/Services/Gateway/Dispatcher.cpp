#include "Dispatcher.h"

#include <algorithm>
#include <kj/debug.h>

namespace Gateway
{

namespace
{

// While calls wait, places that open without an event (a rate that refills, a suspension that ends) are looked for at this interval.
constexpr AK::Milliseconds wakeInterval = 20;
// The first call in the line asks the owners of other engines again at this interval.
constexpr AK::Milliseconds askInterval = 40;
// Owners that a call asks in a row; each is a round trip.
constexpr int ownersToAsk = 3;
// Entries see the same reports; this many calls of random difference keep them from asking the same owner all at once.
constexpr double loadNoise = 2;

bool isExcluded(const LibPeers::SlotRequest &request, const std::string &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

LibPeers::SlotRequest placeRequest(const Demand &demand)
{
    LibPeers::SlotRequest request{demand.service, demand.promptTokens, demand.place.priority, demand.place.returning, demand.regions, {}};
    if (request.regions.empty()) {
        request.regions = demand.accountRegions;
    } else {
        std::erase_if(request.regions, [&](const std::string &region) { return !allowsRegion(demand.accountRegions, region); });
    }
    request.excluded.assign(demand.excluded.begin(), demand.excluded.end());
    return request;
}

} // namespace

Dispatcher::Dispatcher(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, DispatchSettings settings, PlaceSource *places)
    : loop(loop)
    , fleet(fleet)
    , settings(std::move(settings))
    , places(places)
    , table(loop.clock(), fleet, this->settings.upstreams)
    , random(AK::seededFromSystem())
{
}

void Dispatcher::setBounds(const LibGateway::RetryBudgetSettings &retries, AK::Milliseconds weightsSwitchDelay)
{
    this->settings.retries = retries;
    this->table.setWeightsSwitchDelay(weightsSwitchDelay);
    for (const auto &[service, line] : this->lines) {
        line->budget.reconfigure(retries, this->loop.clock().now());
    }
}

void Dispatcher::setRegions(std::map<std::string, std::string> regionsByDomain)
{
    this->table.setRegions(std::move(regionsByDomain));
}

void Dispatcher::setEntries(std::vector<LibGateway::EntryLocation> entries)
{
    this->table.setEntries(std::move(entries));
}

Dispatcher::Line &Dispatcher::line(const std::string &service)
{
    std::unique_ptr<Line> &line = this->lines[service];
    if (!line) {
        line = std::make_unique<Line>(this->settings.retries);
    }
    return *line;
}

void Dispatcher::countCall(const std::string &service)
{
    this->line(service).budget.countCall(this->loop.clock().now());
}

void Dispatcher::arrangeWaiting(Demand &demand, const LibFleet::Route &route, AK::Milliseconds callPatience)
{
    LibGateway::PatienceRecord &record = this->patience[route.name];
    LibGateway::observePatience(record, callPatience);
    demand.place.returning = LibGateway::isReturning(route.kind, callPatience, record, this->settings.waiting);
    demand.startBy = demand.arrivedAt + LibGateway::longestWait(route.kind, demand.place.returning, route.targetLatency, this->settings.waiting);
}

bool Dispatcher::mayRepeat(const std::string &service)
{
    return this->line(service).budget.spend(this->loop.clock().now(), this->table.registeredEntries());
}

Dispatcher::Availability Dispatcher::tryPlace(const Demand &demand, bool anyBacklog, GrantKind kind, kj::Maybe<kj::Own<Grant>> &grant)
{
    Choice choice;
    bool any = false;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        if (!this->table.mayUse(record, demand)) {
            continue;
        }
        any = true;
        const bool hasOwner = record.isEngine && this->places != nullptr;
        if ((!hasOwner || this->table.isOwn(record)) && this->table.rateAllows(record, hasOwner)) {
            choice.candidates.push_back(this->table.candidateOf(record));
            choice.records.push_back(&record);
        }
    }
    const std::optional<size_t> chosen = LibGateway::chooseUpstream(choice.candidates, this->table.promptMs(demand.service, demand.promptTokens), anyBacklog,
                                                                    this->settings.upstreams.placement, this->random);
    if (!chosen) {
        return any ? Availability::Full : Availability::None;
    }
    const LibFleet::UpstreamRecord &record = *choice.records[*chosen];
    LibGateway::UpstreamLoad &load = this->table.loadOf(record);
    ++load.ownInFlight;
    load.pendingPromptTokens += demand.promptTokens;
    load.rateTokens -= 1;
    this->callsOfOthers += kind == GrantKind::ForOther ? 1 : 0;
    grant = kj::heap<Grant>(*this, kind, record, this->table.versionToAsk(record), demand.promptTokens, choice.candidates[*chosen].load);
    return Availability::Granted;
}

kj::Maybe<kj::Own<Grant>> Dispatcher::askOthers(kj::WaitScope &scope, const Demand &demand)
{
    if (this->places == nullptr) {
        return nullptr;
    }
    LibPeers::SlotRequest request = placeRequest(demand);
    std::set<std::string> asked;
    for (int i = 0; i < ownersToAsk && this->loop.clock().now() < demand.startBy; ++i) {
        Choice choice;
        for (const auto &[id, record] : this->fleet.upstreams()) {
            if (!record.isEngine || this->table.isOwn(record) || asked.contains(this->table.ownerOf(record)) || isExcluded(request, id)
                || !this->table.mayUse(record, demand)) {
                continue;
            }
            LibGateway::PlacementCandidate candidate = this->table.candidateOf(record);
            // The owner knows better what waits there.
            candidate.promptBacklogMs = 0;
            candidate.preferred = true;
            candidate.load += std::uniform_real_distribution<double>(0, loadNoise)(this->random);
            choice.candidates.push_back(candidate);
            choice.records.push_back(&record);
        }
        const std::optional<size_t> chosen = LibGateway::chooseUpstream(choice.candidates, 0, true, this->settings.upstreams.placement, this->random);
        if (!chosen) {
            return nullptr;
        }
        const std::string owner = this->table.ownerOf(*choice.records[*chosen]);
        auto offered = this->places->askPlace(scope, owner, request);
        if (!offered.ok()) {
            asked.insert(owner);
            continue;
        }
        KJ_IF_MAYBE (offer, *offered) {
            const auto record = this->fleet.upstreams().find(offer->upstream);
            if (record == this->fleet.upstreams().end() || !this->table.mayUse(record->second, demand)) {
                request.excluded.push_back(offer->upstream);
                continue;
            }
            LibGateway::UpstreamLoad &load = this->table.loadOf(record->second);
            const double estimated = LibGateway::estimatedLoad(load, this->loop.clock().now(), this->settings.upstreams.placement);
            ++load.ownInFlight;
            load.pendingPromptTokens += demand.promptTokens;
            return kj::heap<Grant>(*this, GrantKind::AtOther, record->second, this->table.versionToAsk(record->second), demand.promptTokens, estimated,
                                   kj::mv(offer->slot));
        }
        asked.insert(owner);
    }
    return nullptr;
}

kj::Maybe<LibPeers::OfferedSlot> Dispatcher::offerSlot(const LibPeers::SlotRequest &request)
{
    Demand demand;
    demand.service = request.service;
    demand.place = {request.priority, request.returning};
    demand.promptTokens = request.promptTokens;
    demand.regions = request.regions;
    demand.excluded.insert(request.excluded.begin(), request.excluded.end());
    const Line &line = this->line(request.service);
    if (!line.waiters.empty() && !LibGateway::isBefore(demand.place, line.waiters.front()->demand->place)) {
        return nullptr;
    }
    kj::Maybe<kj::Own<Grant>> grant;
    if (this->tryPlace(demand, false, GrantKind::ForOther, grant) != Availability::Granted) {
        return nullptr;
    }
    kj::Own<Grant> &held = KJ_ASSERT_NONNULL(grant);
    std::string upstream = held->upstream().id;
    return LibPeers::OfferedSlot{std::move(upstream), kj::mv(held)};
}

bool Dispatcher::waitInLine(kj::WaitScope &scope, Line &line, Waiter &waiter, kj::ForkedPromise<void> &granted)
{
    while (true) {
        const AK::Milliseconds now = this->loop.clock().now();
        if (waiter.grant != nullptr) {
            return true;
        }
        if (now >= waiter.demand->startBy) {
            return false;
        }
        const AK::Milliseconds until = this->places == nullptr ? waiter.demand->startBy : std::min(waiter.demand->startBy, now + askInterval);
        const absl::Status waited = this->loop.awaitDone(scope, granted.addBranch(), until);
        if (waited.ok() || line.waiters.empty() || line.waiters.front() != &waiter) {
            continue;
        }
        kj::Maybe<kj::Own<Grant>> atOther = this->askOthers(scope, *waiter.demand);
        if (waiter.grant == nullptr && atOther != nullptr) {
            waiter.grant = kj::mv(atOther);
            return true;
        }
    }
}

GrantOrRefusal Dispatcher::acquire(kj::WaitScope &scope, const Demand &demand)
{
    Line &line = this->line(demand.service);
    GrantOrRefusal result;
    if (!demand.place.returning) {
        LibGateway::countFresh(line.pace, this->loop.clock().now());
    }
    if (line.waiters.empty()) {
        const Availability availability = this->tryPlace(demand, false, GrantKind::Own, result.grant);
        if (availability == Availability::Full) {
            result.grant = this->askOthers(scope, demand);
        }
        if (result.grant != nullptr) {
            return result;
        }
        if (availability == Availability::None) {
            result.reason = RefusalReason::NoUpstream;
            result.retryAfter = this->retryAfter(line);
            return result;
        }
    }
    const auto ahead = static_cast<size_t>(std::count_if(line.waiters.begin(), line.waiters.end(),
                                                         [&](const Waiter *other) { return !LibGateway::isBefore(demand.place, other->demand->place); }));
    if (LibGateway::startsTooLate(line.pace, demand.place, ahead, this->loop.clock().now(), demand.startBy)) {
        result.reason = RefusalReason::QueueTooLong;
        result.retryAfter = this->retryAfter(line);
        return result;
    }
    auto paf = kj::newPromiseAndFulfiller<void>();
    kj::ForkedPromise<void> granted = paf.promise.fork();
    Waiter waiter{&demand, kj::mv(paf.fulfiller), nullptr};
    const auto position =
        std::find_if(line.waiters.begin(), line.waiters.end(), [&](const Waiter *other) { return LibGateway::isBefore(demand.place, other->demand->place); });
    line.waiters.insert(position, &waiter);
    KJ_DEFER(line.waiters.remove(&waiter));
    this->scheduleWake(demand.service);
    if (this->waitInLine(scope, line, waiter, granted)) {
        result.grant = kj::mv(waiter.grant);
        return result;
    }
    result.reason = RefusalReason::WaitedTooLong;
    result.retryAfter = this->retryAfter(line);
    return result;
}

void Dispatcher::serveWaiters(const std::string &service)
{
    Line &line = this->line(service);
    for (auto it = line.waiters.begin(); it != line.waiters.end();) {
        Waiter &waiter = **it;
        // A call that has waited for half of its time takes a place where it must wait further.
        const bool anyBacklog = this->loop.clock().now() >= (waiter.demand->arrivedAt + waiter.demand->startBy) / 2;
        if (this->tryPlace(*waiter.demand, anyBacklog, GrantKind::Own, waiter.grant) != Availability::Granted) {
            if (waiter.demand->excluded.empty() && waiter.demand->regions.empty() && waiter.demand->accountRegions.empty()) {
                // Nothing is free for a call without conditions, so nothing is free for those behind it.
                break;
            }
            ++it;
            continue;
        }
        it = line.waiters.erase(it);
        waiter.fulfiller->fulfill();
    }
    if (!line.waiters.empty()) {
        this->scheduleWake(service);
    }
}

void Dispatcher::serveAllWaiters()
{
    for (const auto &[service, line] : this->lines) {
        if (!line->waiters.empty()) {
            this->serveWaiters(service);
        }
    }
}

void Dispatcher::scheduleWake(const std::string &service)
{
    Line &line = this->line(service);
    if (line.wakeScheduled) {
        return;
    }
    line.wakeScheduled = true;
    this->loop.spawn([this, service](kj::WaitScope &scope) {
        this->loop.sleep(scope, wakeInterval);
        this->line(service).wakeScheduled = false;
        this->serveWaiters(service);
    });
}

void Dispatcher::release(const LibFleet::UpstreamRecord &record, GrantKind kind)
{
    LibGateway::UpstreamLoad &load = this->table.loadOf(record);
    load.ownInFlight = std::max(0, load.ownInFlight - 1);
    Line &line = this->line(record.service);
    if (kind == GrantKind::ForOther) {
        --this->callsOfOthers;
    } else {
        // The ends of the calls of this entry say how fast its line moves, wherever they ran.
        LibGateway::countFreed(line.pace, this->loop.clock().now());
    }
    if (kind != GrantKind::AtOther && !line.waiters.empty()) {
        this->serveWaiters(record.service);
    }
}

void Dispatcher::countOutcome(const LibFleet::UpstreamRecord &upstream, bool failed)
{
    this->table.countOutcome(upstream, failed);
}

void Dispatcher::countAnswer(const LibFleet::UpstreamRecord &upstream, int running, int waiting)
{
    this->table.countAnswer(upstream, running, waiting);
}

void Dispatcher::recordReport(const LibPeers::EngineReport &report)
{
    this->table.recordReport(report);
    this->serveAllWaiters();
}

AK::Milliseconds Dispatcher::retryAfter(const Line &line)
{
    return LibGateway::retryAfter(line.pace, line.waiters.size(), std::uniform_real_distribution<double>(0, 1)(this->random), this->settings.waiting);
}

size_t Dispatcher::waitingCalls() const
{
    size_t count = 0;
    for (const auto &[service, line] : this->lines) {
        count += line->waiters.size();
    }
    return count;
}

int Dispatcher::callsInFlight() const
{
    return this->table.callsInFlight() - this->callsOfOthers;
}

} // namespace Gateway
