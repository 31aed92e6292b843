#include <LibMembership/MembershipService.h>

#include <AK/Text.h>
#include <LibMembership/Watchers.h>
#include <LibMembership/WireRecords.h>
#include <algorithm>

namespace LibMembership
{

namespace
{

constexpr size_t updatesPerExchange = 16;
constexpr size_t pushFanOut = 4;
// A leaving process tells every member directly up to this number; above it the forwarding of the receivers does the rest.
constexpr size_t directPushLimit = 64;
constexpr int unequalHashLimit = 5;
// One exchange round in this many also tries a seed that is no live member, so that groups that formed apart find each other.
// At 1,270 processes and two dead seeds this costs each seed's address about 40 connection attempts a second.
constexpr uint64_t unknownSeedRounds = 16;
// Until this much time after the start, every round does.
constexpr AK::Milliseconds settlingMs = 30'000;
// Hosts of the host list that are no members and are contacted after one reading of the list.
constexpr size_t unknownHostsPerReading = 2;
// Hosts of the host list that are tried in one attempt to join.
constexpr size_t joinAttempts = 8;
// A record takes about 200 bytes: one full table per 100 ms and member keeps full fetches under 2 KB/s.
constexpr AK::Milliseconds fullFetchMsPerMember = 100;
// Longer than a partition between regions is expected to last (an hour), so that both sides still know each other's addresses afterwards.
constexpr AK::Milliseconds forgetDeadMs = 3 * 3'600'000;
// A push to a stalled member must not hold up the others.
constexpr AK::Milliseconds pushTimeoutMs = 300;

bool urgentChange(const Member &before, const Member &after)
{
    return before.status != after.status || before.servingState != after.servingState || before.revision != after.revision;
}

} // namespace

MembershipService::MembershipService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibWire::RpcIdentity identity,
                                     LibObjectStore::HostList &hostList, LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , clock(clock)
    , identity(std::move(identity))
    , hostList(hostList)
    , metrics(metrics)
    , random(AK::seededFromSystem())
    , startedAt(clock.now())
{
    Member own;
    own.name = settings.name;
    own.rpcAddress = settings.rpcAddress;
    own.httpAddress = settings.httpAddress;
    own.role = settings.role;
    own.region = settings.region;
    own.failureDomain = settings.failureDomain;
    own.instance = static_cast<uint64_t>(clock.wallTime());
    own.sequence = 1;
    own.service = settings.role == LibSettings::ProcessRole::Agent ? settings.agent.service : "";
    this->table.self = own.name;
    TableEntry &entry = this->table.entries[own.name];
    entry.member = own;
    touch(this->table, entry);
}

MembershipService::~MembershipService()
{
    this->stop();
}

void MembershipService::setObserver(ExchangeObserver *observer)
{
    this->observer = observer;
}

std::string_view MembershipService::name() const
{
    return "membership";
}

absl::Status MembershipService::start()
{
    this->gossiper = std::thread([this] { this->gossipLoop(); });
    this->pusher = std::thread([this] { this->pushLoop(); });
    this->hostReader = std::thread([this] { this->hostListLoop(); });
    return absl::OkStatus();
}

void MembershipService::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    for (std::thread *thread : {&this->gossiper, &this->pusher, &this->hostReader}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

std::vector<Member> MembershipService::members() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Member> all;
    all.reserve(this->table.entries.size());
    for (const auto &[name, entry] : this->table.entries) {
        all.push_back(entry.member);
    }
    return all;
}

std::optional<Member> MembershipService::find(const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->table.entries.find(name);
    return found == this->table.entries.end() ? std::nullopt : std::optional(found->second.member);
}

uint64_t MembershipService::changeCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.changeCount;
}

void MembershipService::updateSelf(const std::function<void(Member &)> &change)
{
    const std::lock_guard lock(this->mutex);
    TableEntry &entry = this->table.entries.at(this->table.self);
    const Member before = entry.member;
    Member after = before;
    change(after);
    after.name = before.name;
    after.instance = before.instance;
    after.sequence = before.sequence + 1;
    entry.member = after;
    if (before.status != after.status) {
        this->leavingByHostList = false;
    }
    touch(this->table, entry);
    if (urgentChange(before, after)) {
        this->requestPushLocked(before.status != after.status);
    }
}

