#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <absl/status/statusor.h>
#include <array>
#include <functional>
#include <map>
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

/// One object as the store holds it. `spec` is passed between processes undecoded; only the platform adapter reads it.
struct StoredObject {
    std::string name;
    std::string spec;
    bool deleted = false;
    /// Sent between processes: no longer in the store, and kept in force only until expiredLeaseGrace has passed.
    bool lapsed = false;
};

/// All objects of a kind, or only those that have changed, up to `revision`.
struct ObjectPage {
    int64_t revision = 0;
    std::vector<StoredObject> objects;
};

/// The newest known objects of one kind. The revision never decreases.
struct ObjectSnapshot {
    /// `specs` contains all changes up to this revision of the store.
    int64_t revision = 0;
    /// Revision at which `specs` last changed. Processes compare this one, because the store's revision also grows with changes of other kinds.
    int64_t changedAt = 0;
    std::map<std::string, std::string> specs;

    /// Replaces all objects. Returns false and changes nothing when the page is not newer.
    bool replace(const ObjectPage &page);

    /// Applies changes that follow the revision `since`. Returns false and changes nothing when the snapshot is at another revision by now.
    bool apply(const ObjectPage &changes, int64_t since);
};

/// Upstreams whose leases expired during a store outage register again within this time after the store has recovered, in ms; until then removals are ignored.
inline constexpr AK::Milliseconds expiredLeaseGrace = 2'300;

/// Keeps upstreams whose leases expired during a store outage until expiredLeaseGrace after the store has recovered. Load pattern: all leases expire in an
/// outage, and all upstreams would be removed at once.
class ExpiredLeases
{
public:
    /// Must be called when the store becomes unreachable and when it answers again.
    void storeLost(AK::Milliseconds now);
    void storeRecovered(AK::Milliseconds now);

    /// Returns `current`, and during an outage and the grace period also the objects that only `previous` has. `expiresAt` is set to the time at which these
    /// are to be removed, or 0 when there are none or the outage lasts.
    std::map<std::string, std::string> merge(const std::map<std::string, std::string> &previous, const std::map<std::string, std::string> &current,
                                             AK::Milliseconds now, AK::Milliseconds &expiresAt) const;

private:
    bool storeDown = false;
    AK::Milliseconds recoveredAt = -expiredLeaseGrace;
};

} // namespace LibFleet
