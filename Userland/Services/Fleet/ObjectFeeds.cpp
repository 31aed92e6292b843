#include <Fleet/ObjectFeeds.h>

#include <AK/StatusMacros.h>
#include <algorithm>
#include <set>
#include <utility>

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
// A process that waits for an answer of the store, to learn whether the store was away, looks at this interval.
constexpr AK::Milliseconds awaitedAnswerInterval = 50;
// A watch that is cut sooner after its begin is followed by a pause, so that a store which cuts every watch is not called without end.
constexpr AK::Milliseconds shortWatch = 300;

// Between two beats of the watch for standstills.
constexpr AK::Milliseconds beatInterval = 200;

// A watch that is answered sooner may return a change that was made before it began.
constexpr AK::Milliseconds promptAnswer = 300;
// What arrives within this time has arrived at once.
constexpr AK::Milliseconds usualDelay = 200;

// Time for the watches of the other kinds to fail, which then list by themselves, before a kind is listed beside its watch.
constexpr AK::Milliseconds newEraListDelay = 100;

AK::Milliseconds graceFor(ObjectKind kind)
{
    return kind == ObjectKind::Upstreams ? LibFleet::expiredLeaseGrace : LibFleet::restoredCopyGrace;
}

std::string_view nameOf(ObjectKind kind)
{
    return AK::nameOf(LibFleet::objectKindNames, kind);
}

} // namespace

ObjectFeeds::ObjectFeeds(LibFiber::Loop &loop, ObjectSource &source, ObjectDecoder &decoder, LibFleet::FleetState &state, const LibFleet::StoreTimes &times)
    : loop(loop)
    , source(source)
    , decoder(decoder)
    , state(state)
    , times(times)
    , expiredLeases(times.leaseRenewal)
    , standstill(loop.clock())
{
    this->source.observeEra([this](int64_t era) { this->noteEra(era); });
}

void ObjectFeeds::setTimes(const LibFleet::StoreTimes &changed)
{
    this->times = changed;
    this->expiredLeases.setLeaseRenewal(changed.leaseRenewal);
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
    this->loop.spawn([this](kj::WaitScope &scope) {
        while (true) {
            this->standstill.beat();
            this->loop.sleep(scope, beatInterval);
        }
    });
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
        this->noteStoreStatus(row.value, this->listOnce(scope, row.value));
    }
}

