#include "PausingSite.h"

#include <AK/Text.h>
#include <algorithm>

namespace
{

constexpr int slots = 8;
constexpr AK::Milliseconds serviceTime = 50;
constexpr AK::Milliseconds networkTime = 1;
constexpr AK::Milliseconds shortestPause = 500;
constexpr AK::Milliseconds longestPause = 5'000;
constexpr AK::Milliseconds shortestWork = 1'000;
constexpr AK::Milliseconds longestWork = 3'000;
constexpr AK::Milliseconds clientTimeout = 2'000;
constexpr AK::Milliseconds targetLatency = 400;
constexpr int maxAttempts = 2;
// Time after a refusal in which requests that were sent before may arrive, and requests that may arrive in the rest of the pause.
constexpr AK::Milliseconds settleTime = 500;
constexpr int allowedInPause = 2;
const std::string service = "s";

LibFleet::Configuration configuration(LibFleet::RouteKind kind)
{
    LibFleet::Configuration result;
    result.version = 1;
    LibFleet::Route route;
    route.name = "r";
    route.host = "h";
    route.pathPrefix = "/";
    route.kind = kind;
    route.maxAttempts = maxAttempts;
    route.timeout = clientTimeout;
    route.targetLatency = targetLatency;
    route.services = {{service, 1}};
    result.routes.push_back(route);
    result.services[service].name = service;
    return result;
}

AK::Milliseconds uniform(AK::Random &random, AK::Milliseconds from, AK::Milliseconds to)
{
    return std::uniform_int_distribution<AK::Milliseconds>(from, to)(random);
}

} // namespace

double PausingSite::capacityPerSecond()
{
    return upstreamCount * slots * 1000.0 / static_cast<double>(serviceTime);
}

double PausingSite::unpausedCapacityPerSecond()
{
    return capacityPerSecond() / 2;
}

PausingSite::PausingSite(uint64_t seed, LibFleet::RouteKind kind, bool tellPauses)
    : tellPauses(tellPauses)
    , random(seed)
    , fleet(loop.clock())
{
    this->fleet.setConfiguration(configuration(kind));
    std::map<std::string, LibFleet::UpstreamRecord> records;
    for (int i = 0; i < upstreamCount; ++i) {
        LibFleet::UpstreamRecord record;
        record.id = std::to_string(i);
        record.service = service;
        record.address = {"10.0.0.1", static_cast<uint16_t>(i + 1)};
        record.failureDomain = "lima-1";
        record.slots = slots;
        records[record.id] = record;
        Upstream &upstream = this->upstreams.at(static_cast<size_t>(i));
        upstream.pauses = i % 2 == 0;
        upstream.random.seed(seed + static_cast<uint64_t>(i) + 1);
    }
    this->fleet.setUpstreams(records);
    std::map<std::string, LibFleet::EntryRecord> entryRecords;
    std::vector<LibFleet::EntryLocation> locations;
    for (int i = 0; i < entryCount; ++i) {
        const std::string name = AK::concat("e", i);
        entryRecords[name] = {name, {"10.0.0.2", static_cast<uint16_t>(i + 1)}, {}, "lima", "lima-1"};
        locations.push_back({name, "lima-1"});
    }
    this->fleet.setEntries(entryRecords);
    for (const LibFleet::EntryLocation &location : locations) {
        Gateway::DispatchSettings settings;
        settings.upstreams.name = location.name;
        settings.upstreams.region = "lima";
        this->entries.push_back(std::make_unique<Gateway::Dispatcher>(this->loop, this->fleet, settings, nullptr));
        this->entries.back()->setRegions({{"lima-1", "lima"}});
        this->entries.back()->setEntries(locations);
    }
}

AK::Milliseconds PausingSite::pauseOf(Upstream &upstream, AK::Milliseconds now)
{
    if (!upstream.pauses) {
        return 0;
    }
    while (now >= upstream.phaseEnds) {
        const AK::Milliseconds begins = upstream.phaseEnds == 0 ? now : upstream.phaseEnds;
        upstream.refusing = upstream.phaseEnds != 0 && !upstream.refusing;
        upstream.phaseEnds =
            begins + (upstream.refusing ? uniform(upstream.random, shortestPause, longestPause) : uniform(upstream.random, shortestWork, longestWork));
    }
    return upstream.refusing ? upstream.phaseEnds - now : 0;
}

