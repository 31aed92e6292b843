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

bool isUp(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Leaving;
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
    return std::tuple(incoming.instance, incoming.sequence, static_cast<int>(incoming.status))
        > std::tuple(known.instance, known.sequence, static_cast<int>(known.status));
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
        const bool contradicted =
            found != table.entries.end() && incoming.instance == found->second.member.instance && supersedes(incoming, found->second.member);
        return contradicted ? MergeResult::SelfContradicted : MergeResult::Unchanged;
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
    entry.member = incoming;
    if (!sameStatus) {
        entry.statusSince = now;
    }
    if (isUp(incoming.status)) {
        entry.probeFailed = false;
        entry.confirmed = false;
    }
    touch(table, entry);
    return MergeResult::Changed;
}

bool setObservedStatus(MemberTable &table, const std::string &name, MemberStatus status, AK::Milliseconds now)
{
    const auto found = table.entries.find(name);
    if (found == table.entries.end() || name == table.self || static_cast<int>(status) <= static_cast<int>(found->second.member.status)) {
        return false;
    }
    found->second.member.status = status;
    found->second.statusSince = now;
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
        if (entry.member.status == MemberStatus::Suspect && !entry.confirmed && now - entry.statusSince >= wait) {
            return entry.member;
        }
    }
    return std::nullopt;
}

std::vector<std::string> expireSuspects(MemberTable &table, AK::Milliseconds now, AK::Milliseconds suspectTimeout, AK::Milliseconds forgetAfter)
{
    std::vector<std::string> newlyDead;
    for (auto entry = table.entries.begin(); entry != table.entries.end();) {
        TableEntry &value = entry->second;
        const AK::Milliseconds age = now - value.statusSince;
        if (value.member.status == MemberStatus::Suspect && value.confirmed && age >= suspectTimeout) {
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
