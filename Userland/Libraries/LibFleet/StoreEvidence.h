#pragma once

#include <LibFleet/ObjectFeed.h>
#include <optional>

namespace LibFleet
{

/// What another process reports counts only if its store answered within this time, in ms; nothing is known of the time since.
inline constexpr AK::Milliseconds steadyPeriodMaxAge = 2'000;

/// Period between two answers of the store without an absence in which leases can lapse. Monotonic time, in ms.
struct SteadyPeriod {
    AK::Milliseconds from = 0;
    AK::Milliseconds to = 0;

    bool operator==(const SteadyPeriod &) const = default;
};

/// Whether no lease can have lapsed in an absence that one process has seen, because the store answered others: they had answers from before the absence on, or
/// for so long that upstreams have registered again, and up to its end, give or take the time that a lease takes to lapse.
bool showsNoLapse(const SteadyPeriod &period, const StoreAbsence &absence, AK::Milliseconds leaseRenewal);

/// The longest known period that lasts until now in which the store answered this process or others. Load pattern: a process that was cut off takes its own
/// absence for one of the store, and keeps upstreams that are removed.
class StoreEvidence
{
public:
    /// The store has answered this process. `mayHaveLapsed`: leases may have lapsed since the last answer.
    void storeAnswered(AK::Milliseconds now, bool mayHaveLapsed, AK::Milliseconds leaseRenewal);

    /// Takes over a period that another process has reported.
    void adopt(const SteadyPeriod &told, AK::Milliseconds now, AK::Milliseconds leaseRenewal);

    /// The store has come back from an older copy: nothing that was known of the time before counts.
    void storeRestored(AK::Milliseconds now);

    std::optional<SteadyPeriod> period() const;

    /// Whether upstreams whose leases may have lapsed in any absence have registered again by now.
    bool graceIsOver(AK::Milliseconds now, AK::Milliseconds leaseRenewal) const;

private:
    std::optional<SteadyPeriod> steady;
    AK::Milliseconds restoredAt = 0;
};

} // namespace LibFleet