PausingSite::Attempt PausingSite::attempt(kj::WaitScope &scope, size_t entry, const Gateway::Grant &grant, const Gateway::CallRequirements &requirements)
{
    Gateway::Dispatcher &dispatcher = *this->entries[entry];
    if (dispatcher.hindranceToSend(grant, requirements)) {
        return Attempt::Withheld;
    }
    const LibFleet::UpstreamRecord &record = grant.upstream();
    Upstream &upstream = this->upstreams.at(static_cast<size_t>(std::stoi(record.id)));
    const AK::Milliseconds sentAt = this->loop.clock().now();
    this->loop.sleep(scope, networkTime);
    const AK::Milliseconds arrivedAt = this->loop.clock().now();
    Contact &contact = upstream.contacts.at(entry);
    contact.arrivals.push_back(arrivedAt);
    const AK::Milliseconds pause = this->pauseOf(upstream, arrivedAt);
    LibGateway::ResponseInfo response;
    if (pause > 0) {
        ++this->result.refusedByUpstreams;
        contact.refusals.push_back({arrivedAt, pause});
        response.notRun = true;
        response.pause = this->tellPauses ? std::optional(pause) : std::nullopt;
    } else {
        ++upstream.running;
        this->loop.sleep(scope, serviceTime * std::max(slots, upstream.running) / slots);
        --upstream.running;
    }
    const int runningThere = upstream.running;
    this->loop.sleep(scope, networkTime);
    dispatcher.recordResponse(record, response, sentAt);
    if (!response.pause) {
        dispatcher.recordOutcome(record, false);
    }
    if (pause == 0) {
        dispatcher.recordResponseLoad(record, runningThere, 0);
    }
    return pause > 0 ? Attempt::Refused : Attempt::Served;
}

void PausingSite::call(kj::WaitScope &scope, size_t entry)
{
    Gateway::Dispatcher &dispatcher = *this->entries[entry];
    const AK::Milliseconds arrivedAt = this->loop.clock().now();
    Gateway::CallRequirements requirements;
    requirements.service = service;
    requirements.arrivedAt = arrivedAt;
    dispatcher.setRankAndStartBy(requirements, this->fleet.configuration()->routes.front(), clientTimeout);
    dispatcher.countCall(service);
    for (int sends = 0; sends < maxAttempts && (sends == 0 || dispatcher.trySpendRetry(service));) {
        Gateway::GrantOrRefusal granted = dispatcher.acquire(scope, requirements);
        KJ_IF_MAYBE (grant, granted.grant) {
            const Attempt ended = this->attempt(scope, entry, **grant, requirements);
            if (ended == Attempt::Served) {
                const AK::Milliseconds now = this->loop.clock().now();
                this->result.served += now < this->endsAt ? 1 : 0;
                this->result.servedInTime += now < this->endsAt && now - arrivedAt <= targetLatency ? 1 : 0;
                return;
            }
            if (ended == Attempt::Refused) {
                requirements.excluded.insert((*grant)->upstream().id);
                ++sends;
            }
            continue;
        }
        break;
    }
    this->result.timesToRefusal.push_back(static_cast<double>(this->loop.clock().now() - arrivedAt));
}

PausingSite::Result PausingSite::run(double callsPerSecond, AK::Milliseconds duration)
{
    const AK::Milliseconds startedAt = this->loop.clock().now();
    this->endsAt = startedAt + duration;
    std::exponential_distribution<double> interval(callsPerSecond / 1000);
    double dueAt = interval(this->random);
    while (this->loop.clock().now() < this->endsAt) {
        const auto elapsed = static_cast<double>(this->loop.clock().now() - startedAt);
        for (; dueAt <= elapsed; dueAt += interval(this->random)) {
            const size_t entry = static_cast<size_t>(this->result.calls++) % entryCount;
            ++this->open;
            this->loop.spawn([this, entry](kj::WaitScope &scope) {
                this->call(scope, entry);
                --this->open;
            });
        }
        this->loop.sleep(this->loop.rootScope(), 1);
    }
    while (this->open > 0) {
        this->loop.sleep(this->loop.rootScope(), 1);
    }
    for (const Upstream &upstream : this->upstreams) {
        for (const Contact &contact : upstream.contacts) {
            this->countInsidePauses(contact);
        }
    }
    return this->result;
}

void PausingSite::countInsidePauses(const Contact &contact)
{
    // Pauses of one period of an upstream end together; they count as one.
    std::map<AK::Milliseconds, AK::Milliseconds> firstRefusalByEnd;
    for (const Refusal &refusal : contact.refusals) {
        firstRefusalByEnd.try_emplace(refusal.at + refusal.pause, refusal.at);
    }
    for (const auto &[end, refusedAt] : firstRefusalByEnd) {
        const auto inside = static_cast<int>(std::count_if(contact.arrivals.begin(), contact.arrivals.end(), [&, from = refusedAt, to = end](auto arrival) {
            return arrival >= from + settleTime && arrival < to;
        }));
        this->result.insidePauses += inside;
        this->result.beyondRule += std::max(0, inside - allowedInPause);
        this->result.mostInsideAPause = std::max(this->result.mostInsideAPause, inside);
    }
}