void MembershipService::reportUnreachable(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->table.entries.find(name);
    // A member that is suspect already is probed on the schedule of suspects; more reports would only repeat the probe.
    if (found != this->table.entries.end() && (found->second.member.status == MemberStatus::Alive || found->second.member.status == MemberStatus::Leaving)) {
        this->unreachable.insert(name);
        this->changed.notify_all();
    }
}

void MembershipService::requestPushLocked(bool everybody)
{
    this->pushWanted = true;
    this->pushToAll = this->pushToAll || everybody;
    this->changed.notify_all();
}

void MembershipService::refuteLocked(const Member &incoming)
{
    TableEntry &entry = this->table.entries.at(this->table.self);
    entry.member.sequence = std::max(entry.member.sequence, incoming.sequence) + 1;
    if (incoming.status == MemberStatus::Leaving && entry.member.status == MemberStatus::Alive) {
        entry.member.status = MemberStatus::Leaving;
        this->leavingByHostList = true;
    }
    touch(this->table, entry);
    this->logger.info("status_contradicted", {{"reported", AK::nameOf(memberStatusNames, incoming.status)}, {"sequence", entry.member.sequence}});
    this->requestPushLocked(true);
}

void MembershipService::mergeLocked(const Member &incoming)
{
    const auto found = this->table.entries.find(incoming.name);
    const MemberStatus before = found == this->table.entries.end() ? MemberStatus::Alive : found->second.member.status;
    const MergeResult result = mergeRecord(this->table, incoming, this->clock.now());
    if (result == MergeResult::SelfContradicted) {
        this->refuteLocked(incoming);
    } else if (result == MergeResult::Changed && incoming.status == MemberStatus::Leaving && before != MemberStatus::Leaving) {
        // Serving states and revisions are not forwarded at once: each process publishes its own, and forwarding all would cost n^2 messages per revision.
        this->requestPushLocked(false);
    }
}

template <typename Builder>
void MembershipService::fillLocked(Builder message, const std::vector<Member> &updates)
{
    const Member &own = this->table.entries.at(this->table.self).member;
    writeMember(own, message.initFrom());
    message.setTableHash(tableHash(this->table));
    message.setRevision(own.revision);
    auto list = message.initUpdates(static_cast<unsigned>(updates.size()));
    for (unsigned i = 0; i < updates.size(); ++i) {
        writeMember(updates[i], list[i]);
    }
    const std::vector<CarriedRestriction> carried = this->observer != nullptr ? this->observer->carriedRestrictions() : std::vector<CarriedRestriction>();
    auto restrictions = message.initRestrictions(static_cast<unsigned>(carried.size()));
    for (unsigned i = 0; i < carried.size(); ++i) {
        writeRestriction(carried[i], restrictions[i]);
    }
}

namespace
{

/// Returns whether the message brought a restriction that this process did not have.
template <typename Reader>
bool tellObserver(ExchangeObserver *observer, Reader message, const Member &from)
{
    if (observer == nullptr) {
        return false;
    }
    std::vector<CarriedRestriction> received;
    for (const auto restriction : message.getRestrictions()) {
        received.push_back(readRestriction(restriction));
    }
    observer->peerRevision(from.rpcAddress, message.getRevision());
    return !received.empty() && observer->restrictionsReceived(received);
}

} // namespace

void MembershipService::exchange(Wire::ExchangeRequest::Reader request, Wire::ExchangeReply::Builder reply)
{
    const Member from = readMember(request.getFrom());
    const bool restricted = tellObserver(this->observer, request, from);
    const std::lock_guard lock(this->mutex);
    if (restricted) {
        this->requestPushLocked(false);
    }
    for (const auto update : request.getUpdates()) {
        this->mergeLocked(readMember(update));
    }
    this->mergeLocked(from);
    std::vector<Member> updates;
    if (request.getWantFull()) {
        for (const auto &[name, entry] : this->table.entries) {
            updates.push_back(entry.member);
        }
    } else {
        updates = takeUpdates(this->table, from.name, updatesPerExchange);
    }
    this->fillLocked(reply, updates);
}

