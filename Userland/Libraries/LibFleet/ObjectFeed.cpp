#include <LibFleet/ObjectFeed.h>

namespace LibFleet
{

bool ObjectSnapshot::replace(const ObjectPage &page)
{
    if (page.revision <= this->revision) {
        return false;
    }
    this->revision = page.revision;
    std::map<std::string, std::string> replacement;
    for (const StoredObject &object : page.objects) {
        if (!object.deleted && !object.lapsed) {
            replacement[object.name] = object.spec;
        }
    }
    if (this->changedAt == 0 || replacement != this->specs) {
        this->changedAt = page.revision;
    }
    this->specs = std::move(replacement);
    return true;
}

bool ObjectSnapshot::apply(const ObjectPage &changes, int64_t since)
{
    if (this->revision != since) {
        return false;
    }
    this->revision = std::max(this->revision, changes.revision);
    this->changedAt = changes.objects.empty() ? this->changedAt : this->revision;
    for (const StoredObject &object : changes.objects) {
        if (object.deleted) {
            this->specs.erase(object.name);
        } else {
            this->specs[object.name] = object.spec;
        }
    }
    return true;
}

void ExpiredLeases::storeLost(AK::Milliseconds)
{
    this->storeDown = true;
}

void ExpiredLeases::storeRecovered(AK::Milliseconds now)
{
    if (this->storeDown) {
        this->storeDown = false;
        this->recoveredAt = now;
    }
}

std::map<std::string, std::string> ExpiredLeases::merge(const std::map<std::string, std::string> &previous, const std::map<std::string, std::string> &current,
                                                        AK::Milliseconds now, AK::Milliseconds &expiresAt) const
{
    std::map<std::string, std::string> merged = current;
    expiresAt = 0;
    const bool withinGrace = this->storeDown || now < this->recoveredAt + expiredLeaseGrace;
    if (!withinGrace) {
        return merged;
    }
    for (const auto &[name, spec] : previous) {
        if (merged.emplace(name, spec).second) {
            expiresAt = this->storeDown ? 0 : this->recoveredAt + expiredLeaseGrace;
        }
    }
    return merged;
}

} // namespace LibFleet
