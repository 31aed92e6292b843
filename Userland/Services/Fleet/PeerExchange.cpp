#include <Fleet/PeerExchange.h>

#include <algorithm>

namespace Fleet
{

namespace
{

constexpr AK::Milliseconds callTimeout = 600;
constexpr AK::Milliseconds unreachedInterval = 100;
constexpr AK::Milliseconds objectsTimeout = 2'000;
// A read of objects that takes longer no longer prevents reads of the same kind from other processes.
constexpr AK::Milliseconds exclusiveReadTime = 400;
// Newer objects are read over the links between regions only when no process of the own region has them this long after they were announced.
constexpr AK::Milliseconds sameRegionWait = 400;
// A process that watches the store reads newer objects from another process only after this time: the watch delivers just the change, another process sends
// all objects.
constexpr AK::Milliseconds storeWatchWait = 500;
constexpr AK::Milliseconds minPushInterval = 50;
// Agents read lists of upstreams and of entries, which change in bursts, at this interval.
constexpr AK::Milliseconds agentListInterval = 1'000;
// Connections that stay open for reading announced objects; about as many entries exchange with this one.
constexpr size_t maxPullLinks = 16;
// Longer than the bounds on the rollout of a version, which count from its naming.
constexpr AK::Milliseconds weightsNewsTime = 60'000;

} // namespace

PeerExchange::PeerExchange(LibFiber::Loop &loop, Settings settings, ObjectFeeds &feeds, LibFleet::FleetState &state)
    : loop(loop)
    , settings(std::move(settings))
    , feeds(feeds)
    , state(state)
    , views(this->settings.name, loop.clock(), state)
    , random(AK::seededFromSystem())
    , woken(nullptr)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->wakeUp = kj::mv(paf.fulfiller);
    this->woken = paf.promise.fork();
}

PeerExchange::~PeerExchange() noexcept = default;

void PeerExchange::start()
{
    if (this->settings.clientAddress) {
        this->feeds.onChange([this] { this->pushObjects(); });
    }
    this->loop.spawn([this](kj::WaitScope &scope) { this->followPartners(scope); });
}

void PeerExchange::setSeeds(std::vector<AK::Endpoint> seeds)
{
    this->settings.seeds = std::move(seeds);
}

void PeerExchange::completeStateWith(std::function<void(LibPeers::NodeState &)> completeState)
{
    this->completeState = std::move(completeState);
}

void PeerExchange::onReport(std::function<void(const LibPeers::EngineReport &)> observer)
{
    this->reportObserver = std::move(observer);
}

void PeerExchange::onEntryState(std::function<void(const LibPeers::NodeState &)> observer)
{
    this->entryObserver = std::move(observer);
}

std::map<std::string, EntryView> PeerExchange::liveEntries(AK::Milliseconds maxAge) const
{
    return this->views.live(maxAge);
}

void PeerExchange::pushNow()
{
    ++this->pushes;
    this->wakePartners();
}

void PeerExchange::pushObjects()
{
    this->wakePartners();
}

void PeerExchange::wakePartners()
{
    const AK::Milliseconds now = this->loop.clock().now();
    if (now - this->wokenAt < minPushInterval) {
        if (!this->pushPending) {
            this->pushPending = true;
            this->loop.spawn([this](kj::WaitScope &scope) {
                this->loop.sleep(scope, minPushInterval);
                this->pushPending = false;
                this->wakePartners();
            });
        }
        return;
    }
    this->wokenAt = now;
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->wakeUp->fulfill();
    this->wakeUp = kj::mv(paf.fulfiller);
    this->woken = paf.promise.fork();
}

EntryViews::Revisions PeerExchange::ownRevisions() const
{
    EntryViews::Revisions revisions{};
    for (const auto &row : LibFleet::objectKindNames) {
        revisions[static_cast<size_t>(row.value)] = this->feeds.changedAt(row.value);
    }
    return revisions;
}

