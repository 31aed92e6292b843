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
bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return names.empty() || std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

Grant::Grant(Dispatcher &dispatcher, LibFleet::UpstreamRecord upstream, int64_t weightsVersion, int64_t promptTokens, double load)
    : dispatcher(dispatcher)
    , record(std::move(upstream))
    , version(weightsVersion)
    , pendingTokens(promptTokens)
    , load(load)
{
}

void Grant::promptRead()
{
    if (this->pendingTokens > 0) {
        this->dispatcher.loadOf(this->record).pendingPromptTokens -= this->pendingTokens;
        this->pendingTokens = 0;
        this->dispatcher.serveWaiters(this->record.service);
    }
}

Grant::~Grant()
{
    this->promptRead();
    this->dispatcher.release(this->record);
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

Dispatcher::Dispatcher(LibFiber::Loop &loop, const LibFleet::FleetState &fleet, DispatchSettings settings)
    : loop(loop)
    , fleet(fleet)
    , settings(std::move(settings))
    , random(AK::seededFromSystem())
{
}

void Dispatcher::setEntries(std::vector<LibGateway::EntryPlace> places)
{
    this->entries = std::move(places);
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
    if (!contains(demand.regions, region) || !contains(demand.accountRegions, region)) {
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

Dispatcher::Availability Dispatcher::tryPlace(const Demand &demand, kj::Maybe<kj::Own<Grant>> &grant)
{
    const AK::Milliseconds now = this->loop.clock().now();
    const auto configuration = this->fleet.configuration();
    const auto spec = configuration ? configuration->services.find(demand.service) : decltype(configuration->services.end()){};
    const bool known = configuration && spec != configuration->services.end();
    const double prefillPerMs = known && spec->second.engine ? spec->second.engine->prefillPerSecond / 1000 : 0;
    const double coldRate = known ? spec->second.coldCallsPerSecond : 0;
    std::vector<LibGateway::PlacementCandidate> candidates;
    std::vector<const LibFleet::UpstreamRecord *> records;
    bool any = false;
    for (const auto &[id, record] : this->fleet.upstreams()) {
        if (!this->mayUse(record, demand, now)) {
            continue;
        }
        any = true;
        LibGateway::UpstreamLoad &load = this->loadOf(record);
        if (!LibGateway::rateAllows(load, coldRate, this->entryCount(), now, this->settings.placement)) {
            continue;
        }
        const std::string region = this->regionOf(record.failureDomain);
        LibGateway::PlacementCandidate candidate;
        candidate.load = LibGateway::estimatedLoad(load, now, this->settings.placement);
        candidate.limit = std::max(1, record.slots);
        candidate.promptBacklogMs = prefillPerMs > 0 ? static_cast<double>(load.pendingPromptTokens) / prefillPerMs : 0;
        candidate.preferred = LibGateway::preferredEntry(record.id, record.failureDomain, this->entries) == this->settings.name;
        candidate.sameRegion = region == this->settings.region;
        candidate.failureShare = load.failureShare;
        candidate.pace = load.report ? load.report->pace : 1.0;
        candidates.push_back(candidate);
        records.push_back(&record);
    }
    const std::optional<size_t> chosen = LibGateway::chooseUpstream(candidates, prefillPerMs > 0 ? static_cast<double>(demand.promptTokens) / prefillPerMs : 0,
                                                                    now >= (demand.arrivedAt + demand.startBy) / 2, this->settings.placement, this->random);
    if (!chosen) {
        return any ? Availability::Full : Availability::None;
    }
    const LibFleet::UpstreamRecord &record = *records[*chosen];
    LibGateway::UpstreamLoad &load = this->loadOf(record);
    ++load.ownInFlight;
    load.pendingPromptTokens += demand.promptTokens;
    load.rateTokens -= 1;
    const int64_t version = record.isEngine && this->requiredWeights(record.service) > 0 ? this->heldWeights(record) : 0;
    grant = kj::heap<Grant>(*this, record, version, demand.promptTokens, candidates[*chosen].load);
    return Availability::Granted;
}

GrantOrRefusal Dispatcher::acquire(kj::WaitScope &scope, const Demand &demand)
{
    Line &line = this->line(demand.service);
    const AK::Milliseconds now = this->loop.clock().now();
    GrantOrRefusal result;
    if (!demand.place.returning) {
        LibGateway::countFresh(line.pace, now);
    }
    if (line.waiters.empty()) {
        const Availability availability = this->tryPlace(demand, result.grant);
        if (availability == Availability::Granted) {
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
    if (LibGateway::startsTooLate(line.pace, demand.place, ahead, now, demand.startBy)) {
        result.reason = RefusalReason::QueueTooLong;
        result.retryAfter = this->retryAfter(line);
        return result;
    }
    auto paf = kj::newPromiseAndFulfiller<kj::Own<Grant>>();
    Waiter waiter{&demand, kj::mv(paf.fulfiller)};
    const auto position =
        std::find_if(line.waiters.begin(), line.waiters.end(), [&](const Waiter *other) { return LibGateway::isBefore(demand.place, other->demand->place); });
    line.waiters.insert(position, &waiter);
    bool queued = true;
    KJ_DEFER({
        if (queued) {
            line.waiters.remove(&waiter);
        }
    });
    this->scheduleWake(demand.service);
    absl::StatusOr<kj::Own<Grant>> granted = this->loop.await(scope, kj::mv(paf.promise), demand.startBy);
    if (granted.ok()) {
        queued = false;
        result.grant = kj::mv(*granted);
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
        kj::Maybe<kj::Own<Grant>> grant;
        if (this->tryPlace(*waiter.demand, grant) != Availability::Granted) {
            if (waiter.demand->excluded.empty() && waiter.demand->regions.empty() && waiter.demand->accountRegions.empty()) {
                // Nothing is free for a call without conditions, so nothing is free for those behind it.
                break;
            }
            ++it;
            continue;
        }
        it = line.waiters.erase(it);
        waiter.fulfiller->fulfill(kj::mv(KJ_ASSERT_NONNULL(grant)));
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

void Dispatcher::release(const LibFleet::UpstreamRecord &record)
{
    LibGateway::UpstreamLoad &load = this->loadOf(record);
    load.ownInFlight = std::max(0, load.ownInFlight - 1);
    Line &line = this->line(record.service);
    LibGateway::countFreed(line.pace, this->loop.clock().now());
    if (!line.waiters.empty()) {
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
    return count;
}

} // namespace Gateway