void ObjectFeeds::followStore(kj::WaitScope &scope, ObjectKind kind)
{
    AK::Milliseconds pause = firstRetryPause;
    while (true) {
        if (!this->watchActive && this->feed(kind).storeReached && this->position(kind) > 0) {
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
    const Feed &feed = this->feed(kind);
    // After an error the objects are listed: a watch would show only with the next change that the store has recovered, and an upstream that this change
    // removes would be taken for one whose lease expired in the outage.
    if (feed.snapshot.position > 0 && feed.snapshot.position.era >= this->newestEra && feed.storeReached) {
        return this->watchOnce(scope, kind);
    }
    return this->listOnce(scope, kind);
}

absl::Status ObjectFeeds::watchOnce(kj::WaitScope &scope, ObjectKind kind)
{
    Feed &feed = this->feed(kind);
    const LibFleet::StorePosition since = feed.snapshot.position;
    const AK::Milliseconds askedAt = this->loop.clock().uninterruptedTime();
    const absl::StatusOr<LibFleet::ObjectPage> changes = this->source.watch(scope, kind, since.revision, LibFleet::watchWait(kind, this->times));
    if (absl::IsOutOfRange(changes.status())) {
        this->logger.info("history_gone", {{"kind", nameOf(kind)}, {"era", since.era}, {"since", since.revision}});
        CATKINLINK_TRY(this->listOnce(scope, kind));
        if (feed.snapshot.position <= since) {
            // The next watch would fail at once too.
            this->loop.sleep(scope, firstRetryPause);
        }
        return absl::OkStatus();
    }
    if (!changes.ok()) {
        return this->listAfterCut(scope, kind, changes.status(), askedAt);
    }
    const AK::Milliseconds unnoticed = this->noteWatchAnswer(feed, askedAt);
    this->noteAnswer();
    this->noteEra(changes->position.era);
    if (changes->position.era != since.era) {
        // The revision that was asked for is of another history. The kind is listed, unless that has been done while the watch waited.
        return changes->position.era < this->newestEra ? absl::UnavailableError("store: response of an older era") : absl::OkStatus();
    }
    if (feed.snapshot.position == since) {
        feed.restored.recordReplaced(feed.snapshot, *changes, false, this->loop.clock().now());
        for (const LibFleet::StoredObject &object : changes->objects) {
            if (object.deleted) {
                feed.restored.forget(object.name);
            }
        }
    }
    if (feed.snapshot.apply(*changes, since) && !changes->objects.empty()) {
        this->publishFromStore(kind, unnoticed);
    }
    if ((kind == ObjectKind::Upstreams || kind == ObjectKind::Entries) && !changes->objects.empty()) {
        this->loop.sleep(scope, burstWatchPause);
    }
    return absl::OkStatus();
}

AK::Milliseconds ObjectFeeds::noteWatchAnswer(Feed &feed, AK::Milliseconds askedAt) const
{
    const AK::Milliseconds now = this->loop.clock().uninterruptedTime();
    const AK::Milliseconds waited = this->standstill.unnoticedSince(askedAt);
    const AK::Milliseconds currentBefore = std::exchange(feed.currentAt, now - waited);
    const AK::Milliseconds unnoticed = std::max(waited, now - askedAt < promptAnswer ? now - currentBefore : 0);
    return unnoticed > usualDelay ? unnoticed : 0;
}

absl::Status ObjectFeeds::listAfterCut(kj::WaitScope &scope, ObjectKind kind, const absl::Status &reason, AK::Milliseconds askedAt)
{
    Feed &feed = this->feed(kind);
    const bool overdue = absl::IsDeadlineExceeded(reason);
    const AK::Milliseconds lasted = this->loop.clock().uninterruptedTime() - askedAt;
    this->logger.info("watch_cut", {{"kind", nameOf(kind)}, {"after_ms", lasted}, {"overdue", overdue}, {"reason", std::string(reason.message())}});
    // A watch that is overdue shows nothing but a silent connection, unless the list is not answered promptly either.
    if (!overdue) {
        this->expiredLeases.callFailed();
    }
    // A watch that is overdue after a standstill was sound before it.
    if (const AK::Milliseconds stoodStill = this->standstill.unnoticedSince(askedAt); overdue && stoodStill > 0) {
        feed.currentAt = std::max(feed.currentAt, this->loop.clock().uninterruptedTime() - stoodStill);
    }
    CATKINLINK_TRY(this->listOnce(scope, kind));
    if (lasted < shortWatch) {
        this->loop.sleep(scope, shortWatch);
    }
    return absl::OkStatus();
}

absl::Status ObjectFeeds::listOnce(kj::WaitScope &scope, ObjectKind kind)
{
    Feed &feed = this->feed(kind);
    const AK::Milliseconds begin = this->loop.clock().now();
    const AK::Milliseconds askedAt = this->loop.clock().uninterruptedTime();
    feed.listing = true;
    const absl::StatusOr<LibFleet::ObjectPage> page = this->source.list(scope, kind);
    feed.listing = false;
    if (!page.ok() || this->loop.clock().now() - begin > LibFleet::watchOverdueAfter) {
        this->expiredLeases.callFailed();
    }
    if (!page.ok()) {
        return page.status();
    }
    this->noteAnswer();
    this->noteEra(page->position.era);
    if (page->position.era < this->newestEra) {
        return absl::UnavailableError("store: response of an older era");
    }
    const AK::Milliseconds currentBefore = std::exchange(feed.currentAt, askedAt);
    if (this->replaceAll(kind, *page)) {
        this->publishFromStore(kind, this->loop.clock().uninterruptedTime() - currentBefore);
        this->logKeptObjects(kind);
    }
    return absl::OkStatus();
}

bool ObjectFeeds::replaceAll(ObjectKind kind, const LibFleet::ObjectPage &page)
{
    Feed &feed = this->feed(kind);
    const AK::Milliseconds now = this->loop.clock().now();
    const LibFleet::StorePosition before = feed.snapshot.position;
    if (page.position <= before) {
        return false;
    }
    if (before > 0 && page.position.era > before.era) {
        this->logger.warning("store_restored",
                             {{"kind", nameOf(kind)},
                              {"era", page.position.era},
                              {"revision", page.position.revision},
                              {"previous_era", before.era},
                              {"previous_revision", before.revision}});
        feed.restored.storeRestored(feed.inForce, page.position, now, graceFor(kind));
        this->endGraceLater(kind, graceFor(kind));
    } else {
        feed.restored.recordReplaced(feed.snapshot, page, true, now);
    }
    return feed.snapshot.replace(page);
}

void ObjectFeeds::noteEra(int64_t era)
{
    if (era <= this->newestEra) {
        return;
    }
    this->newestEra = era;
    this->evidence.storeRestored(this->loop.clock().now());
    for (const auto &row : LibFleet::objectKindNames) {
        if (this->started && this->position(row.value) > 0) {
            this->loop.spawn([this, kind = row.value](kj::WaitScope &scope) { this->listNewEra(scope, kind); });
        }
    }
}

void ObjectFeeds::listNewEra(kj::WaitScope &scope, ObjectKind kind)
{
    const Feed &feed = this->feed(kind);
    AK::Milliseconds pause = newEraListDelay;
    // A kind whose last call failed is listed by its own fiber.
    while (feed.snapshot.position.era < this->newestEra && this->watchActive && feed.storeReached) {
        this->loop.sleep(scope, pause);
        if (!feed.listing && feed.snapshot.position.era < this->newestEra && feed.storeReached) {
            (void)this->listOnce(scope, kind);
        }
        pause = std::min(retryPauseLimit, pause * 2);
    }
}

void ObjectFeeds::noteStoreStatus(ObjectKind kind, const absl::Status &status)
{
    Feed &feed = this->feed(kind);
    if (status.ok() == feed.storeReached) {
        return;
    }
    feed.storeReached = status.ok();
    if (status.ok()) {
        this->logger.info("store_regained", {{"kind", nameOf(kind)}, {"revision", feed.snapshot.position.revision}});
    } else {
        this->logger.warning("store_lost", {{"kind", nameOf(kind)}, {"revision", feed.snapshot.position.revision}, {"reason", std::string(status.message())}});
    }
}

void ObjectFeeds::noteAnswer()
{
    const AK::Milliseconds now = this->loop.clock().now();
    const bool away = this->expiredLeases.storeAnswered(now);
    const bool refuted = away && this->lapseIsRefuted();
    this->evidence.storeAnswered(now, away && !refuted, this->times.leaseRenewal);
    if (!away) {
        return;
    }
    const LibFleet::StoreAbsence absence = *this->expiredLeases.lapse();
    const AK::Milliseconds absent = absence.begin > 0 ? absence.end - absence.begin : 0;
    if (refuted) {
        this->logger.info("no_lease_lapsed", {{"absent_ms", absent}});
        this->expiredLeases.endGrace();
        return;
    }
    this->logger.info("leases_may_have_lapsed", {{"grace_ms", LibFleet::expiredLeaseGrace}, {"absent_ms", absent}});
    this->endGraceLater(ObjectKind::Upstreams, LibFleet::expiredLeaseGrace);
}

void ObjectFeeds::endGraceLater(ObjectKind kind, AK::Milliseconds grace)
{
    const AK::Milliseconds graceEnd = this->loop.clock().now() + grace;
    this->loop.spawn([this, kind, graceEnd](kj::WaitScope &scope) {
        // The loop's timers count from its last turn, which may be some ms ago, so a sleep can end too early.
        while (this->loop.clock().now() < graceEnd) {
            this->loop.sleep(scope, graceEnd - this->loop.clock().now());
        }
        // Upstreams are kept as long as the store may be away, and nothing else would end that.
        while (kind == ObjectKind::Upstreams && this->expiredLeases.awaitsAnswer() && !this->leaseGraceIsOver()) {
            this->loop.sleep(scope, awaitedAnswerInterval);
        }
        this->publishFromStore(kind);
    });
}

void ObjectFeeds::accept(ObjectKind kind, const LibFleet::ObjectPage &page, std::string_view from)
{
    Feed &feed = this->feed(kind);
    if (!this->replaceAll(kind, page)) {
        return;
    }
    const AK::Milliseconds now = this->loop.clock().now();
    this->logger.info("objects_from_peer", {{"kind", nameOf(kind)}, {"era", page.position.era}, {"revision", page.position.revision}, {"peer", from}});
    const LibFleet::ObjectPage adopted = this->withoutRefutedMarks(kind, page, from);
    feed.restored.adopt(adopted, now, graceFor(kind));
    this->publish(kind, feed.restored.merge(feed.snapshot, now), this->loop.clock().uninterruptedTime() - feed.currentAt);
    std::set<AK::Milliseconds> graces;
    for (const LibFleet::StoredObject &object : adopted.objects) {
        if (object.lapsed || object.outOfDate) {
            graces.insert(object.graceLeft > 0 ? std::min(object.graceLeft, graceFor(kind)) : graceFor(kind));
        }
    }
    for (const AK::Milliseconds grace : graces) {
        this->endGraceLater(kind, grace);
    }
}

} // namespace Fleet
