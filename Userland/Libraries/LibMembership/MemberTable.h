#pragma once

#include <AK/Clock.h>
#include <AK/Random.h>
#include <LibMembership/MembershipView.h>
#include <map>
#include <string>
#include <vector>

namespace LibMembership
{

/// The record of a member and the local state that belongs to it.
struct TableEntry {
    Member member;
    /// Exchanges that have carried the newest state of the record.
    uint32_t timesSent = 0;
    /// Grows with each change of the table; greater is newer.
    uint64_t changedAt = 0;
    /// Time of Clock::now() at which this process learned of the current status.
    AK::Milliseconds statusSince = 0;
    /// Time of Clock::now() since which the member is suspected: its status is suspect, or it is leaving and did not answer this process.
    std::optional<AK::Milliseconds> suspectedSince;
    /// This process probed the member itself and got no response.
    bool probeFailed = false;
    /// A later probe of a suspect by this process failed too.
    bool confirmed = false;
    /// What the record adds to MemberTable::hash; 0 when it is dead.
    uint64_t hashShare = 0;
};

struct MemberTable {
    std::string self;
    std::map<std::string, TableEntry> entries;
    uint64_t changeCount = 0;
    /// Sum of the hash shares of all entries, kept up to date by touch().
    uint64_t hash = 0;
};

enum class MergeResult {
    Unchanged,
    Changed,
    /// Another process considers this one suspect, dead or leaving, or has a later state of its record: this process must raise its sequence.
    SelfContradicted,
};

/// Whether a record replaces another of the same name: greater instance, then greater sequence, then the status that outweighs the other: suspect outweighs
/// alive, leaving outweighs suspect, because a member that announced its leaving does not come back under the same record, and dead outweighs all.
bool supersedes(const Member &incoming, const Member &known);

MergeResult mergeRecord(MemberTable &table, const Member &incoming, AK::Milliseconds now);

/// Sets a status that this process observed and the member itself has not published, under the member's last sequence. Only a status that outweighs the known
/// one replaces it, see supersedes(). Returns false when nothing changed.
bool setObservedStatus(MemberTable &table, const std::string &name, MemberStatus status, AK::Milliseconds now);

/// Marks a record as changed, so that it is spread again, and brings the table's hash up to date. Must follow each change of a record.
void touch(MemberTable &table, TableEntry &entry);

/// 64-bit hash over name, instance, sequence and status of all records that are not dead. Dead records are left out because each process removes them at a
/// different time. Takes constant time, because each exchange carries the hash.
uint64_t tableHash(const MemberTable &table);

/// Returns at most `limit` changed records, the least often sent first, and counts them as sent. Each is sent at most 3 log2(n) times. The record of `peer`
/// comes first when the peer must refute it.
std::vector<Member> takeUpdates(MemberTable &table, const std::string &peer, size_t limit);

/// Returns a random member to exchange with: mostly one that is not dead, sometimes a dead one, so that partitioned regions find each other again.
/// Nothing when this process knows no other.
std::optional<Member> choosePartner(const MemberTable &table, AK::Random &random);

/// Returns at most `count` random members that are alive or leaving, this process excluded.
std::vector<Member> chooseMembers(const std::vector<Member> &members, const std::string &self, size_t count, AK::Random &random);

/// Returns a suspected member that this process must probe again now: after half of `suspectTimeout` if its own probe failed, else after three times
/// `suspectTimeout`.
std::optional<Member> suspectToProbe(const MemberTable &table, AK::Milliseconds now, AK::Milliseconds suspectTimeout);

/// Notes that a probe by this process failed. Returns whether the member was not suspected before. A leaving member stays leaving and is suspected by this
/// process alone.
bool noteFailedProbe(MemberTable &table, const std::string &name, AK::Milliseconds now);

/// Ends the suspicion of a leaving member that answered. One that has become suspect ends it itself, by a greater sequence.
void noteAnsweredProbe(MemberTable &table, const std::string &name);

/// Declares confirmed suspects dead after `suspectTimeout` ms and removes dead members after `forgetAfter` ms. Returns the names of those declared dead.
std::vector<std::string> expireSuspects(MemberTable &table, AK::Milliseconds now, AK::Milliseconds suspectTimeout, AK::Milliseconds forgetAfter);

} // namespace LibMembership
