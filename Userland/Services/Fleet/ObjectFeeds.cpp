#include <Fleet/ObjectFeeds.h>

#include <AK/StatusMacros.h>
#include <algorithm>

namespace Fleet
{

using LibFleet::ObjectKind;

namespace
{

// Pause after a failed call to the store; doubles up to the limit. Short, because a change must be in force within 2 s of the store's recovery.
constexpr AK::Milliseconds firstRetryPause = 100;
constexpr AK::Milliseconds retryPauseLimit = 800;

// Pause before the next watch of upstreams or entries. They change in bursts when a service is scaled up or replaced and when the deployment starts, and a
// watch that starts later returns several changes at once. The removal of an upstream must take effect within 2 s.
constexpr AK::Milliseconds burstWatchPause = 300;
// A process that does not watch the store looks at this interval whether it has to.
constexpr AK::Milliseconds standbyInterval = 50;

std::string_view nameOf(ObjectKind kind)
{
    return AK::nameOf(LibFleet::objectKindNames, kind);
}

} // namespace

ObjectFeeds::ObjectFeeds(LibFiber::Loop &loop, ObjectSource &source, ObjectDecoder &decoder, LibFleet::FleetState &state)
    : loop(loop)
    , source(source)
    , decoder(decoder)
    , state(state)
{
}

ObjectFeeds::Feed &ObjectFeeds::feed(ObjectKind kind)
{
    return this->feeds[static_cast<size_t>(kind)];
}

const ObjectFeeds::Feed &ObjectFeeds::feed(ObjectKind kind) const
{
    return this->feeds[static_cast<size_t>(kind)];
}

void ObjectFeeds::watchStore()
{
    this->started = true;
    for (const auto &row : LibFleet::objectKindNames) {
        this->loop.spawn([this, kind = row.value](kj::WaitScope &scope) { this->followStore(scope, kind); });
    }
}

void ObjectFeeds::setWatching(bool active)
{
    if (this->watchActive != active) {
        this->logger.info("store_watch", {{"active", active}});
        this->watchActive = active;
    }
}

bool ObjectFeeds::storeLost() const
{
    return std::any_of(this->feeds.begin(), this->feeds.end(), [](const Feed &feed) { return !feed.storeReached; });
}

void ObjectFeeds::onChange(std::function<void()> observer)
{
    this->changeObserver = std::move(observer);
}

void ObjectFeeds::refreshFromStore(kj::WaitScope &scope)
{
    for (const auto &row : LibFleet::objectKindNames) {
        const absl::StatusOr<LibFleet::ObjectPage> page = this->source.list(scope, row.value);
        this->noteStoreStatus(row.value, page.status());
        if (page.ok() && this->feed(row.value).snapshot.replace(*page)) {
            this->publishFromStore(row.value);
        }
    }
}

void ObjectFeeds::followStore(kj::WaitScope &scope, ObjectKind kind)
{
    AK::Milliseconds pause = firstRetryPause;
    while (true) {
        if (!this->watchActive && this->feed(kind).storeReached && this->revision(kind) > 0) {
            this->loop.sleep(scope, standbyInterval);
            continue;
        }
        const absl::Status status = this->readOnce(scope, kind);
        this->noteStoreStatus(kind, status);
        if (status.ok()) {
            pause = firstRetryPause;
            continue;
        }
        this->loop.sleep(scope, pause);
        pause = std::min(retryPauseLimit, pause * 2);
    }
}

absl::Status ObjectFeeds::readOnce(kj::WaitScope &scope, ObjectKind kind)
{
    Feed &feed = this->feed(kind);
    const int64_t since = feed.snapshot.revision;
    // After an error the objects are listed: a watch would show only with the next change that the store has recovered, and an upstream that this change
    // removes would be taken for one whose lease expired in the outage.
    if (since > 0 && feed.storeReached) {
        const absl::StatusOr<LibFleet::ObjectPage> changes = this->source.watch(scope, kind, since);
        if (changes.ok()) {
            if (feed.snapshot.apply(*changes, since) && !changes->objects.empty()) {
                this->publishFromStore(kind);
            }
            if ((kind == ObjectKind::Upstreams || kind == ObjectKind::Entries) && !changes->objects.empty()) {
                this->loop.sleep(scope, burstWatchPause);
            }
            return absl::OkStatus();
        }
        if (!absl::IsOutOfRange(changes.status())) {
            return changes.status();
        }
        this->logger.info("history_gone", {{"kind", nameOf(kind)}, {"since", since}});
    }
    CATKINLINK_ASSIGN(const LibFleet::ObjectPage page, this->source.list(scope, kind));
    if (feed.snapshot.replace(page)) {
        this->publishFromStore(kind);
    }
    return absl::OkStatus();
}

void ObjectFeeds::noteStoreStatus(ObjectKind kind, const absl::Status &status)
{
    Feed &feed = this->feed(kind);
    if (status.ok() == feed.storeReached) {
        return;
    }
    feed.storeReached = status.ok();
    if (status.ok()) {
        this->logger.info("store_regained", {{"kind", nameOf(kind)}, {"revision", feed.snapshot.revision}});
    } else {
        this->logger.warning("store_lost", {{"kind", nameOf(kind)}, {"revision", feed.snapshot.revision}, {"reason", std::string(status.message())}});
    }
    if (kind != ObjectKind::Upstreams) {
        return;
    }
    if (!status.ok()) {
        this->expiredLeases.storeLost(this->loop.clock().now());
        return;
    }
    this->expiredLeases.storeRecovered(this->loop.clock().now());
    this->endGraceLater();
}

void ObjectFeeds::endGraceLater()
{
    const AK::Milliseconds graceEnd = this->loop.clock().now() + LibFleet::expiredLeaseGrace;
    this->loop.spawn([this, graceEnd](kj::WaitScope &scope) {
        // The loop's timers count from its last turn, which may be some ms ago, so a sleep can end too early.
        while (this->loop.clock().now() < graceEnd) {
            this->loop.sleep(scope, graceEnd - this->loop.clock().now());
        }
        this->publishFromStore(ObjectKind::Upstreams);
    });
}

void ObjectFeeds::publishFromStore(ObjectKind kind)
{
    const Feed &feed = this->feed(kind);
    if (kind != ObjectKind::Upstreams) {
        this->publish(kind, feed.snapshot.specs);
        return;
    }
    AK::Milliseconds expiresAt = 0;
    this->publish(kind, this->expiredLeases.merge(feed.inForce, feed.snapshot.specs, this->loop.clock().now(), expiresAt));
}

void ObjectFeeds::publish(ObjectKind kind, std::map<std::string, std::string> inForce)
{
    Feed &feed = this->feed(kind);
    feed.inForce = std::move(inForce);
    feed.agentParts.clear();
    for (const auto &[name, spec] : feed.inForce) {
        feed.agentParts[name] = this->decoder.agentPart(kind, spec);
    }
    this->decoder.decode(kind, feed.inForce, this->state);
    if (kind == ObjectKind::Configuration) {
        // Decoding upstreams depends on the configuration.
        this->decoder.decode(ObjectKind::Upstreams, this->feed(ObjectKind::Upstreams).inForce, this->state);
    }
    if (this->changeObserver) {
        this->changeObserver();
    }
}

bool ObjectFeeds::watchesStore(ObjectKind kind) const
{
    return this->started && this->watchActive && this->feed(kind).storeReached && this->revision(kind) > 0;
}

bool ObjectFeeds::awaitsFirstList(ObjectKind kind) const
{
    return this->started && this->feed(kind).storeReached && this->revision(kind) == 0;
}

int64_t ObjectFeeds::revision(ObjectKind kind) const
{
    return this->feed(kind).snapshot.revision;
}

int64_t ObjectFeeds::changedAt(ObjectKind kind) const
{
    return this->feed(kind).snapshot.changedAt;
}

LibFleet::ObjectPage ObjectFeeds::objects(ObjectKind kind, int64_t newerThan, bool agentPart) const
{
    const Feed &feed = this->feed(kind);
    if (feed.snapshot.changedAt <= newerThan) {
        return {};
    }
    LibFleet::ObjectPage page{feed.snapshot.changedAt, {}};
    for (const auto &[name, spec] : agentPart ? feed.agentParts : feed.inForce) {
        page.objects.push_back({name, spec, false, !feed.snapshot.specs.contains(name)});
    }
    return page;
}

void ObjectFeeds::accept(ObjectKind kind, const LibFleet::ObjectPage &page, std::string_view from)
{
    Feed &feed = this->feed(kind);
    if (!feed.snapshot.replace(page)) {
        return;
    }
    this->logger.info("objects_from_peer", {{"kind", nameOf(kind)}, {"revision", page.revision}, {"peer", from}});
    std::map<std::string, std::string> inForce = feed.snapshot.specs;
    bool anyLapsed = false;
    for (const LibFleet::StoredObject &object : page.objects) {
        if (object.lapsed) {
            inForce.emplace(object.name, object.spec);
            anyLapsed = true;
        }
    }
    this->publish(kind, std::move(inForce));
    if (anyLapsed) {
        this->endGraceLater();
    }
}

} // namespace Fleet
