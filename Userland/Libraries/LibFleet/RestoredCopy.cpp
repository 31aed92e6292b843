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

AK::Milliseconds graceOf(const StoredObject &object, AK::Milliseconds grace)
{
    return object.graceLeft > 0 ? std::min(grace, object.graceLeft) : grace;
}

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

bool RestoredCopy::addMark(Marks &marks, const std::string &name, const std::string &spec, AK::Milliseconds now)
{
    const uint64_t hash = AK::stableHash(spec);
    const auto [mark, added] = marks.try_emplace(name, Mark{hash, now});
    const bool isNew = added || mark->second.specHash != hash;
    if (isNew) {
        mark->second = {hash, now};
    }
    return isNew;
}

void RestoredCopy::storeRestored(std::map<std::string, std::string> inForce, StorePosition position, AK::Milliseconds now, AK::Milliseconds grace)
{
    this->known.clear();
    while (!inForce.empty()) {
        auto object = inForce.extract(inForce.begin());
        addMark(this->lapsedMarks, object.key(), object.mapped(), now);
        this->known[object.key()] = {std::move(object.mapped()), now + grace};
    }
    this->copy = position;
    this->endsAt = now + grace;
}

void RestoredCopy::adopt(const ObjectPage &page, AK::Milliseconds now, AK::Milliseconds grace)
{
    for (const StoredObject &object : page.objects) {
        if (object.lapsed && addMark(this->lapsedMarks, object.name, object.spec, now)) {
            this->known[object.name] = {object.spec, now + graceOf(object, grace)};
            this->copy = std::max(this->copy, page.position);
        }
        if (object.outOfDate && addMark(this->outOfDateMarks, object.name, object.spec, now)) {
            this->replaced[object.name].push_back({object.revision, AK::stableHash(object.spec), now});
            this->unusedUntil[object.name] = now + graceOf(object, grace);
            this->copy = std::max(this->copy, page.position);
        }
    }
}

bool RestoredCopy::dropAdopted(AK::Milliseconds now)
{
    if (this->withinGrace(now) || this->known.empty()) {
        return false;
    }
    this->known.clear();
    return true;
}

void RestoredCopy::forget(const std::string &name)
{
    this->known.erase(name);
}

std::map<std::string, std::string> RestoredCopy::merge(const ObjectSnapshot &snapshot, AK::Milliseconds now)
{
    std::erase_if(this->known, [&](const auto &item) { return now >= item.second.endsAt; });
    std::map<std::string, std::string> merged;
    for (const auto &[name, spec] : snapshot.specs) {
        if (!this->isOutOfUse(name, snapshot.revisions.at(name), spec, now)) {
            merged[name] = spec;
            this->known.erase(name);
            // When the object vanishes once more, that is news again.
            this->lapsedMarks.erase(name);
        }
    }
    for (const auto &[name, object] : this->known) {
        merged.emplace(name, object.spec);
    }
    return merged;
}

bool RestoredCopy::withinGrace(AK::Milliseconds now) const
{
    return now < this->endsAt;
}

AK::Milliseconds RestoredCopy::keptLeft(const std::string &name, AK::Milliseconds now) const
{
    const auto object = this->known.find(name);
    return object == this->known.end() ? 0 : std::max<AK::Milliseconds>(0, object->second.endsAt - now);
}

AK::Milliseconds RestoredCopy::unusedLeft(const std::string &name, AK::Milliseconds now) const
{
    const auto until = this->unusedUntil.find(name);
    const AK::Milliseconds end = until == this->unusedUntil.end() ? this->endsAt : std::max(this->endsAt, until->second);
    return std::max<AK::Milliseconds>(0, end - now);
}

bool RestoredCopy::isOutOfUse(const std::string &name, int64_t revision, const std::string &spec, AK::Milliseconds now) const
{
    return this->unusedLeft(name, now) > 0 && revision <= this->copy.revision && this->isReplaced(name, revision, spec);
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
    std::erase_if(this->unusedUntil, [&](const auto &item) { return now >= item.second; });
    for (Marks *marks : {&this->lapsedMarks, &this->outOfDateMarks}) {
        std::erase_if(*marks, [&](const auto &item) { return now - item.second.since > replacedStateAge; });
    }
}

} // namespace LibFleet
