#include <LibConfiguration/ConfigurationService.h>

#include <AK/Text.h>
#include <LibConfiguration/Backoff.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/Watchers.h>
#include <algorithm>

namespace LibConfiguration
{

namespace
{

constexpr size_t pushFanOut = 4;
constexpr size_t fetchQueueLimit = 8;
// A watch cannot be interrupted, so its wait bounds the time that stop() takes. Twelve watchers cost the store 2.4 calls/s.
constexpr AK::Milliseconds watchSliceMs = 5'000;
constexpr AK::Milliseconds housekeepingMs = 500;
// A process that is no watcher looks this often whether it has become one.
constexpr AK::Milliseconds watcherCheckMs = 500;
// A revision of 1 MB takes 0.4 s on an idle link between regions.
constexpr AK::Milliseconds revisionTimeoutFactor = 3;

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
    , identity(std::move(identity))
    , metrics(metrics)
    , holder(settings.site, clock)
    , applier(settings, clock, store, this->holder)
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
    this->watcher = std::thread([this] { this->watchLoop(); });
    this->peers = std::thread([this] { this->peerLoop(); });
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
    for (std::thread *thread : {&this->watcher, &this->peers}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

std::shared_ptr<const Configuration> ConfigurationService::current() const
{
    return this->holder.current();
}

std::shared_ptr<const Configuration> ConfigurationService::waitForChange(const std::shared_ptr<const Configuration> &seen, AK::Milliseconds timeout) const
{
    return this->holder.waitForChange(seen, timeout);
}

uint64_t ConfigurationService::offerRevision(uint64_t revision, std::string_view document)
{
    if (revision > this->holder.revision()) {
        this->take(std::string(document), "push");
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

void ConfigurationService::take(const std::string &text, std::string_view source)
{
    const absl::StatusOr<bool> taken = this->holder.take(text);
    if (!taken.ok()) {
        this->metrics.add("catkinlink_revisions_refused_total");
        this->logger.warning("revision_refused", {{"source", source}, {"reason", std::string(taken.status().message())}});
        return;
    }
    if (*taken) {
        this->announce(source);
    }
}

ApplyOutcome ConfigurationService::apply(const ApplyRequest &request)
{
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
                                                     RevisionHolder::longestRestrictionMs, " ms"));
    }
    RestrictionSpread spread{restriction.id, 1, 0};
    spread.inForceOn += this->membership.exchangeWithAll(this->settings.timing.rpcTimeoutMs);
    for (const LibMembership::Member &member : this->membership.members()) {
        spread.members += member.status != LibMembership::MemberStatus::Dead ? 1 : 0;
    }
    return spread;
}

bool ConfigurationService::waitStopped(AK::Milliseconds duration)
{
    std::unique_lock lock(this->mutex);
    return this->wake.wait_for(lock, std::chrono::milliseconds(duration), [this] { return this->draining; });
}

bool ConfigurationService::watchOnce(uint64_t &version)
{
    const AK::Milliseconds wait = std::min(this->settings.timing.watchWaitMs, watchSliceMs);
    const AK::Milliseconds started = this->clock.now();
    const auto stored = this->store.watch("config", this->settings.site, version, wait);
    if (!stored.ok()) {
        return false;
    }
    if (stored->version > version) {
        version = stored->version;
        this->take(stored->value, "store");
        return true;
    }
    // A store that returns early without a newer version would otherwise be asked in a tight loop.
    return this->clock.now() - started >= wait / 2;
}

void ConfigurationService::watchLoop()
{
    AK::Random random = AK::seededFromSystem();
    AK::Milliseconds backoff = 0;
    AK::Milliseconds pause = 0;
    uint64_t version = 0;
    while (!this->waitStopped(pause)) {
        const bool watching = LibMembership::isWatcher(this->membership.members(), this->settings.name);
        if (!watching && this->holder.revision() > 0) {
            backoff = 0;
            pause = watcherCheckMs;
            continue;
        }
        backoff = this->watchOnce(version) ? 0 : nextBackoff({}, backoff, random);
        pause = backoff;
    }
}

void ConfigurationService::queueBootstrapPeers()
{
    AK::Random random = AK::seededFromSystem();
    std::vector<AK::Endpoint> candidates = this->settings.seeds;
    for (const LibMembership::Member &member : LibMembership::chooseMembers(this->membership.members(), this->settings.name, pushFanOut, random)) {
        candidates.push_back(member.rpcAddress);
    }
    const std::lock_guard lock(this->mutex);
    for (const AK::Endpoint &candidate : candidates) {
        if (candidate != this->settings.rpcAddress && this->fetchQueue.size() < fetchQueueLimit) {
            this->fetchQueue.push_back(candidate);
        }
    }
}

void ConfigurationService::peerLoop()
{
    while (true) {
        if (this->holder.revision() == 0) {
            this->queueBootstrapPeers();
        }
        std::deque<AK::Endpoint> fetches;
        bool pushNow = false;
        {
            std::unique_lock lock(this->mutex);
            const auto wanted = [this] {
                return this->stopping || !this->fetchQueue.empty() || this->holder.revision() > this->pushedRevision;
            };
            this->wake.wait_for(lock, std::chrono::milliseconds(housekeepingMs), wanted);
            if (this->stopping) {
                return;
            }
            fetches.swap(this->fetchQueue);
            const uint64_t revision = this->holder.revision();
            pushNow = revision > this->pushedRevision;
            this->pushedRevision = revision;
        }
        if (pushNow) {
            this->push();
        }
        const uint64_t before = this->holder.revision();
        for (const AK::Endpoint &peer : fetches) {
            if (this->holder.revision() > before) {
                break;
            }
            this->fetchFrom(peer);
        }
        this->holder.removeExpired();
        if (this->holder.revision() == 0) {
            this->clock.sleep(std::min<AK::Milliseconds>(housekeepingMs, this->settings.timing.gossipIntervalMs / 4));
        }
    }
}

void ConfigurationService::push()
{
    using Response = capnp::Response<Wire::Node::OfferRevisionResults>;
    AK::Random random = AK::seededFromSystem();
    const auto [revision, document] = this->holder.serialized();
    const AK::Milliseconds timeout = revisionTimeoutFactor * this->settings.timing.rpcTimeoutMs;
    std::vector<std::pair<std::unique_ptr<LibWire::RpcConnection>, kj::Promise<Response>>> offers;
    for (const LibMembership::Member &member : LibMembership::chooseMembers(this->membership.members(), this->settings.name, pushFanOut, random)) {
        auto connection = LibWire::RpcConnection::open(member.rpcAddress, this->identity, this->settings.timing.rpcTimeoutMs);
        if (!connection.ok()) {
            this->membership.reportUnreachable(member.name);
            continue;
        }
        auto request = (*connection)->node().offerRevisionRequest();
        request.setRevision(revision);
        request.setDocument({reinterpret_cast<const kj::byte *>(document.data()), document.size()});
        kj::Promise<Response> reply = request.send();
        offers.emplace_back(std::move(*connection), kj::mv(reply));
    }
    // All offers are under way before the first reply is awaited, so that a stalled member delays only its own.
    const AK::Milliseconds end = this->clock.now() + timeout;
    for (auto &[connection, reply] : offers) {
        (void)LibWire::waitFor<Response>(kj::mv(reply), std::max<AK::Milliseconds>(1, end - this->clock.now()), connection->waitScope());
    }
    this->metrics.add("catkinlink_revision_pushes_total", {}, static_cast<double>(offers.size()));
}

void ConfigurationService::fetchFrom(const AK::Endpoint &peer)
{
    const AK::Milliseconds timeout = this->settings.timing.rpcTimeoutMs;
    auto connection = LibWire::RpcConnection::open(peer, this->identity, timeout);
    if (!connection.ok()) {
        return;
    }
    auto reply = (*connection)->call((*connection)->node().fetchRevisionRequest(), revisionTimeoutFactor * timeout);
    if (reply.ok() && reply->getRevision() > this->holder.revision()) {
        const auto document = reply->getDocument().asChars();
        this->take(std::string(document.begin(), document.size()), "peer");
    }
}

} // namespace LibConfiguration