LibPeers::NodeState PeerExchange::ownState(bool forEntry)
{
    LibPeers::NodeState own;
    own.name = this->settings.name;
    own.failureDomain = this->settings.failureDomain;
    own.rpcAddress = this->settings.rpcAddress.text();
    own.clientAddress = this->settings.clientAddress ? this->settings.clientAddress->text() : "";
    own.revisions = this->ownRevisions();
    own.weightsTargets = this->state.weightsTargetAges(weightsNewsTime);
    if (const std::optional<LibFleet::SteadyPeriod> steady = this->feeds.steadyPeriod()) {
        const AK::Milliseconds now = this->loop.clock().now();
        own.storeSteadyFrom = std::max<AK::Milliseconds>(1, now - steady->from);
        own.storeSteadyTo = std::max<AK::Milliseconds>(0, now - steady->to);
    }
    if (this->completeState) {
        this->completeState(own);
    }
    if (!this->settings.clientAddress) {
        return own;
    }
    own.storeLost = this->feeds.storeLost();
    if (const Announcement current{own.ready, own.leaving, own.storeLost}; current != this->announced) {
        this->announced = current;
        this->views.beat();
    }
    own.heartbeat = this->views.heartbeat();
    if (forEntry) {
        this->views.addSightings(own, liveMaxAge);
    }
    return own;
}

void PeerExchange::record(const LibPeers::NodeState &peer)
{
    const bool stopped = this->views.record(peer);
    for (const LibFleet::WeightsTargetAge &told : peer.weightsTargets) {
        this->state.adoptWeightsTarget(told);
    }
    this->feeds.noteEra(std::max_element(peer.revisions.begin(), peer.revisions.end())->era);
    if (peer.engine && this->reportObserver) {
        this->reportObserver(*peer.engine);
    }
    if (!peer.clientAddress.empty() && this->entryObserver) {
        this->entryObserver(peer);
    }
    if (stopped) {
        this->pushNow();
    }
}

void PeerExchange::noteSteadyStore(const LibPeers::NodeState &peer, AK::Milliseconds askedAt)
{
    if (peer.storeSteadyFrom > 0) {
        this->feeds.noteSteadyStore({this->loop.clock().now() - peer.storeSteadyFrom, askedAt - peer.storeSteadyTo}, peer.name);
    }
}

LibPeers::NodeState PeerExchange::exchange(const LibPeers::NodeState &from)
{
    this->record(from);
    if (!from.clientAddress.empty() && this->hasNewer(from)) {
        this->pullSoon(from);
    }
    return this->ownState(!from.clientAddress.empty());
}

bool PeerExchange::hasNewer(const LibPeers::NodeState &peer) const
{
    return std::any_of(LibFleet::objectKindNames.begin(), LibFleet::objectKindNames.end(),
                       [&](const auto &row) { return peer.revisions[static_cast<size_t>(row.value)] > this->feeds.position(row.value); });
}

void PeerExchange::pullSoon(const LibPeers::NodeState &peer)
{
    const absl::StatusOr<AK::Endpoint> address = AK::parseEndpoint(peer.rpcAddress);
    if (!address.ok()) {
        return;
    }
    if (this->pullLinks.size() >= maxPullLinks && !this->pullLinks.contains(peer.rpcAddress)) {
        this->pullLinks.clear();
    }
    std::shared_ptr<LibPeers::PeerClient> &link = this->pullLinks[peer.rpcAddress];
    if (!link) {
        link = std::make_shared<LibPeers::PeerClient>(this->loop, *address);
    }
    const auto record = this->state.entries().find(peer.name);
    const bool inOtherRegion = record != this->state.entries().end() && record->second.region != this->settings.region;
    this->loop.spawn([this, link, peer, inOtherRegion](kj::WaitScope &scope) { this->pullNewer(scope, *link, peer, inOtherRegion); });
}

LibFleet::ObjectPage PeerExchange::objects(LibFleet::ObjectKind kind, LibFleet::StorePosition newerThan, bool agentPart)
{
    return this->feeds.objects(kind, newerThan, agentPart);
}

absl::Status PeerExchange::exchangeOnce(kj::WaitScope &scope, LibPeers::PeerClient &link, const Partner &partner, AK::Milliseconds timeout)
{
    const AK::Milliseconds askedAt = this->loop.clock().now();
    const absl::StatusOr<LibPeers::NodeState> peer = link.exchange(scope, this->ownState(this->settings.clientAddress.has_value()), askedAt + timeout);
    if (peer.ok()) {
        this->noteSteadyStore(*peer, askedAt);
        this->record(*peer);
        this->pullNewer(scope, link, *peer, partner.inOtherRegion);
        if (!this->settings.clientAddress) {
            this->feeds.noteExchange();
        }
    }
    return peer.status();
}