std::unique_ptr<MembershipService::PendingExchange> MembershipService::send(const AK::Endpoint &target, const std::string &expected, bool wantFull,
                                                                            AK::Milliseconds timeout)
{
    this->metrics.add("catkinlink_exchanges_total");
    auto connection = LibWire::RpcConnection::open(target, this->identity, timeout);
    if (!connection.ok()) {
        return nullptr;
    }
    auto call = (*connection)->node().exchangeRequest();
    {
        const std::lock_guard lock(this->mutex);
        auto request = call.initRequest();
        this->fillLocked(request, takeUpdates(this->table, expected, updatesPerExchange));
        request.setWantFull(wantFull);
    }
    auto pending = std::make_unique<PendingExchange>();
    pending->expected = expected;
    pending->wantFull = wantFull;
    pending->connection = std::move(*connection);
    pending->reply = kj::Promise<ExchangeResponse>(call.send());
    return pending;
}

bool MembershipService::receive(PendingExchange &pending, AK::Milliseconds timeout)
{
    auto answer = LibWire::waitFor<ExchangeResponse>(kj::mv(pending.reply), timeout, pending.connection->waitScope());
    if (!answer.ok()) {
        return false;
    }
    const auto reply = answer->getReply();
    const Member from = readMember(reply.getFrom());
    const bool restricted = tellObserver(this->observer, reply, from);
    const std::lock_guard lock(this->mutex);
    if (restricted) {
        this->requestPushLocked(false);
    }
    std::map<std::string, Member> peerRecords;
    for (const auto update : reply.getUpdates()) {
        Member member = readMember(update);
        this->mergeLocked(member);
        if (pending.wantFull) {
            peerRecords.emplace(member.name, std::move(member));
        }
    }
    this->mergeLocked(from);
    if (pending.wantFull) {
        this->spreadMissingLocked(peerRecords);
    }
    this->unequalHashes = reply.getTableHash() == tableHash(this->table) ? 0 : this->unequalHashes + 1;
    return pending.expected.empty() || from.name == pending.expected;
}

void MembershipService::spreadMissingLocked(const std::map<std::string, Member> &peerRecords)
{
    this->lastFull = this->clock.now();
    for (auto &[name, entry] : this->table.entries) {
        const auto known = peerRecords.find(name);
        if (known == peerRecords.end() ? entry.member.status != MemberStatus::Dead : supersedes(entry.member, known->second)) {
            entry.timesSent = 0;
        }
    }
}

bool MembershipService::exchangeWith(const AK::Endpoint &target, const std::string &expected, bool wantFull, AK::Milliseconds timeout)
{
    const std::unique_ptr<PendingExchange> pending = this->send(target, expected, wantFull, timeout);
    return pending && this->receive(*pending, timeout);
}

size_t MembershipService::exchangeWithEach(const std::vector<Member> &targets, AK::Milliseconds timeout)
{
    // All requests are sent before the first reply is awaited, so that a stalled member delays only its own.
    std::vector<std::unique_ptr<PendingExchange>> all;
    for (const Member &target : targets) {
        if (auto pending = this->send(target.rpcAddress, target.name, false, timeout)) {
            all.push_back(std::move(pending));
        }
    }
    const AK::Milliseconds end = this->clock.now() + timeout;
    size_t answered = 0;
    for (const auto &pending : all) {
        answered += this->receive(*pending, std::max<AK::Milliseconds>(1, end - this->clock.now())) ? 1 : 0;
    }
    return answered;
}

size_t MembershipService::exchangeWithAll(AK::Milliseconds timeout)
{
    AK::Random order = AK::seededFromSystem();
    const std::vector<Member> targets = chooseMembers(this->members(), this->settings.name, directPushLimit, order);
    return this->exchangeWithEach(targets, timeout);
}

void MembershipService::noteProbeFailed(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->table.entries.find(name);
    if (found == this->table.entries.end() || found->second.member.status == MemberStatus::Dead) {
        return;
    }
    TableEntry &entry = found->second;
    if (entry.member.status == MemberStatus::Suspect) {
        entry.confirmed = true;
    } else {
        setObservedStatus(this->table, name, MemberStatus::Suspect, this->clock.now());
        this->logger.info("member_suspect", {{"member", name}});
    }
    entry.probeFailed = true;
}

