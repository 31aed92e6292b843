#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <LibFleet/StorePosition.h>
#include <absl/status/statusor.h>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace LibFleet
{

/// Kinds of objects that the system reads from the platform's store. Processes exchange them by number.
enum class ObjectKind { Configuration, Evacuations, WeightsTargets, Upstreams, Entries, QuarantinedParts };

inline constexpr std::array objectKindNames{
    AK::EnumName{ObjectKind::Configuration, "configuration"},
    AK::EnumName{ObjectKind::Evacuations, "evacuations"},
    AK::EnumName{ObjectKind::WeightsTargets, "weights_targets"},
    AK::EnumName{ObjectKind::Upstreams, "upstreams"},
    AK::EnumName{ObjectKind::Entries, "entries"},
    AK::EnumName{ObjectKind::QuarantinedParts, "quarantined_parts"},
};

inline constexpr size_t objectKindCount = objectKindNames.size();

/// Bounds on all objects of one kind, about four times what the largest deployment has (1,270 processes; a list of about 1 MB). Without them a faulty store or
/// process fills the memory of each reader.
inline constexpr size_t maxObjects = 20'000;
inline constexpr size_t maxObjectBytes = 4UL << 20;

/// One object as the store holds it. `spec` is passed between processes undecoded; only the platform adapter reads it.
struct StoredObject {
    std::string name;
    std::string spec;
    bool deleted = false;
    /// Sent between processes: not in the store in this state, and kept in force only until a grace time has passed.
    bool lapsed = false;
    /// Revision of its last change; 0 when unknown.
    int64_t revision = 0;
    /// Sent between processes: in the store, which came back from an older copy, but known to be out of date and not in force.
    bool outOfDate = false;
    /// Sent between processes: what is left of the grace time of `lapsed` or `outOfDate`, in ms; 0 when unknown.
    AK::Milliseconds graceLeft = 0;
};

/// All objects of a kind, or only those that have changed, up to `position`.
struct ObjectPage {
    StorePosition position;
    std::vector<StoredObject> objects;
};

/// The newest known objects of one kind. The position never goes back.
struct ObjectSnapshot {
    /// `specs` contains all changes up to this position of the store.
    StorePosition position;
    /// Position at which `specs` last changed. Processes compare this one, because the store's revision also grows with changes of other kinds.
    StorePosition changedAt;
    std::map<std::string, std::string> specs;
    /// Revision of the last change of each object in `specs`.
    std::map<std::string, int64_t> revisions;

    /// Replaces all objects. Returns false and changes nothing when the page is not newer.
    bool replace(const ObjectPage &page);

    /// Applies changes that follow the position `since`. Returns false and changes nothing when the snapshot is at another position by now, or when the changes
    /// are of another era.
    bool apply(const ObjectPage &changes, StorePosition since);
};

/// Upstreams whose leases expired during a store outage register again within this time after the store has recovered, in ms; until then removals are ignored.
inline constexpr AK::Milliseconds expiredLeaseGrace = 2'300;

/// Shortest absence of the store in which a lease can lapse, in ms. A lease lapses after three intervals without a renewal; an upstream that is alive has
/// renewed its lease within the last interval before the store went away.
constexpr AK::Milliseconds shortestLapse(AK::Milliseconds leaseRenewal)
{
    constexpr AK::Milliseconds intervalsUntilLapse = 3;
    return (intervalsUntilLapse - 1) * leaseRenewal;
}

/// Time without an answer of the store, at least one interval of the renewals; absences that are closer than that count as one.
struct StoreAbsence {
    AK::Milliseconds begin = 0;
    /// The last answer before `end`; later than `begin` when the absence consists of several.
    AK::Milliseconds lastAnswer = 0;
    AK::Milliseconds end = 0;
};

/// Keeps upstreams whose leases expired during a store outage until expiredLeaseGrace after the store has recovered. Load pattern: all leases expire in an
/// outage, and all upstreams would be removed at once. A failed call, or a watch that is cut, is no outage by itself: the store has been away only if nothing
/// has been answered for as long as a lease takes to lapse.
class ExpiredLeases
{
public:
    /// `leaseRenewal`: interval at which upstreams renew their leases, in ms.
    explicit ExpiredLeases(AK::Milliseconds leaseRenewal);
    void setLeaseRenewal(AK::Milliseconds interval);

    /// A call of any kind of objects failed, or was not answered promptly, or a watch was cut.
    void callFailed();
    /// A call of any kind of objects was answered. Returns whether leases may have lapsed since the last answer; the grace begins then.
    bool storeAnswered(AK::Milliseconds now);
    /// Whether the last call failed, so that it is not known yet whether the store is away.
    bool awaitsAnswer() const;
    /// The absence in which leases may have lapsed; nothing before the first one.
    const std::optional<StoreAbsence> &lapse() const;
    /// No lease has lapsed in the absence.
    void endGrace();
    /// Time for which upstreams that the store has lost stay in force, in ms; all of the grace while an answer is awaited.
    AK::Milliseconds graceLeft(AK::Milliseconds now) const;

    /// Returns `current`, and while an answer is awaited and in the grace period also the objects that only `previous` has. `expiresAt` is set to the time at
    /// which these are to be removed, or 0 when there are none or an answer is awaited.
    std::map<std::string, std::string> merge(const std::map<std::string, std::string> &previous, const std::map<std::string, std::string> &current,
                                             AK::Milliseconds now, AK::Milliseconds &expiresAt) const;

private:
    /// Whether leases may have lapsed unseen since the last answer, which is followed by one at `now`.
    bool mayHaveLapsed(AK::Milliseconds now);

    AK::Milliseconds leaseRenewal;
    bool awaitingAnswer = false;
    std::optional<AK::Milliseconds> lastAnswer;
    StoreAbsence absence;
    std::optional<StoreAbsence> possibleLapse;
    AK::Milliseconds recoveredAt = -expiredLeaseGrace;
};

} // namespace LibFleet
