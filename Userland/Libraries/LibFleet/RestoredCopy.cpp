#include <LibFleet/RestoredCopy.h>

#include <AK/Hash.h>
#include <algorithm>
#include <set>

namespace LibFleet
{

namespace
{

// A copy is some seconds old.
constexpr AK::Milliseconds replacedStateAge = 60'000;
constexpr AK::Milliseconds forgetInterval = 5'000;

} // namespace

void RestoredCopy::recordReplaced(const std::string &name, const ObjectSnapshot &snapshot, AK::Milliseconds now)
{
    const auto spec = snapshot.specs.find(name);
    const auto revision = snapshot.revisions.find(name);
    if (spec != snapshot.specs.end() && revision != snapshot.revisions.end()) {
        this->replaced[name].push_back({revision->second, AK::stableHash(spec->second), now});
    }
}

void RestoredCopy::recordReplaced(const ObjectSnapshot &snapshot, const ObjectPage &page, bool complete, AK::Milliseconds now)
{
    this->forgetOldStates(now);
    std::set<std::string> listed;
    for (const StoredObject &object : page.objects) {
        if (object.lapsed) {
            continue;
        }
        listed.insert(object.name);
        const auto spec = snapshot.specs.find(object.name);
        const bool same =
            !object.deleted && spec != snapshot.specs.end() && spec->second == object.spec && snapshot.revisions.at(object.name) == object.revision;
        if (!same) {
            this->recordReplaced(object.name, snapshot, now);
        }
    }
    if (!complete) {
        return;
    }
    for (const auto &[name, spec] : snapshot.specs) {
        if (!listed.contains(name)) {
            this->recordReplaced(name, snapshot, now);
        }
    }
}

void RestoredCopy::storeRestored(std::map<std::string, std::string> known, StorePosition copy, AK::Milliseconds now, AK::Milliseconds grace)
{
    this->known = std::move(known);
    this->copy = copy;
    this->endsAt = now + grace;
}

void RestoredCopy::adopt(const ObjectPage &page, AK::Milliseconds now, AK::Milliseconds grace)
{
    for (const StoredObject &object : page.objects) {
        if (object.lapsed) {
            this->known.emplace(object.name, object.spec);
        }
        if (object.outOfDate) {
            this->replaced[object.name].push_back({object.revision, AK::stableHash(object.spec), now});
        }
        if (object.lapsed || object.outOfDate) {
            this->copy = std::max(this->copy, page.position);
            this->endsAt = std::max(this->endsAt, now + grace);
        }
    }
}

void RestoredCopy::forget(const std::string &name)
{
    this->known.erase(name);
}

std::map<std::string, std::string> RestoredCopy::merge(const ObjectSnapshot &snapshot, AK::Milliseconds now)
{
    if (now >= this->endsAt) {
        this->known.clear();
        return snapshot.specs;
    }
    std::map<std::string, std::string> merged;
    for (const auto &[name, spec] : snapshot.specs) {
        const int64_t revision = snapshot.revisions.at(name);
        const bool outOfDate = revision <= this->copy.revision && this->isReplaced(name, revision, spec);
        if (!outOfDate) {
            merged[name] = spec;
            this->known.erase(name);
        }
    }
    merged.insert(this->known.begin(), this->known.end());
    return merged;
}

AK::Milliseconds RestoredCopy::graceEnd() const
{
    return this->endsAt;
}

bool RestoredCopy::isReplaced(const std::string &name, int64_t revision, const std::string &spec) const
{
    const auto states = this->replaced.find(name);
    return states != this->replaced.end()
        && std::any_of(states->second.begin(), states->second.end(),
                       [&, hash = AK::stableHash(spec)](const ReplacedState &state) { return state.revision == revision && state.specHash == hash; });
}

void RestoredCopy::forgetOldStates(AK::Milliseconds now)
{
    if (now - this->forgottenAt < forgetInterval) {
        return;
    }
    this->forgottenAt = now;
    for (auto &[name, states] : this->replaced) {
        std::erase_if(states, [&](const ReplacedState &state) { return now - state.replacedAt > replacedStateAge; });
    }
    std::erase_if(this->replaced, [](const auto &item) { return item.second.empty(); });
}

} // namespace LibFleet