void MembershipService::probe(const Member &member)
{
    bool wantFull = false;
    {
        const std::lock_guard lock(this->mutex);
        const AK::Milliseconds spacing = std::max<AK::Milliseconds>(unequalHashLimit * this->settings.timing.gossipIntervalMs,
                                                                    fullFetchMsPerMember * static_cast<AK::Milliseconds>(this->table.entries.size()));
        wantFull = this->unequalHashes >= unequalHashLimit && this->clock.now() - this->lastFull >= spacing;
    }
    if (!this->exchangeWith(member.rpcAddress, member.name, wantFull, this->settings.timing.rpcTimeoutMs)) {
        this->noteProbeFailed(member.name);
    }
}

void MembershipService::join()
{
    for (const AK::Endpoint &seed : this->settings.seeds) {
        if (seed == this->settings.rpcAddress) {
            continue;
        }
        if (this->exchangeWith(seed, "", true, this->settings.timing.rpcTimeoutMs)) {
            return;
        }
    }
    this->joinThroughHostList();
}

void MembershipService::gossipOnce()
{
    std::vector<Member> targets;
    {
        const std::lock_guard lock(this->mutex);
        const AK::Milliseconds now = this->clock.now();
        for (const std::string &name : expireSuspects(this->table, now, this->settings.timing.suspectTimeoutMs, forgetDeadMs)) {
            this->logger.warning("member_dead", {{"member", name}});
        }
        for (const std::string &name : std::exchange(this->unreachable, {})) {
            if (const auto found = this->table.entries.find(name); found != this->table.entries.end() && name != this->table.self) {
                targets.push_back(found->second.member);
            }
        }
        if (const auto suspect = suspectToProbe(this->table, now, this->settings.timing.suspectTimeoutMs)) {
            targets.push_back(*suspect);
        }
        if (const auto partner = choosePartner(this->table, this->random)) {
            targets.push_back(*partner);
        }
    }
    if (targets.empty()) {
        this->join();
    }
    for (const Member &target : targets) {
        this->probe(target);
    }
    std::optional<AK::Endpoint> seed;
    {
        const std::lock_guard lock(this->mutex);
        seed = this->unknownSeedLocked();
    }
    if (seed) {
        this->exchangeWith(*seed, "", true, this->settings.timing.rpcTimeoutMs);
    }
    this->metrics.set("catkinlink_members", {}, static_cast<double>(this->members().size()));
}

bool MembershipService::knownLocked(const std::string &host) const
{
    return std::any_of(this->table.entries.begin(), this->table.entries.end(),
                       [&](const auto &row) { return row.second.member.rpcAddress.host == host && row.second.member.status != MemberStatus::Dead; });
}

std::optional<AK::Endpoint> MembershipService::unknownSeedLocked()
{
    const bool settling = this->clock.now() - this->startedAt < settlingMs;
    if (!settling && AK::uniformBelow(this->random, unknownSeedRounds) != 0) {
        return std::nullopt;
    }
    std::vector<AK::Endpoint> unknown;
    for (const AK::Endpoint &seed : this->settings.seeds) {
        if (seed != this->settings.rpcAddress && !this->knownLocked(seed.host)) {
            unknown.push_back(seed);
        }
    }
    return unknown.empty() ? std::nullopt : std::optional(unknown[AK::uniformBelow(this->random, unknown.size())]);
}

void MembershipService::gossipLoop()
{
    this->join();
    while (true) {
        this->gossipOnce();
        std::unique_lock lock(this->mutex);
        // Jitter of a quarter keeps processes that started together from exchanging in step.
        const AK::Milliseconds interval = this->settings.timing.gossipIntervalMs;
        const auto wait = interval - interval / 8 + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, static_cast<uint64_t>(interval / 4 + 1)));
        this->changed.wait_for(lock, std::chrono::milliseconds(wait), [this] { return this->stopping || !this->unreachable.empty(); });
        if (this->stopping) {
            return;
        }
    }
}

