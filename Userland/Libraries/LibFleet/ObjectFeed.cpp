#include <LibFleet/ObjectFeed.h>

#include <algorithm>

namespace LibFleet
{

bool ObjectSnapshot::replace(const ObjectPage &page)
{
    if (page.position <= this->position) {
        return false;
    }
    std::map<std::string, std::string> replacement;
    this->revisions.clear();
    for (const StoredObject &object : page.objects) {
        if (!object.deleted && !object.lapsed) {
            replacement[object.name] = object.spec;
            this->revisions[object.name] = object.revision;
        }
    }
    // Processes that know a later position of an older era take the same objects from this one.
    if (this->changedAt == 0 || page.position.era != this->position.era || replacement != this->specs) {
        this->changedAt = page.position;
    }
    this->position = page.position;
    this->specs = std::move(replacement);
    return true;
}

bool ObjectSnapshot::apply(const ObjectPage &changes, StorePosition since)
{
    if (this->position != since || changes.position.era != since.era) {
        return false;
    }
    this->position = std::max(this->position, changes.position);
    this->changedAt = changes.objects.empty() ? this->changedAt : this->position;
    for (const StoredObject &object : changes.objects) {
        if (object.deleted) {
            this->specs.erase(object.name);
            this->revisions.erase(object.name);
        } else {
            this->specs[object.name] = object.spec;
            this->revisions[object.name] = object.revision;
        }
    }
    return true;
}

ExpiredLeases::ExpiredLeases(AK::Milliseconds leaseRenewal)
    : leaseRenewal(leaseRenewal)
{
}

void ExpiredLeases::setLeaseRenewal(AK::Milliseconds interval)
{
    this->leaseRenewal = interval;
}

void ExpiredLeases::callFailed()
{
    this->awaitingAnswer = true;
}

bool ExpiredLeases::storeAnswered(AK::Milliseconds now)
{
    const bool away = this->awaitingAnswer && this->mayHaveLapsed(now);
    if (away) {
        this->recoveredAt = now;
        // Before the first answer, nothing is known of the begin.
        this->possibleLapse = this->lastAnswer ? this->absence : StoreAbsence{0, 0, now};
    }
    this->awaitingAnswer = false;
    this->lastAnswer = now;
    return away;
}

bool ExpiredLeases::mayHaveLapsed(AK::Milliseconds now)
{
    if (!this->lastAnswer) {
        return true;
    }
    if (now - *this->lastAnswer < this->leaseRenewal) {
        return false;
    }
    // Between two absences closer than the interval of the renewals, an upstream may have missed its renewal.
    if (*this->lastAnswer - this->absence.end >= this->leaseRenewal) {
        this->absence.begin = *this->lastAnswer;
    }
    this->absence.lastAnswer = *this->lastAnswer;
    this->absence.end = now;
    return now - this->absence.begin >= shortestLapse(this->leaseRenewal);
}

bool ExpiredLeases::awaitsAnswer() const
{
    return this->awaitingAnswer;
}

const std::optional<StoreAbsence> &ExpiredLeases::lapse() const
{
    return this->possibleLapse;
}

void ExpiredLeases::endGrace()
{
    this->recoveredAt = -expiredLeaseGrace;
    this->possibleLapse.reset();
}

AK::Milliseconds ExpiredLeases::graceLeft(AK::Milliseconds now) const
{
    return this->awaitingAnswer ? expiredLeaseGrace : std::max<AK::Milliseconds>(0, this->recoveredAt + expiredLeaseGrace - now);
}

std::map<std::string, std::string> ExpiredLeases::merge(const std::map<std::string, std::string> &previous, const std::map<std::string, std::string> &current,
                                                        AK::Milliseconds now, AK::Milliseconds &expiresAt) const
{
    std::map<std::string, std::string> merged = current;
    expiresAt = 0;
    const bool withinGrace = this->awaitingAnswer || now < this->recoveredAt + expiredLeaseGrace;
    if (!withinGrace) {
        return merged;
    }
    for (const auto &[name, spec] : previous) {
        if (merged.emplace(name, spec).second) {
            expiresAt = this->awaitingAnswer ? 0 : this->recoveredAt + expiredLeaseGrace;
        }
    }
    return merged;
}

} // namespace LibFleet
