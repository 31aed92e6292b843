#include <LibMembership/MemberTable.h>

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>
#include <bit>
#include <tuple>

namespace LibMembership
{

namespace
{

// One exchange in this many goes to a dead member. At one exchange per second and process, two regions of hundreds of processes find each other again within
// a second.
constexpr uint64_t exchangesPerDeadPartner = 16;

// How much a status outweighs another one of the same record; the order on the wire is another.
int weightOf(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return 0;
    case MemberStatus::Suspect:
        return 1;
    case MemberStatus::Leaving:
        return 2;
    case MemberStatus::Dead:
        break;
    }
    return 3;
}

bool isUp(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Leaving;
}

void endSuspicion(TableEntry &entry)
{
    entry.suspectedSince.reset();
    entry.probeFailed = false;
    entry.confirmed = false;
}

// Whether a record about this process must be answered by a greater sequence. A leaving process contradicts a suspicion too, although its own status outweighs
// it: whoever suspects it has not received that it is leaving.
bool contradicts(const Member &incoming, const Member &own)
{
    const bool otherStatus = incoming.status != own.status && incoming.status != MemberStatus::Alive;
    return incoming.instance == own.instance && (incoming.sequence > own.sequence || (incoming.sequence == own.sequence && otherStatus));
}

uint64_t hashShareOf(const Member &member)
{
    if (member.status == MemberStatus::Dead) {
        return 0;
    }
    return AK::stableHash(AK::concat(member.name, " ", member.instance, " ", member.sequence, " ", static_cast<int>(member.status)));
}

uint32_t sendLimit(size_t members)
{
    return 3 * std::max(1U, static_cast<uint32_t>(std::bit_width(members)));
}

} // namespace

bool supersedes(const Member &incoming, const Member &known)
{
    return std::tuple(incoming.instance, incoming.sequence, weightOf(incoming.status)) > std::tuple(known.instance, known.sequence, weightOf(known.status));
}

void touch(MemberTable &table, TableEntry &entry)
{
    const uint64_t share = hashShareOf(entry.member);
    // Sums wrap around; addition lets a record's share be replaced whatever the order of changes.
    table.hash += share - entry.hashShare;
    entry.hashShare = share;
    entry.timesSent = 0;
    entry.changedAt = ++table.changeCount;
}

MergeResult mergeRecord(MemberTable &table, const Member &incoming, AK::Milliseconds now)
{
    const auto found = table.entries.find(incoming.name);
    if (incoming.name == table.self) {
        return found != table.entries.end() && contradicts(incoming, found->second.member) ? MergeResult::SelfContradicted : MergeResult::Unchanged;
    }
    if (found == table.entries.end()) {
        // A dead record that was removed here must not come back from a process that removes it later.
        if (incoming.name.empty() || incoming.status == MemberStatus::Dead) {
            return MergeResult::Unchanged;
        }
    } else if (!supersedes(incoming, found->second.member)) {
        return MergeResult::Unchanged;
    }
    TableEntry &entry = table.entries[incoming.name];
    const bool sameStatus = entry.changedAt != 0 && entry.member.status == incoming.status && entry.member.instance == incoming.instance;
    // A status that others observed leaves the sequence as it was and is no sign of life.
    if (incoming.instance != entry.member.instance || incoming.sequence != entry.member.sequence) {
        endSuspicion(entry);
    }
    entry.member = incoming;
    if (!sameStatus) {
        entry.statusSince = now;
    }
    if (incoming.status == MemberStatus::Suspect && !entry.suspectedSince) {
        entry.suspectedSince = now;
    }
    touch(table, entry);
    return MergeResult::Changed;
}

bool setObservedStatus(MemberTable &table, const std::string &name, MemberStatus status, AK::Milliseconds now)
{
    const auto found = table.entries.find(name);
    if (found == table.entries.end() || name == table.self || weightOf(status) <= weightOf(found->second.member.status)) {
        return false;
    }
    found->second.member.status = status;
    found->second.statusSince = now;
    if (status == MemberStatus::Suspect) {
        found->second.suspectedSince = now;
    }
    touch(table, found->second);
    return true;
}

uint64_t tableHash(const MemberTable &table)
{
    return table.hash;
}