void MembershipService::pushLoop()
{
    while (true) {
        std::vector<Member> targets;
        {
            std::unique_lock lock(this->mutex);
            this->changed.wait(lock, [this] { return this->stopping || this->pushWanted; });
            if (!this->pushWanted) {
                return;
            }
            std::vector<Member> all;
            for (const auto &[name, entry] : this->table.entries) {
                all.push_back(entry.member);
            }
            targets = chooseMembers(all, this->table.self, this->pushToAll ? directPushLimit : pushFanOut, this->random);
            this->pushWanted = false;
            this->pushToAll = false;
        }
        this->exchangeWithEach(targets, pushTimeoutMs);
    }
}

bool MembershipService::waitStopped(AK::Milliseconds duration)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, std::chrono::milliseconds(duration), [this] { return this->stopping; });
}

void MembershipService::joinThroughHostList()
{
    auto hosts = this->hostList.hosts(this->settings.timing.storeTimeoutMs);
    if (!hosts.ok()) {
        return;
    }
    AK::Random order = AK::seededFromSystem();
    std::shuffle(hosts->begin(), hosts->end(), order);
    hosts->resize(std::min(hosts->size(), joinAttempts));
    for (const LibObjectStore::HostEntry &host : *hosts) {
        // Every process listens on the same port of its own host.
        const AK::Endpoint target{host.address, this->settings.rpcAddress.port};
        if (host.state == LibObjectStore::HostState::Live && target != this->settings.rpcAddress
            && this->exchangeWith(target, "", true, this->settings.timing.rpcTimeoutMs)) {
            return;
        }
    }
}

void MembershipService::readHostList()
{
    const auto hosts = this->hostList.hosts(this->settings.timing.storeTimeoutMs);
    if (!hosts.ok()) {
        return;
    }
    std::vector<AK::Endpoint> unknown;
    {
        const std::lock_guard lock(this->mutex);
        unknown = this->applyHostListLocked(*hosts);
    }
    for (const AK::Endpoint &target : unknown) {
        this->exchangeWith(target, "", true, this->settings.timing.rpcTimeoutMs);
    }
}

// Returns a few live hosts of the list that are no members.
std::vector<AK::Endpoint> MembershipService::applyHostListLocked(const std::vector<LibObjectStore::HostEntry> &hosts)
{
    std::vector<AK::Endpoint> unknown;
    for (const LibObjectStore::HostEntry &host : hosts) {
        for (auto &[name, entry] : this->table.entries) {
            if (entry.member.rpcAddress.host == host.address) {
                this->applyHostStateLocked(entry, host.state == LibObjectStore::HostState::Leaving);
            }
        }
        if (host.state == LibObjectStore::HostState::Live && !this->knownLocked(host.address)) {
            unknown.push_back({host.address, this->settings.rpcAddress.port});
        }
    }
    std::shuffle(unknown.begin(), unknown.end(), this->random);
    unknown.resize(std::min(unknown.size(), unknownHostsPerReading));
    return unknown;
}

void MembershipService::applyHostStateLocked(TableEntry &entry, bool leaving)
{
    if (entry.member.name != this->table.self) {
        if (leaving && setObservedStatus(this->table, entry.member.name, MemberStatus::Leaving, this->clock.now())) {
            this->requestPushLocked(true);
        }
        return;
    }
    // The list may have lagged behind a replacement: the mark is withdrawn when the list says live.
    const bool withdraw = !leaving && this->leavingByHostList && entry.member.status == MemberStatus::Leaving;
    if (withdraw || (leaving && entry.member.status == MemberStatus::Alive)) {
        entry.member.status = withdraw ? MemberStatus::Alive : MemberStatus::Leaving;
        this->leavingByHostList = leaving;
        ++entry.member.sequence;
        touch(this->table, entry);
        this->requestPushLocked(true);
    }
}

void MembershipService::hostListLoop()
{
    while (!this->waitStopped(this->settings.timing.hostListIntervalMs)) {
        bool marked = false;
        {
            const std::lock_guard lock(this->mutex);
            marked = this->leavingByHostList;
        }
        if (marked || isWatcher(this->members(), this->table.self)) {
            this->readHostList();
        }
    }
}

} // namespace LibMembership