bool PeerExchange::knowsFleet() const
{
    constexpr std::array needed{LibFleet::ObjectKind::Configuration, LibFleet::ObjectKind::Upstreams, LibFleet::ObjectKind::Entries};
    return std::all_of(needed.begin(), needed.end(), [&](LibFleet::ObjectKind kind) { return this->feeds.position(kind) > 0; });
}

void PeerExchange::exchangeWith(kj::WaitScope &scope, const Partner &partner)
{
    const std::string address = partner.address.text();
    LibPeers::PeerClient link(this->loop, partner.address);
    bool reached = false;
    AK::Milliseconds answeredAt = this->loop.clock().now();
    const auto isStillPartner = [&] {
        const auto found = this->partners.find(address);
        return found != this->partners.end() && found->second == partner;
    };
    while (isStillPartner()) {
        const uint64_t sentPushes = this->pushes;
        const absl::Status status = this->exchangeOnce(scope, link, partner, reached ? callTimeout : unreachedTimeout);
        if (status.ok() != reached) {
            reached = status.ok();
            this->logger.info(reached ? "peer_reached" : "peer_lost", {{"address", address}, {"reason", std::string(status.message())}});
        }
        const AK::Milliseconds now = this->loop.clock().now();
        answeredAt = status.ok() ? now : answeredAt;
        if (!status.ok()) {
            this->views.recordFailure(address);
        }
        if (now - answeredAt > liveMaxAge) {
            this->silentUntil[address] = now + silentTime;
        }
        this->waitForTurn(scope, partner, reached && this->knowsFleet() ? partner.interval : unreachedInterval, sentPushes);
    }
    this->activeAddresses.erase(address);
}

void PeerExchange::waitForTurn(kj::WaitScope &scope, const Partner &partner, AK::Milliseconds interval, uint64_t sentPushes)
{
    const AK::Milliseconds until = this->loop.clock().now() + interval;
    while (this->pushes == sentPushes) {
        const AK::Milliseconds left = until - this->loop.clock().now();
        if (left <= 0) {
            return;
        }
        this->loop.after(left).exclusiveJoin(this->woken.addBranch()).wait(scope);
        if (!this->views.hasRevisions(partner.name, this->ownRevisions())) {
            return;
        }
    }
}

void PeerExchange::pullNewer(kj::WaitScope &scope, LibPeers::PeerClient &link, const LibPeers::NodeState &peer, bool inOtherRegion)
{
    for (const auto &row : LibFleet::objectKindNames) {
        const LibFleet::StorePosition known = this->feeds.position(row.value);
        PendingRead &pending = this->pendingReads[static_cast<size_t>(row.value)];
        if (peer.revisions[static_cast<size_t>(row.value)] <= known) {
            continue;
        }
        const AK::Milliseconds now = this->loop.clock().now();
        if (pending.announcedAt == 0 || pending.known != known) {
            pending.known = known;
            pending.announcedAt = now;
        }
        // Objects cross between regions once; the other processes of a region read them from the process that has them.
        const bool waitForRegion =
            inOtherRegion && this->views.anyHeardInRegion(this->settings.region, liveMaxAge) && now - pending.announcedAt < sameRegionWait;
        // A process that has just started does not take what a peer knows, which may lag behind, while the store is about to answer.
        const bool storeAnswers = this->feeds.watchesStore(row.value) || this->feeds.awaitsFirstList(row.value);
        const bool waitForStore = storeAnswers && now - pending.announcedAt < storeWatchWait;
        const bool isList = row.value == LibFleet::ObjectKind::Upstreams || row.value == LibFleet::ObjectKind::Entries;
        const bool tooSoon = !this->settings.clientAddress && isList && now - pending.readAt < agentListInterval;
        if (waitForRegion || waitForStore || tooSoon || now < pending.exclusiveUntil) {
            continue;
        }
        pending.exclusiveUntil = now + exclusiveReadTime;
        const absl::StatusOr<LibFleet::ObjectPage> page =
            link.objects(scope, row.value, known, !this->settings.clientAddress.has_value(), this->loop.clock().now() + objectsTimeout);
        pending.exclusiveUntil = 0;
        if (!page.ok()) {
            this->logger.info("objects_not_read", {{"peer", peer.name}, {"reason", std::string(page.status().message())}});
            return;
        }
        if (page->position > 0) {
            pending.announcedAt = 0;
            pending.readAt = now;
            this->feeds.accept(row.value, *page, peer.name);
        }
    }
}

} // namespace Fleet
