#include <LibFleet/StoreEvidence.h>

#include <algorithm>

namespace LibFleet
{

bool showsNoLapse(const SteadyPeriod &period, const StoreAbsence &absence, AK::Milliseconds leaseRenewal)
{
    const bool beganBefore = period.from <= absence.begin || period.from <= absence.end - expiredLeaseGrace;
    // The absence may consist of two that are close together. What others saw until the second one began says no more than what this process saw.
    const bool reachesIntoIt = period.to >= absence.lastAnswer + leaseRenewal;
    return beganBefore && reachesIntoIt && period.to > absence.end - shortestLapse(leaseRenewal);
}

void StoreEvidence::storeAnswered(AK::Milliseconds now, bool mayHaveLapsed, AK::Milliseconds leaseRenewal)
{
    if (!this->steady || mayHaveLapsed || now - this->steady->to >= shortestLapse(leaseRenewal)) {
        this->steady = {now, now};
    }
    this->steady->to = std::max(this->steady->to, now);
}

void StoreEvidence::adopt(const SteadyPeriod &told, AK::Milliseconds now, AK::Milliseconds leaseRenewal)
{
    const SteadyPeriod usable{std::max(told.from, this->restoredAt), std::min(told.to, now)};
    if (usable.from > usable.to || now - usable.to > steadyPeriodMaxAge) {
        return;
    }
    // Periods with a longer gap may be those before and after an absence.
    const bool adjacent = this->steady && usable.from - this->steady->to < leaseRenewal && this->steady->from - usable.to < leaseRenewal;
    if (adjacent) {
        this->steady = {std::min(this->steady->from, usable.from), std::max(this->steady->to, usable.to)};
    } else if (!this->steady || usable.to > this->steady->to) {
        this->steady = usable;
    }
}

void StoreEvidence::storeRestored(AK::Milliseconds now)
{
    this->steady.reset();
    this->restoredAt = now;
}

std::optional<SteadyPeriod> StoreEvidence::period() const
{
    return this->steady;
}

bool StoreEvidence::graceIsOver(AK::Milliseconds now, AK::Milliseconds leaseRenewal) const
{
    return this->steady && this->steady->from <= now - expiredLeaseGrace && this->steady->to > now - shortestLapse(leaseRenewal);
}

} // namespace LibFleet
