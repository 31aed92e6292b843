#include <LibMembership/SharedTable.h>

#include <algorithm>
#include <tuple>

namespace LibMembership
{

namespace
{

constexpr size_t updatesPerExchange = 16;
constexpr size_t pushFanOut = 4;
constexpr int hashMismatchLimit = 5;
// One exchange round in this many also contacts a seed that is not a live member, so that groups that formed separately find each other.
// At 1,270 processes and two dead seeds this costs each seed's address about 40 connection attempts a second.
constexpr uint64_t roundsPerUnknownSeed = 16;
// During this time after the start every round contacts such a seed.
constexpr AK::Milliseconds startupMs = 30'000;
// Maximum number of hosts that are contacted after one reading of the host list because they are not members.
constexpr size_t unknownHostsPerReading = 2;
// Shortest time between reads of a whole table, per member in it. A record takes about 200 bytes, so these reads stay under 2 KB/s.
constexpr AK::Milliseconds wholeTableMsPerMember = 100;
// Longer than a partition between regions is expected to last (an hour), so that both sides still know each other's addresses afterwards.
constexpr AK::Milliseconds forgetDeadMs = 3 * 3'600'000;

bool urgentChange(const Member &before, const Member &after)
{
    return before.status != after.status || before.servingState != after.servingState || before.revision != after.revision;
}

/// All published fields except the name, the instance and the sequence.
auto contentOf(const Member &member)
{
    return std::tie(member.rpcAddress, member.httpAddress, member.role, member.region, member.failureDomain, member.status, member.revision, member.service,
                    member.servingState, member.weightsRoot, member.targetRoot, member.chunksHeld, member.chunksTotal, member.callsSinceSwitch,
                    member.errorsSinceSwitch, member.warm);
}

Member ownRecord(const LibSettings::ProcessSettings &settings, const AK::Clock &clock)
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
    return own;
}

} // namespace

SharedTable::SharedTable(const LibSettings::ProcessSettings &settings, const AK::Clock &clock)
    : settings(settings)
    , clock(clock)
    , random(AK::seededFromSystem())
    , startedAt(clock.now())
{
    this->table.self = settings.name;
    TableEntry &entry = this->table.entries[settings.name];
    entry.member = ownRecord(settings, clock);
    touch(this->table, entry);
}

std::vector<Member> SharedTable::members() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Member> all;
    all.reserve(this->table.entries.size());
    for (const auto &[name, entry] : this->table.entries) {
        all.push_back(entry.member);
    }
    return all;
}

size_t SharedTable::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.entries.size();
}

std::optional<Member> SharedTable::find(const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->table.entries.find(name);
    return found == this->table.entries.end() ? std::nullopt : std::optional(found->second.member);
}

uint64_t SharedTable::changeCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->table.changeCount;
}

