#include "Dispatcher.h"

#include <algorithm>
#include <cmath>
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

bool allows(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

bool isExcluded(const LibPeers::PlaceRequest &request, const std::string &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

} // namespace

Grant::Grant(Dispatcher &dispatcher, GrantKind kind, LibFleet::UpstreamRecord upstream, int64_t weightsVersion, int64_t promptTokens, double load,
             kj::Maybe<kj::Own<LibPeers::HeldPlace>> heldByOwner)
    : dispatcher(dispatcher)
    , kind(kind)
    , record(std::move(upstream))
    , version(weightsVersion)
    , pendingTokens(promptTokens)
    , load(load)
    , heldByOwner(kj::mv(heldByOwner))
{
}

void Grant::promptRead()
{
    if (this->pendingTokens > 0) {
        KJ_IF_MAYBE (held, this->heldByOwner) {
            (*held)->promptRead();
        }
        this->prompted();
    }
}

void Grant::prompted()
{
    if (this->pendingTokens > 0) {
        this->dispatcher.loadOf(this->record).pendingPromptTokens -= this->pendingTokens;
        this->pendingTokens = 0;
        if (this->kind != GrantKind::AtOther) {
            this->dispatcher.serveWaiters(this->record.service);
        }
    }
}

Grant::~Grant() noexcept(false)
{
    this->prompted();
    this->dispatcher.release(this->record, this->kind);
}

const LibFleet::UpstreamRecord &Grant::upstream() const
{
    return this->record;
}

int64_t Grant::weightsVersion() const
{
    return this->version;
}

double Grant::loadAtChoice() const
{
    return this->load;
}

Dispatcher::Dispatcher(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, DispatchSettings settings, PlaceSource *places)
    : loop(loop)
    , fleet(fleet)
    , settings(std::move(settings))
    , places(places)
    , random(AK::seededFromSystem())
{
}

void Dispatcher::setEntries(std::vector<LibGateway::EntryPlace> entriesNow)
{
    if (this->entries != entriesNow) {
        this->owners.clear();
        this->entries = std::move(entriesNow);
    }
}

const std::string &Dispatcher::ownerOf(const LibFleet::UpstreamRecord &record)
{
    const auto [owner, added] = this->owners.try_emplace(record.id);
    if (added) {
        owner->second = LibGateway::preferredEntry(record.id, record.failureDomain, this->entries);
    }
    return owner->second;
}

void Dispatcher::setBounds(const LibGateway::RetryBudgetSettings &retries, AK::Milliseconds switchBefore)
{
    this->settings.retries = retries;
    this->settings.switchBefore = switchBefore;
    for (const auto &[service, line] : this->lines) {
        line->budget.reconfigure(retries, this->loop.clock().now());
    }
}

void Dispatcher::setRegions(std::map<std::string, std::string> regionsByDomain)
{
    this->regions = std::move(regionsByDomain);
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

size_t Dispatcher::entryCount() const
{
    return std::max<size_t>(1, this->fleet.entries().size());
}

bool Dispatcher::mayRepeat(const std::string &service)
{
    return this->line(service).budget.spend(this->loop.clock().now(), this->entryCount());
}

std::string Dispatcher::regionOf(const std::string &failureDomain) const
{
    const auto found = this->regions.find(failureDomain);
    return found == this->regions.end() ? "" : found->second;
}

LibGateway::UpstreamLoad &Dispatcher::loadOf(const LibFleet::UpstreamRecord &record)
{
    LibGateway::UpstreamLoad &load = this->loads[record.address.text()];
    if (load.instance != record.id) {
        load.instance = record.id;
        load.failureShare = 0;
        load.failuresInRow = 0;
        load.suspendedUntil = 0;
    }
    return load;
}

int64_t Dispatcher::requiredWeights(const std::string &service) const
{
    const auto configuration = this->fleet.configuration();
    if (!configuration) {
        return 0;
    }
    const auto spec = configuration->services.find(service);
    if (spec == configuration->services.end() || !spec->second.engine) {
        return 0;
    }
    return LibGateway::requiredWeights(this->fleet.weightsTargets(spec->second.engine->model), this->loop.clock().now(), this->settings.switchBefore);
}

int64_t Dispatcher::heldWeights(const LibFleet::UpstreamRecord &record) const
{
    const auto load = this->loads.find(record.address.text());
    if (load == this->loads.end() || !load->second.report || this->loop.clock().now() - load->second.reportAt > this->settings.placement.reportMaxAge) {
        return record.weightsVersion;
    }
    return load->second.report->weightsVersion;
}

bool Dispatcher::mayUse(const LibFleet::UpstreamRecord &record, const Demand &demand, AK::Milliseconds now) const
{
    if (record.service != demand.service || record.state != LibFleet::UpstreamState::Ready || demand.excluded.contains(record.id)
        || this->fleet.isEvacuated(record.failureDomain)) {
        return false;
    }
    const std::string region = this->regionOf(record.failureDomain);
    if (!allows(demand.regions, region) || !allows(demand.accountRegions, region)) {
        return false;
    }
    if (record.isEngine) {
        const int64_t held = this->heldWeights(record);
        if (held == 0 || held < this->requiredWeights(record.service)) {
            return false;
        }
    }
    const auto load = this->loads.find(record.address.text());
    if (load == this->loads.end() || load->second.instance != record.id) {
        return true;
    }
    const bool fresh = load->second.report && now - load->second.reportAt <= this->settings.placement.reportMaxAge;
    return now >= load->second.suspendedUntil && !(fresh && load->second.report->switching);
}

double Dispatcher::prefillPerMs(const std::string &service) const
{
    const auto configuration = this->fleet.configuration();
    const auto spec = configuration ? configuration->services.find(service) : decltype(configuration->services.end()){};
    const bool known = configuration && spec != configuration->services.end() && spec->second.engine;
    return known ? spec->second.engine->prefillPerSecond / 1000 : 0;
}

double Dispatcher::coldRate(const std::string &service) const
{
    const auto configuration = this->fleet.configuration();
    const auto spec = configuration ? configuration->services.find(service) : decltype(configuration->services.end()){};
    return configuration && spec != configuration->services.end() ? spec->second.coldCallsPerSecond : 0;
}

LibGateway::PlacementCandidate Dispatcher::candidateOf(const LibFleet::UpstreamRecord &record, AK::Milliseconds now)
{
    const LibGateway::UpstreamLoad &load = this->loadOf(record);
    const double prefill = this->prefillPerMs(record.service);
    LibGateway::PlacementCandidate candidate;
    candidate.load = LibGateway::estimatedLoad(load, now, this->settings.placement);
    candidate.limit = std::max(1, record.slots);
    candidate.promptBacklogMs = prefill > 0 ? static_cast<double>(load.pendingPromptTokens) / prefill : 0;
    candidate.preferred = this->ownerOf(record) == this->settings.name;
    candidate.sameRegion = this->regionOf(record.failureDomain) == this->settings.region;
    candidate.failureShare = load.failureShare;
    candidate.pace = load.report ? load.report->pace : 1.0;
    return candidate;
}

Dispatcher::Availability Dispatcher::tryPlace(const Demand &demand, bool anyBacklog, GrantKind kind, kj::Maybe<kj::Own<Grant>> &grant)
{
    const AK::Milliseconds now = this->loop.clock().now();
    const double prefill = this->prefillPerMs(demand.service);
    const double rate = this->coldRate(demand.service);
    const double owned = LibGateway::ownerShare(this->entries.size(), this->entryCount());
    const double shared = 1.0 / static_cast<double>(this->entryCount());
    Choice choice;
    bool any = false;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        if (!this->mayUse(record, demand, now)) {
            continue;
        }
        any = true;
        const bool hasOwner = record.isEngine && this->places != nullptr;
        if (hasOwner && this->ownerOf(record) != this->settings.name) {
            continue;
        }
        if (LibGateway::rateAllows(this->loadOf(record), rate, hasOwner ? owned : shared, now, this->settings.placement)) {
            choice.candidates.push_back(this->candidateOf(record, now));
            choice.records.push_back(&record);
        }
    }
    const std::optional<size_t> chosen = LibGateway::chooseUpstream(choice.candidates, prefill > 0 ? static_cast<double>(demand.promptTokens) / prefill : 0,
                                                                    anyBacklog, this->settings.placement, this->random);
    if (!chosen) {
        return any ? Availability::Full : Availability::None;
    }
    const LibFleet::UpstreamRecord &record = *choice.records[*chosen];
    LibGateway::UpstreamLoad &load = this->loadOf(record);
    ++load.ownInFlight;
    load.pendingPromptTokens += demand.promptTokens;
    load.rateTokens -= 1;
    this->callsOfOthers += kind == GrantKind::ForOther ? 1 : 0;
    grant = kj::heap<Grant>(*this, kind, record, this->versionToAsk(record), demand.promptTokens, choice.candidates[*chosen].load);
    return Availability::Granted;
}

int64_t Dispatcher::versionToAsk(const LibFleet::UpstreamRecord &record) const
{
    return record.isEngine && this->requiredWeights(record.service) > 0 ? this->heldWeights(record) : 0;
}

LibPeers::PlaceRequest Dispatcher::placeRequest(const Demand &demand) const
{
    LibPeers::PlaceRequest request{demand.service, demand.promptTokens, demand.place.priority, demand.place.returning, demand.regions, {}};
    if (request.regions.empty()) {
        request.regions = demand.accountRegions;
    } else {
        std::erase_if(request.regions, [&](const std::string &region) { return !allows(demand.accountRegions, region); });
    }
    request.excluded.assign(demand.excluded.begin(), demand.excluded.end());
    return request;
}

kj::Maybe<kj::Own<Grant>> Dispatcher::askOthers(kj::WaitScope &scope, const Demand &demand)
{
    if (this->places == nullptr) {
        return nullptr;
    }
    LibPeers::PlaceRequest request = this->placeRequest(demand);
    std::set<std::string> asked;
    for (int i = 0; i < ownersToAsk; ++i) {
        const AK::Milliseconds now = this->loop.clock().now();
        Choice choice;
        for (const auto &[id, record] : this->fleet.upstreams()) {
            const std::string &owner = record.isEngine ? this->ownerOf(record) : this->settings.name;
            if (owner == this->settings.name || asked.contains(owner) || isExcluded(request, id) || !this->mayUse(record, demand, now)) {
                continue;
            }
            LibGateway::PlacementCandidate candidate = this->candidateOf(record, now);
            // The owner knows better what waits there.
            candidate.promptBacklogMs = 0;
            candidate.preferred = true;
            candidate.load += std::uniform_real_distribution<double>(0, loadNoise)(this->random);
            choice.candidates.push_back(candidate);
            choice.records.push_back(&record);
        }
        const std::optional<size_t> chosen = LibGateway::chooseUpstream(choice.candidates, 0, true, this->settings.placement, this->random);
        if (!chosen) {
            return nullptr;
        }
        const std::string owner = this->ownerOf(*choice.records[*chosen]);
        auto offered = this->places->askPlace(scope, owner, request);
        if (!offered.ok()) {
            asked.insert(owner);
            continue;
        }
        KJ_IF_MAYBE (offer, *offered) {
            const auto record = this->fleet.upstreams().find(offer->upstream);
            if (record == this->fleet.upstreams().end() || !this->mayUse(record->second, demand, this->loop.clock().now())) {
                request.excluded.push_back(offer->upstream);
                continue;
            }
            LibGateway::UpstreamLoad &load = this->loadOf(record->second);
            const double estimated = LibGateway::estimatedLoad(load, now, this->settings.placement);
            ++load.ownInFlight;
            load.pendingPromptTokens += demand.promptTokens;
            return kj::heap<Grant>(*this, GrantKind::AtOther, record->second, this->versionToAsk(record->second), demand.promptTokens, estimated,
                                   kj::mv(offer->place));
        }
        asked.insert(owner);
    }
    return nullptr;
}

kj::Maybe<LibPeers::OfferedPlace> Dispatcher::offerPlace(const LibPeers::PlaceRequest &request)
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
    return LibPeers::OfferedPlace{std::move(upstream), kj::mv(held)};
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
    LibGateway::UpstreamLoad &load = this->loadOf(record);
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
    LibGateway::UpstreamLoad &load = this->loadOf(upstream);
    const AK::Milliseconds before = load.suspendedUntil;
    LibGateway::countOutcome(load, failed, this->loop.clock().now(), this->settings.placement);
    if (load.suspendedUntil != before) {
        this->logger.info("upstream_suspended", {{"upstream", upstream.id}, {"failures_in_row", load.failuresInRow}, {"failure_share", load.failureShare}});
    }
}

void Dispatcher::countAnswer(const LibFleet::UpstreamRecord &upstream, int running, int waiting)
{
    LibGateway::UpstreamLoad &load = this->loadOf(upstream);
    load.answeredLoad = running + waiting;
    load.answeredAt = this->loop.clock().now();
    load.ownAtAnswer = load.ownInFlight;
}

void Dispatcher::takeReport(const LibPeers::EngineReport &report)
{
    LibGateway::UpstreamLoad &load = this->loads[report.upstream];
    load.report = report;
    load.reportAt = this->loop.clock().now();
    load.ownAtReport = load.ownInFlight;
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
    int count = 0;
    for (const auto &[address, load] : this->loads) {
        count += load.ownInFlight;
    }
    return count - this->callsOfOthers;
}

} // namespace Gateway