std::vector<Member> takeUpdates(MemberTable &table, const std::string &peer, size_t limit)
{
    const uint32_t maxSends = sendLimit(table.entries.size());
    std::vector<TableEntry *> candidates;
    std::vector<Member> updates;
    for (auto &[name, entry] : table.entries) {
        if (name == peer && entry.member.status != MemberStatus::Alive) {
            updates.push_back(entry.member);
        } else if (name != table.self && name != peer && entry.timesSent < maxSends) {
            candidates.push_back(&entry);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const TableEntry *left, const TableEntry *right) {
        return std::tuple(left->timesSent, right->changedAt) < std::tuple(right->timesSent, left->changedAt);
    });
    for (TableEntry *entry : candidates) {
        if (updates.size() >= limit) {
            break;
        }
        ++entry->timesSent;
        updates.push_back(entry->member);
    }
    return updates;
}

std::optional<Member> choosePartner(const MemberTable &table, AK::Random &random)
{
    std::vector<const Member *> notDead;
    std::vector<const Member *> dead;
    for (const auto &[name, entry] : table.entries) {
        if (name != table.self) {
            (entry.member.status == MemberStatus::Dead ? dead : notDead).push_back(&entry.member);
        }
    }
    const bool chooseDead = !dead.empty() && (notDead.empty() || AK::uniformBelow(random, exchangesPerDeadPartner) == 0);
    const auto &pool = chooseDead ? dead : notDead;
    if (pool.empty()) {
        return std::nullopt;
    }
    return *pool[AK::uniformBelow(random, pool.size())];
}

std::vector<Member> chooseMembers(const std::vector<Member> &members, const std::string &self, size_t count, AK::Random &random)
{
    std::vector<Member> pool;
    for (const Member &member : members) {
        if (member.name != self && isUp(member.status)) {
            pool.push_back(member);
        }
    }
    std::shuffle(pool.begin(), pool.end(), random);
    pool.resize(std::min(pool.size(), count));
    return pool;
}

std::optional<Member> suspectToProbe(const MemberTable &table, AK::Milliseconds now, AK::Milliseconds suspectTimeout)
{
    for (const auto &[name, entry] : table.entries) {
        const AK::Milliseconds wait = entry.probeFailed ? suspectTimeout / 2 : 3 * suspectTimeout;
        if (entry.member.status != MemberStatus::Dead && entry.suspectedSince && !entry.confirmed && now - *entry.suspectedSince >= wait) {
            return entry.member;
        }
    }
    return std::nullopt;
}

bool noteFailedProbe(MemberTable &table, const std::string &name, AK::Milliseconds now)
{
    const auto found = table.entries.find(name);
    if (found == table.entries.end() || found->second.member.status == MemberStatus::Dead) {
        return false;
    }
    TableEntry &entry = found->second;
    const bool first = !entry.suspectedSince;
    if (first && !setObservedStatus(table, name, MemberStatus::Suspect, now)) {
        entry.suspectedSince = now;
    }
    entry.confirmed = !first;
    entry.probeFailed = true;
    return first;
}

void noteAnsweredProbe(MemberTable &table, const std::string &name)
{
    const auto found = table.entries.find(name);
    if (found != table.entries.end() && found->second.member.status == MemberStatus::Leaving) {
        endSuspicion(found->second);
    }
}

std::vector<std::string> expireSuspects(MemberTable &table, AK::Milliseconds now, AK::Milliseconds suspectTimeout, AK::Milliseconds forgetAfter)
{
    std::vector<std::string> newlyDead;
    for (auto entry = table.entries.begin(); entry != table.entries.end();) {
        TableEntry &value = entry->second;
        const AK::Milliseconds age = now - value.statusSince;
        if (value.member.status != MemberStatus::Dead && value.confirmed && now - value.suspectedSince.value_or(now) >= suspectTimeout) {
            setObservedStatus(table, entry->first, MemberStatus::Dead, now);
            newlyDead.push_back(entry->first);
        } else if (value.member.status == MemberStatus::Dead && age >= forgetAfter) {
            table.hash -= value.hashShare;
            entry = table.entries.erase(entry);
            ++table.changeCount;
            continue;
        }
        ++entry;
    }
    return newlyDead;
}

} // namespace LibMembership