void SharedTable::updateSelf(const std::function<void(Member &)> &change)
{
    const std::lock_guard lock(this->mutex);
    TableEntry &entry = this->table.entries.at(this->table.self);
    const Member before = entry.member;
    Member after = before;
    change(after);
    if (contentOf(before) == contentOf(after)) {
        // A new sequence would be forwarded by every process.
        return;
    }
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

void SharedTable::announceLeaving()
{
    const std::lock_guard lock(this->mutex);
    this->leavingByHostList = false;
    TableEntry &entry = this->table.entries.at(this->table.self);
    if (entry.member.status != MemberStatus::Leaving) {
        entry.member.status = MemberStatus::Leaving;
        ++entry.member.sequence;
        touch(this->table, entry);
        this->requestPushLocked(true);
    }
}

void SharedTable::reportUnreachable(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->table.entries.find(name);
    // A member that is suspected already is probed on the schedule of suspects; more reports would only repeat the probe.
    if (found != this->table.entries.end() && found->second.member.status != MemberStatus::Dead && !found->second.suspectedSince) {
        this->unreachable.insert(name);
        this->changed.notify_all();
    }
}

void SharedTable::noteProbeFailed(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    if (noteFailedProbe(this->table, name, this->clock.now())) {
        this->logger.info("member_suspect", {{"member", name}});
    }
}

void SharedTable::noteProbeAnswered(const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    noteAnsweredProbe(this->table, name);
}

void SharedTable::requestPushLocked(bool toAll)
{
    this->pushRequested = true;
    this->pushToAll = this->pushToAll || toAll;
    this->changed.notify_all();
}

void SharedTable::refuteLocked(const Member &incoming)
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

void SharedTable::mergeLocked(const Member &incoming)
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

void SharedTable::requestPush(bool toAll)
{
    const std::lock_guard lock(this->mutex);
    this->requestPushLocked(toAll);
}

void SharedTable::merge(const std::vector<Member> &records)
{
    const std::lock_guard lock(this->mutex);
    for (const Member &record : records) {
        this->mergeLocked(record);
    }
}

SharedTable::Outgoing SharedTable::outgoing(const std::string &peer, bool wholeTable)
{
    const std::lock_guard lock(this->mutex);
    Outgoing message;
    if (wholeTable) {
        message.updates.reserve(this->table.entries.size());
        for (const auto &[name, entry] : this->table.entries) {
            message.updates.push_back(entry.member);
        }
    } else {
        message.updates = takeUpdates(this->table, peer, updatesPerExchange);
    }
    message.own = this->table.entries.at(this->table.self).member;
    message.hash = tableHash(this->table);
    return message;
}

void SharedTable::spreadMissing(const std::vector<Member> &peerRecords)
{
    std::map<std::string, const Member *> byName;
    for (const Member &member : peerRecords) {
        byName.emplace(member.name, &member);
    }
    const std::lock_guard lock(this->mutex);
    this->lastWholeTable = this->clock.now();
    for (auto &[name, entry] : this->table.entries) {
        const auto known = byName.find(name);
        if (known == byName.end() ? entry.member.status != MemberStatus::Dead : supersedes(entry.member, *known->second)) {
            entry.timesSent = 0;
        }
    }
}

void SharedTable::notePeerHash(uint64_t hash)
{
    const std::lock_guard lock(this->mutex);
    this->hashMismatches = hash == tableHash(this->table) ? 0 : this->hashMismatches + 1;
}

bool SharedTable::wholeTableDue() const
{
    const std::lock_guard lock(this->mutex);
    const AK::Milliseconds spacing = std::max<AK::Milliseconds>(hashMismatchLimit * this->settings.timing.gossipIntervalMs,
                                                                wholeTableMsPerMember * static_cast<AK::Milliseconds>(this->table.entries.size()));
    return this->hashMismatches >= hashMismatchLimit && this->clock.now() - this->lastWholeTable >= spacing;
}

std::vector<Member> SharedTable::planRound()
{
    const std::lock_guard lock(this->mutex);
    const AK::Milliseconds now = this->clock.now();
    for (const std::string &name : expireSuspects(this->table, now, this->settings.timing.suspectTimeoutMs, forgetDeadMs)) {
        this->logger.warning("member_dead", {{"member", name}});
    }
    std::vector<Member> targets;
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
    return targets;
}

bool SharedTable::isLiveHostLocked(const std::string &host) const
{
    return std::any_of(this->table.entries.begin(), this->table.entries.end(),
                       [&](const auto &row) { return row.second.member.rpcAddress.host == host && row.second.member.status != MemberStatus::Dead; });
}

std::optional<AK::Endpoint> SharedTable::unknownSeed()
{
    const std::lock_guard lock(this->mutex);
    const bool startingUp = this->clock.now() - this->startedAt < startupMs;
    if (!startingUp && AK::uniformBelow(this->random, roundsPerUnknownSeed) != 0) {
        return std::nullopt;
    }
    std::vector<AK::Endpoint> unknown;
    for (const AK::Endpoint &seed : this->settings.seeds) {
        if (seed != this->settings.rpcAddress && !this->isLiveHostLocked(seed.host)) {
            unknown.push_back(seed);
        }
    }
    return unknown.empty() ? std::nullopt : std::optional(unknown[AK::uniformBelow(this->random, unknown.size())]);
}

std::vector<AK::Endpoint> SharedTable::applyHostList(const std::vector<LibObjectStore::HostEntry> &hosts)
{
    const std::lock_guard lock(this->mutex);
    std::vector<AK::Endpoint> unknown;
    for (const LibObjectStore::HostEntry &host : hosts) {
        for (auto &[name, entry] : this->table.entries) {
            if (entry.member.rpcAddress.host == host.address) {
                this->applyHostStateLocked(entry, host.state == LibObjectStore::HostState::Leaving);
            }
        }
        if (host.state == LibObjectStore::HostState::Live && !this->isLiveHostLocked(host.address)) {
            unknown.push_back({host.address, this->settings.rpcAddress.port});
        }
    }
    std::shuffle(unknown.begin(), unknown.end(), this->random);
    unknown.resize(std::min(unknown.size(), unknownHostsPerReading));
    return unknown;
}

void SharedTable::applyHostStateLocked(TableEntry &entry, bool leaving)
{
    if (entry.member.name != this->table.self) {
        if (leaving && setObservedStatus(this->table, entry.member.name, MemberStatus::Leaving, this->clock.now())) {
            this->requestPushLocked(true);
        }
        return;
    }
    // The list may have lagged behind a replacement: the leaving status is withdrawn when the list says live.
    const bool withdraw = !leaving && this->leavingByHostList && entry.member.status == MemberStatus::Leaving;
    if (withdraw || (leaving && entry.member.status == MemberStatus::Alive)) {
        entry.member.status = withdraw ? MemberStatus::Alive : MemberStatus::Leaving;
        this->leavingByHostList = leaving;
        ++entry.member.sequence;
        touch(this->table, entry);
        this->requestPushLocked(true);
    }
}

bool SharedTable::markedByHostList() const
{
    const std::lock_guard lock(this->mutex);
    return this->leavingByHostList;
}

std::optional<std::vector<Member>> SharedTable::waitForPush()
{
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->stopping || this->pushRequested; });
    if (!this->pushRequested) {
        return std::nullopt;
    }
    std::vector<Member> all;
    for (const auto &[name, entry] : this->table.entries) {
        all.push_back(entry.member);
    }
    this->pushRequested = false;
    const size_t count = std::exchange(this->pushToAll, false) ? directPushLimit : pushFanOut;
    return chooseMembers(all, this->table.self, count, this->random);
}

bool SharedTable::waitForRound()
{
    std::unique_lock lock(this->mutex);
    // A jitter of a quarter of the interval keeps processes that started together from exchanging at the same time.
    const AK::Milliseconds interval = this->settings.timing.gossipIntervalMs;
    const auto wait = interval - interval / 8 + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, static_cast<uint64_t>(interval / 4 + 1)));
    this->changed.wait_for(lock, std::chrono::milliseconds(wait), [this] { return this->stopping || !this->unreachable.empty(); });
    return !this->stopping;
}

bool SharedTable::waitStopped(AK::Milliseconds duration)
{
    std::unique_lock lock(this->mutex);
    return this->changed.wait_for(lock, std::chrono::milliseconds(duration), [this] { return this->stopping; });
}

void SharedTable::stop()
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
}

} // namespace LibMembership
