#include <LibConfiguration/ConfigurationService.h>

#include <AK/Text.h>
#include <LibConfiguration/Backoff.h>
#include <LibMembership/Watchers.h>
#include <algorithm>

namespace LibConfiguration
{

namespace
{

constexpr size_t fetchQueueLimit = 8;
// A watch cannot be interrupted, so its wait bounds the duration of stop(). Twelve watchers cause 2.4 calls/s at the store.
constexpr AK::Milliseconds maxWatchWaitMs = 5'000;
constexpr AK::Milliseconds housekeepingIntervalMs = 500;
// How often a process that is not a watcher checks whether it has become one.
constexpr AK::Milliseconds watcherCheckIntervalMs = 500;
// Bootstrap rounds without a response from any peer after which a process takes its first revision from the store alone, which may be stale.
constexpr int maxRoundsWithoutPeers = 3;

Restriction fromCarried(const LibMembership::CarriedRestriction &carried)
{
    return {carried.id, carried.failureDomain, carried.upstream, carried.author, carried.reason, carried.expiresAt};
}

} // namespace

ConfigurationService::ConfigurationService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibObjectStore::ObjectStore &store,
                                           LibMembership::MembershipView &membership, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , clock(clock)
    , store(store)
    , membership(membership)
    , metrics(metrics)
    , holder(settings.site, clock)
    , applier(settings, clock, store, this->holder)
    , peerRevisions(settings, clock, membership, std::move(identity), metrics)
    , pauseDetector(clock, settings.timing.suspectTimeoutMs, [this] { this->fetchFrom(this->peerRevisions.choosePeers()); })
{
}

ConfigurationService::~ConfigurationService()
{
    this->stop();
}

std::string_view ConfigurationService::name() const
{
    return "configuration";
}

absl::Status ConfigurationService::start()
{
    this->started = true;
    this->pauseDetector.start();
    this->watchThread = std::thread([this] { this->watchLoop(); });
    this->peerThread = std::thread([this] { this->peerLoop(); });
    return absl::OkStatus();
}

void ConfigurationService::drain()
{
    const std::lock_guard lock(this->mutex);
    this->draining = true;
    this->wake.notify_all();
}

void ConfigurationService::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->draining = true;
        this->stopping = true;
    }
    this->wake.notify_all();
    this->holder.wake();
    this->pauseDetector.stop();
    for (std::thread *thread : {&this->watchThread, &this->peerThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

std::shared_ptr<const Configuration> ConfigurationService::current() const
{
    // After a pause the peers usually respond within milliseconds. When none does, this process continues with the revision that it has.
    this->pauseDetector.waitUntilCurrent(2 * this->settings.timing.rpcTimeoutMs);
    return this->holder.current();
}

std::shared_ptr<const Configuration> ConfigurationService::waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const
{
    return this->holder.waitForChange(seen, timeout);
}

uint64_t ConfigurationService::offerRevision(uint64_t revision, std::string_view document)
{
    if (revision > this->holder.revision()) {
        this->receive(std::string(document), "push");
    }
    return this->holder.revision();
}

std::pair<uint64_t, std::string> ConfigurationService::fetchRevision()
{
    return this->holder.serialized();
}

void ConfigurationService::peerRevision(const AK::Endpoint &peer, uint64_t revision)
{
    if (revision <= this->holder.revision()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    const bool queued = std::find(this->fetchQueue.begin(), this->fetchQueue.end(), peer) != this->fetchQueue.end();
    if (!queued && this->fetchQueue.size() < fetchQueueLimit) {
        this->fetchQueue.push_back(peer);
        this->wake.notify_all();
    }
}

std::vector<LibMembership::CarriedRestriction> ConfigurationService::carriedRestrictions() const
{
    std::vector<LibMembership::CarriedRestriction> carried;
    for (const Restriction &restriction : this->holder.restrictions()) {
        carried.push_back({restriction.id, restriction.failureDomain, restriction.upstream, restriction.author, restriction.reason, restriction.expiresAt});
    }
    return carried;
}

bool ConfigurationService::restrictionsReceived(const std::vector<LibMembership::CarriedRestriction> &restrictions)
{
    std::vector<Restriction> received;
    received.reserve(restrictions.size());
    for (const LibMembership::CarriedRestriction &restriction : restrictions) {
        received.push_back(fromCarried(restriction));
    }
    return this->holder.restrict(received);
}

void ConfigurationService::announce(std::string_view source)
{
    const uint64_t revision = this->holder.revision();
    {
        const std::lock_guard lock(this->mutex);
        if (revision <= this->announcedRevision) {
            return;
        }
        this->announcedRevision = revision;
        this->wake.notify_all();
    }
    this->logger.info("revision_in_force", {{"revision", revision}, {"source", source}});
    this->metrics.set("catkinlink_revision", {}, static_cast<double>(revision));
    this->membership.updateSelf([revision](LibMembership::Member &own) { own.revision = std::max(own.revision, revision); });
}

void ConfigurationService::receive(const std::string &text, std::string_view source)
{
    if (!this->started || this->holder.revision() > 0) {
        this->install(text, source);
        return;
    }
    absl::StatusOr<LibSettings::Revision> revision = LibSettings::parseRevision(text);
    if (!revision.ok()) {
        // install() counts and logs the refusal.
        this->install(text, source);
        return;
    }
    const std::lock_guard lock(this->mutex);
    if (revision->number > this->candidate.number) {
        this->candidate = *std::move(revision);
        this->candidateText = text;
        this->candidateSource = source;
        this->candidateChanged = true;
        this->wake.notify_all();
    }
}

void ConfigurationService::install(const std::string &text, std::string_view source)
{
    const absl::StatusOr<bool> installed = this->holder.install(text);
    if (!installed.ok()) {
        this->metrics.add("catkinlink_revisions_refused_total");
        this->logger.warning("revision_refused", {{"source", source}, {"reason", std::string(installed.status().message())}});
        return;
    }
    if (*installed) {
        this->announce(source);
    }
}

ApplyOutcome ConfigurationService::apply(const ApplyRequest &request)
{
    this->waitForBootstrap();
    ApplyOutcome outcome = this->applier.apply(request);
    this->announce("apply");
    this->logger.info("apply",
                      {{"change_id", request.changeId},
                       {"author", request.author},
                       {"result", AK::nameOf(applyResultNames, outcome.result)},
                       {"revision", outcome.revision},
                       {"message", outcome.message}});
    return outcome;
}

absl::StatusOr<RestrictionSpread> ConfigurationService::restrict(const Restriction &restriction)
{
    if (!this->holder.restrict({restriction})) {
        return absl::InvalidArgumentError(AK::concat("restriction ", restriction.id, ": names no target or two, is expired or settled, or lives longer than ",
                                                     RevisionHolder::maxRestrictionLifetimeMs, " ms"));
    }
    RestrictionSpread spread{restriction.id, 1, 0};
    spread.inForceOn += this->membership.exchangeWithAll(this->settings.timing.rpcTimeoutMs);
    for (const LibMembership::Member &member : this->membership.members()) {
        spread.members += member.status != LibMembership::MemberStatus::Dead ? 1 : 0;
    }
    return spread;
}

bool ConfigurationService::waitForDrain(AK::Milliseconds duration)
{
    std::unique_lock lock(this->mutex);
    return this->wake.wait_for(lock, std::chrono::milliseconds(duration), [this] { return this->draining; });
}

bool ConfigurationService::watchOnce(uint64_t &version)
{
    const AK::Milliseconds wait = std::min(this->settings.timing.watchWaitMs, maxWatchWaitMs);
    const AK::Milliseconds started = this->clock.now();
    const auto stored = this->store.watch("config", this->settings.site, version, wait);
    if (!stored.ok()) {
        return false;
    }
    if (stored->version > version) {
        version = stored->version;
        this->receive(stored->value, "store");
        return true;
    }
    // Without a delay, a store that returns early without a newer version would be called in a tight loop.
    return this->clock.now() - started >= wait / 2;
}

void ConfigurationService::watchLoop()
{
    AK::Random random = AK::seededFromSystem();
    AK::Milliseconds backoff = 0;
    AK::Milliseconds delay = 0;
    uint64_t version = 0;
    while (!this->waitForDrain(delay)) {
        const bool watching = LibMembership::isWatcher(this->membership.members(), this->settings.name);
        if (!watching && this->holder.revision() > 0) {
            backoff = 0;
            delay = watcherCheckIntervalMs;
            continue;
        }
        backoff = this->watchOnce(version) ? 0 : nextBackoff({}, backoff, random);
        delay = backoff;
    }
}

void ConfigurationService::waitForBootstrap()
{
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, std::chrono::milliseconds(this->settings.timing.storeTimeoutMs),
                        [this] { return !this->started || this->stopping || this->bootstrapRounds > 0; });
}

void ConfigurationService::bootstrapRound()
{
    std::vector<AK::Endpoint> known = this->peerRevisions.choosePeers();
    {
        const std::lock_guard lock(this->mutex);
        known.insert(known.end(), this->fetchQueue.begin(), this->fetchQueue.end());
        this->fetchQueue.clear();
        this->candidateChanged = false;
    }
    const PeerRevisions::FetchResult fetched = this->peerRevisions.fetch(known, 0);
    for (const std::string &text : fetched.revisions) {
        this->receive(text, "peer");
    }
    std::string text;
    std::string source;
    {
        const std::lock_guard lock(this->mutex);
        this->candidateChanged = false;
        const bool waitForPeers = fetched.responses == 0 && !known.empty() && this->bootstrapRounds + 1 < maxRoundsWithoutPeers;
        if (!waitForPeers) {
            text = this->candidateText;
            source = this->candidateSource;
        }
    }
    if (!text.empty()) {
        this->install(text, source);
    }
    const std::lock_guard lock(this->mutex);
    if (!text.empty() && this->holder.revision() == 0) {
        // The candidate was refused, for example because it belongs to another site. Drop it, so that a valid one with a smaller number can replace it.
        this->candidate = {};
        this->candidateText.clear();
    }
    ++this->bootstrapRounds;
    this->wake.notify_all();
}

void ConfigurationService::fetchFrom(const std::vector<AK::Endpoint> &peers)
{
    for (const std::string &text : this->peerRevisions.fetch(peers, this->holder.revision()).revisions) {
        this->install(text, "peer");
    }
}

void ConfigurationService::peerLoop()
{
    while (true) {
        const bool bootstrapping = this->holder.revision() == 0;
        if (bootstrapping) {
            this->bootstrapRound();
        }
        std::deque<AK::Endpoint> fetches;
        uint64_t previouslyPushed = 0;
        {
            std::unique_lock lock(this->mutex);
            const auto hasWork = [this] {
                const uint64_t revision = this->holder.revision();
                return this->stopping || (revision == 0 ? this->candidateChanged : !this->fetchQueue.empty() || revision > this->pushedRevision);
            };
            const AK::Milliseconds wait =
                bootstrapping ? std::min<AK::Milliseconds>(housekeepingIntervalMs, this->settings.timing.gossipIntervalMs / 4) : housekeepingIntervalMs;
            this->wake.wait_for(lock, std::chrono::milliseconds(wait), hasWork);
            if (this->stopping) {
                return;
            }
            if (this->holder.revision() == 0) {
                continue;
            }
            fetches.swap(this->fetchQueue);
            previouslyPushed = std::exchange(this->pushedRevision, std::max(this->pushedRevision, this->holder.revision()));
        }
        if (this->holder.revision() > previouslyPushed) {
            const auto [revision, document] = this->holder.serialized();
            this->peerRevisions.push(revision, document);
        }
        // Peers are asked one after the other, the next one only when the previous ones had nothing newer.
        const uint64_t before = this->holder.revision();
        for (const AK::Endpoint &peer : fetches) {
            if (this->holder.revision() > before) {
                break;
            }
            this->fetchFrom({peer});
        }
        this->holder.removeExpired();
    }
}

} // namespace LibConfiguration
