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

/// The member table of this process and its mutex, shared by the threads of MembershipService, which also wait here for rounds and pushes. Calls no other
/// service while the mutex is locked.
class SharedTable
{
public:
    /// Maximum number of members to which a leaving process pushes its record directly; the receivers forward it to the others.
    static constexpr size_t directPushLimit = 64;

    /// Data of the table that one message of an exchange carries.
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

    /// Changes the own record, raises its sequence and requests a push when others must know at once.
    void updateSelf(const std::function<void(Member &)> &change);
    /// Publishes that this process leaves. The host list does not withdraw this.
    void announceLeaving();
    /// Has a member probed in the next round, which starts at once.
    void reportUnreachable(const std::string &name);
    void noteProbeFailed(const std::string &name);
    void noteProbeAnswered(const std::string &name);

    /// Returns the own record with at most 16 changed records, or with the whole table.
    Outgoing outgoing(const std::string &peer, bool wholeTable);
    /// Merges records that a peer sent. Requests a push when a member leaves or this process must refute a status.
    void merge(const std::vector<Member> &records);
    /// Marks the records that the peer did not know to be sent again. Called after the whole table of the peer was merged.
    void spreadMissing(const std::vector<Member> &peerRecords);
    /// Compares the hash of a peer's table with the own one.
    void notePeerHash(uint64_t hash);
    /// Whether the hashes have differed for so long that the next exchange must fetch the whole table.
    bool wholeTableDue() const;

    /// Expires suspects and returns the members to contact in this round.
    std::vector<Member> planRound();
    /// Returns a seed that is not a live member and is to be contacted in this round.
    std::optional<AK::Endpoint> unknownSeed();

    /// Updates the status of members from the host list. Returns a few live hosts of the list that are not members.
    std::vector<AK::Endpoint> applyHostList(const std::vector<LibObjectStore::HostEntry> &hosts);
    /// Whether the host list has marked this process as leaving.
    bool markedByHostList() const;

    /// Requests a push to a few random members, or with `toAll` to up to directPushLimit members.
    void requestPush(bool toAll);
    /// Blocks until a push is requested and returns its targets; nothing when the service stops.
    std::optional<std::vector<Member>> waitForPush();
    /// Waits until the next round is due. False when the service stops.
    bool waitForRound();
    /// Waits `duration` ms. True when the service stops.
    bool waitStopped(AK::Milliseconds duration);
    void stop();

private:
    void mergeLocked(const Member &incoming);
    void refuteLocked(const Member &incoming);
    void requestPushLocked(bool toAll);
    bool isLiveHostLocked(const std::string &host) const;
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
    bool pushRequested = false;
    bool pushToAll = false;
    bool leavingByHostList = false;
    bool stopping = false;
    /// Consecutive exchanges in which the table hashes differed.
    int hashMismatches = 0;
    AK::Milliseconds lastWholeTable = 0;
};

} // namespace LibMembership
