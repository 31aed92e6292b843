#include <Fleet/ObjectFeeds.h>

#include <algorithm>
#include <optional>
#include <set>

namespace Fleet
{

using LibFleet::ObjectKind;

void ObjectFeeds::logKeptObjects(ObjectKind kind) const
{
    const Feed &feed = this->feed(kind);
    std::set<std::string> kept;
    std::set<std::string> unused;
    for (const auto &[name, spec] : feed.inForce) {
        if (!this->isStored(kind, name)) {
            kept.insert(name);
        }
    }
    for (const auto &[name, spec] : feed.snapshot.specs) {
        if (!feed.inForce.contains(name)) {
            unused.insert(name);
        }
    }
    if (!kept.empty() || !unused.empty()) {
        this->logger.info("kept_against_store", {{"kind", AK::nameOf(LibFleet::objectKindNames, kind)}, {"kept", kept}, {"unused", unused}});
    }
}

void ObjectFeeds::publishFromStore(ObjectKind kind, AK::Milliseconds unnoticed)
{
    Feed &feed = this->feed(kind);
    const AK::Milliseconds now = this->loop.clock().now();
    std::map<std::string, std::string> inForce = feed.restored.merge(feed.snapshot, now);
    if (kind == ObjectKind::Upstreams && !this->leaseGraceIsOver()) {
        AK::Milliseconds expiresAt = 0;
        inForce = this->expiredLeases.merge(feed.inForce, inForce, now, expiresAt);
    }
    this->publish(kind, std::move(inForce), unnoticed);
}

void ObjectFeeds::publish(ObjectKind kind, std::map<std::string, std::string> inForce, AK::Milliseconds unnoticed)
{
    Feed &feed = this->feed(kind);
    feed.removed.record(feed.inForce, inForce, this->loop.clock().now());
    feed.inForce = std::move(inForce);
    feed.agentParts.clear();
    for (const auto &[name, spec] : feed.inForce) {
        feed.agentParts[name] = this->decoder.agentPart(kind, spec);
    }
    this->decoder.decode(kind, feed.inForce, unnoticed, this->state);
    if (kind == ObjectKind::Configuration) {
        // Decoding upstreams depends on the configuration.
        this->decoder.decode(ObjectKind::Upstreams, this->feed(ObjectKind::Upstreams).inForce, unnoticed, this->state);
    }
    if (this->changeObserver) {
        this->changeObserver();
    }
}

void ObjectFeeds::noteExchange()
{
    for (Feed &feed : this->feeds) {
        feed.currentAt = this->loop.clock().uninterruptedTime();
    }
}

bool ObjectFeeds::watchesStore(ObjectKind kind) const
{
    return this->started && this->watchActive && this->feed(kind).storeReached && this->position(kind) > 0;
}

bool ObjectFeeds::awaitsFirstList(ObjectKind kind) const
{
    return this->started && this->feed(kind).storeReached && this->position(kind) == 0;
}

LibFleet::StorePosition ObjectFeeds::position(ObjectKind kind) const
{
    return this->feed(kind).snapshot.position;
}

LibFleet::StorePosition ObjectFeeds::changedAt(ObjectKind kind) const
{
    return this->feed(kind).snapshot.changedAt;
}

bool ObjectFeeds::isStored(ObjectKind kind, const std::string &name) const
{
    const Feed &feed = this->feed(kind);
    const auto used = feed.inForce.find(name);
    const auto stored = feed.snapshot.specs.find(name);
    return used != feed.inForce.end() && stored != feed.snapshot.specs.end() && used->second == stored->second;
}

std::optional<LibFleet::SteadyPeriod> ObjectFeeds::steadyPeriod() const
{
    const std::optional<LibFleet::SteadyPeriod> period = this->evidence.period();
    return period && this->loop.clock().now() - period->to <= LibFleet::steadyPeriodMaxAge ? period : std::nullopt;
}

bool ObjectFeeds::lapseIsRefuted() const
{
    const std::optional<LibFleet::SteadyPeriod> period = this->evidence.period();
    return period && this->expiredLeases.lapse() && LibFleet::showsNoLapse(*period, *this->expiredLeases.lapse(), this->times.leaseRenewal);
}

bool ObjectFeeds::leaseGraceIsOver() const
{
    return this->evidence.graceIsOver(this->loop.clock().now(), this->times.leaseRenewal);
}

void ObjectFeeds::noteSteadyStore(const LibFleet::SteadyPeriod &told, std::string_view from)
{
    const AK::Milliseconds now = this->loop.clock().now();
    this->evidence.adopt(told, now, this->times.leaseRenewal);
    const AK::Milliseconds graceLeft = this->expiredLeases.graceLeft(now);
    const bool endsOwn = !this->expiredLeases.awaitsAnswer() && graceLeft > 0 && this->lapseIsRefuted();
    if (endsOwn) {
        this->expiredLeases.endGrace();
    }
    const bool endsAdopted = (endsOwn || this->leaseGraceIsOver()) && this->feed(ObjectKind::Upstreams).restored.dropAdopted(now);
    if (endsOwn || endsAdopted) {
        this->logger.info("grace_ended_early",
                          {{"left_ms", graceLeft}, {"own", endsOwn}, {"marks", endsAdopted}, {"steady_ms", told.to - told.from}, {"peer", from}});
        this->publishFromStore(ObjectKind::Upstreams);
    }
}

AK::Milliseconds ObjectFeeds::keptLeft(ObjectKind kind, const std::string &name) const
{
    const AK::Milliseconds now = this->loop.clock().now();
    const AK::Milliseconds leaseGrace = kind == ObjectKind::Upstreams && !this->leaseGraceIsOver() ? this->expiredLeases.graceLeft(now) : 0;
    // 0 would mean that it is unknown.
    return std::max<AK::Milliseconds>({1, leaseGrace, this->feed(kind).restored.keptLeft(name, now)});
}

LibFleet::ObjectPage ObjectFeeds::withoutRefutedMarks(ObjectKind kind, const LibFleet::ObjectPage &page, std::string_view from) const
{
    const Feed &feed = this->feed(kind);
    const AK::Milliseconds now = this->loop.clock().now();
    // Another process may know of a state that this one missed while its store was away.
    const bool steady = kind == ObjectKind::Upstreams && this->leaseGraceIsOver() && !feed.restored.withinGrace(now);
    const bool mayHaveMissedIt = !steady && (feed.restored.withinGrace(now) || (kind == ObjectKind::Upstreams && this->expiredLeases.graceLeft(now) > 0));
    LibFleet::ObjectPage accepted{page.position, {}};
    std::set<std::string> refuted;
    for (const LibFleet::StoredObject &object : page.objects) {
        if (object.lapsed && (steady || (!mayHaveMissedIt && feed.removed.contains(object.name, object.spec)))) {
            refuted.insert(object.name);
        } else {
            accepted.objects.push_back(object);
        }
    }
    if (!refuted.empty()) {
        this->logger.info("marks_refuted", {{"kind", AK::nameOf(LibFleet::objectKindNames, kind)}, {"removed", refuted}, {"peer", from}});
    }
    return accepted;
}

LibFleet::ObjectPage ObjectFeeds::objects(ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart) const
{
    const Feed &feed = this->feed(kind);
    if (feed.snapshot.changedAt <= newerThan) {
        return {};
    }
    LibFleet::ObjectPage page{feed.snapshot.changedAt, {}};
    const auto revisionOf = [&feed](const std::string &name) {
        return feed.snapshot.revisions.at(name);
    };
    for (const auto &[name, spec] : agentPart ? feed.agentParts : feed.inForce) {
        const bool stored = this->isStored(kind, name);
        page.objects.push_back({name, spec, false, !stored, stored ? revisionOf(name) : 0, false, stored ? 0 : this->keptLeft(kind, name)});
    }
    for (const auto &[name, spec] : feed.snapshot.specs) {
        if (!this->isStored(kind, name)) {
            const AK::Milliseconds left = std::max<AK::Milliseconds>(1, feed.restored.unusedLeft(name, this->loop.clock().now()));
            page.objects.push_back({name, agentPart ? this->decoder.agentPart(kind, spec) : spec, false, false, revisionOf(name), true, left});
        }
    }
    return page;
}

} // namespace Fleet
