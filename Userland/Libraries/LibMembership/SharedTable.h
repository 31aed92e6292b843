#pragma once

#include <AK/Random.h>
#include <LibLog/Logger.h>
#include <LibMembership/MemberTable.h>
#include <LibObjectStore/ObjectStore.h>
#include <LibSettings/ProcessSettings.h>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>

namespace LibMembership
{

/// The member table of this process under its lock, with what its threads wait for. Thread-safe; calls nothing else under its lock.
class SharedTable
{
public:
    /// A leaving process tells every member directly up to this number; above it the forwarding of the receivers does the rest.
    static constexpr size_t directPushLimit = 64;

    /// What one message of an exchange carries of the table.
    struct Outgoing {
        Member own;
        uint64_t hash = 0;
        std::vector<Member> updates;
    };

    SharedTable(const LibSettings::ProcessSettings &settings, const AK::Clock &clock);

    std::vector<Member> members() const;
    size_t size() const;
    std::optional<Member> find(const std::string &name) const;
    uint64_t changeCount() const;

    /// Changes the own record, raises its sequence and asks for a push when others must know at once.
    void updateSelf(const std::function<void(Member &)> &change);
    /// Has a member probed in the next round, which starts at once.
    void reportUnreachable(const std::string &name);
    void noteProbeFailed(const std::string &name);

    /// The own record with at most 16 changed records, or with the whole table.
    Outgoing outgoing(const std::string &peer, bool wholeTable);
    /// Merges records that a peer sent. Asks for a push when a member leaves or this process must refute a status.
    void merge(const std::vector<Member> &records);
    /// After the whole table of a peer was merged: spreads again what the peer did not know.
    void spreadMissing(const std::vector<Member> &peerRecords);
    void notePeerHash(uint64_t hash);
    /// Whether the hashes have differed for so long that the next exchange must fetch the whole table.
    bool wholeTableDue() const;

    /// Expires suspects and returns the members to contact in this round.
    std::vector<Member> planRound();
    /// A seed that is no live member and is to be tried in this round.
    std::optional<AK::Endpoint> unknownSeed();

    /// Marks members by the host list. Returns a few live hosts of the list that are no members.
    std::vector<AK::Endpoint> applyHostList(const std::vector<LibObjectStore::HostEntry> &hosts);
    /// Whether the host list has marked this process as leaving.
    bool markedByHostList() const;

    void requestPush(bool everybody);
    /// Blocks until a push is wanted and returns its targets; nothing when the service stops.
    std::optional<std::vector<Member>> waitForPush();
    /// Waits until the next round is due. False when the service stops.
    bool waitForRound();
    /// Waits `duration` ms. True when the service stops.
    bool waitStopped(AK::Milliseconds duration);
    void stop();

private:
    void mergeLocked(const Member &incoming);
    void refuteLocked(const Member &incoming);
    void requestPushLocked(bool everybody);
    bool knownLocked(const std::string &host) const;
    void applyHostStateLocked(TableEntry &entry, bool leaving);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibLog::Logger logger{"membership"};

    mutable std::mutex mutex;
    std::condition_variable changed;
    MemberTable table;
    AK::Random random;
    AK::Milliseconds startedAt;
    std::set<std::string> unreachable;
    bool pushWanted = false;
    bool pushToAll = false;
    bool leavingByHostList = false;
    bool stopping = false;
    int unequalHashes = 0;
    AK::Milliseconds lastWholeTable = 0;
};

} // namespace LibMembership
