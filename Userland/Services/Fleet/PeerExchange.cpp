#include <Fleet/PeerExchange.h>

#include <algorithm>

namespace Fleet
{

namespace
{

constexpr AK::Milliseconds callTimeout = 600;
// For a process that does not answer yet. It may be starting, as all are after a power loss; a host without power never answers a connection attempt.
constexpr AK::Milliseconds unreachedTimeout = 250;
constexpr AK::Milliseconds unreachedInterval = 100;
constexpr AK::Milliseconds objectsTimeout = 2'000;
// A read of objects that takes longer no longer prevents reads of the same kind from other processes.
constexpr AK::Milliseconds exclusiveReadTime = 400;
// Newer objects are read over the links between regions only when no process of the own region has them this long after they were announced.
constexpr AK::Milliseconds sameRegionWait = 400;
constexpr AK::Milliseconds sameRegionMaxAge = 1'000;
// A process that watches the store reads newer objects from another process only after this time: the watch delivers just the change, another process sends
// all objects.
constexpr AK::Milliseconds storeWatchWait = 500;
constexpr AK::Milliseconds discoveryInterval = 500;
// An entry that has not answered for this long is no longer contacted unless the store lists it.
constexpr AK::Milliseconds forgetAfter = 30'000;

} // namespace

PeerExchange::PeerExchange(LibFiber::Loop &loop, Settings settings, ObjectFeeds &feeds, LibFleet::FleetState &state)
    : loop(loop)
    , settings(std::move(settings))
    , feeds(feeds)
    , state(state)
    , woken(nullptr)
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->wakeUp = kj::mv(paf.fulfiller);
    this->woken = paf.promise.fork();
}

PeerExchange::~PeerExchange() noexcept = default;

void PeerExchange::start()
{
    this->loop.spawn([this](kj::WaitScope &scope) { this->discoverEntries(scope); });
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

std::map<std::string, EntryView> PeerExchange::liveEntries(AK::Milliseconds maxAge) const
{
    std::map<std::string, EntryView> live;
    const AK::Milliseconds now = this->loop.clock().now();
    for (const auto &[name, view] : this->entryViews) {
        if (now - view.lastSeenAt <= maxAge) {
            live.emplace(name, view);
        }
    }
    return live;
}

void PeerExchange::pushNow()
{
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->wakeUp->fulfill();
    this->wakeUp = kj::mv(paf.fulfiller);
    this->woken = paf.promise.fork();
}

LibPeers::NodeState PeerExchange::ownState() const
{
    LibPeers::NodeState own;
    own.name = this->settings.name;
    own.failureDomain = this->settings.failureDomain;
    own.rpcAddress = this->settings.rpcAddress.text();
    own.clientAddress = this->settings.clientAddress ? this->settings.clientAddress->text() : "";
    for (const auto &row : LibFleet::objectKindNames) {
        own.revisions[static_cast<size_t>(row.value)] = this->feeds.changedAt(row.value);
    }
    if (this->completeState) {
        this->completeState(own);
    }
    return own;
}

void PeerExchange::noteState(const LibPeers::NodeState &peer)
{
    if (!peer.clientAddress.empty()) {
        this->entryViews[peer.name] = {peer, this->loop.clock().now()};
    }
    if (peer.engine && this->reportObserver) {
        this->reportObserver(*peer.engine);
    }
}

LibPeers::NodeState PeerExchange::exchange(const LibPeers::NodeState &from)
{
    this->noteState(from);
    return this->ownState();
}

LibFleet::ObjectPage PeerExchange::objects(LibFleet::ObjectKind kind, int64_t newerThan, bool agentPart)
{
    return this->feeds.objects(kind, newerThan, agentPart);
}

bool PeerExchange::isInOtherRegion(const AK::Endpoint &address) const
{
    const auto &entries = this->state.entries();
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const auto &entry) { return entry.second.rpcAddress == address; });
    return found != entries.end() && found->second.region != this->settings.region;
}

bool PeerExchange::hasLiveEntryInRegion() const
{
    const auto live = this->liveEntries(sameRegionMaxAge);
    return std::any_of(live.begin(), live.end(), [&](const auto &view) {
        const auto record = this->state.entries().find(view.first);
        return record != this->state.entries().end() && record->second.region == this->settings.region;
    });
}

AK::Milliseconds PeerExchange::intervalTo(const AK::Endpoint &address) const
{
    return this->isInOtherRegion(address) ? this->settings.crossRegionInterval : this->settings.interval;
}

bool PeerExchange::isKnownEntry(const AK::Endpoint &address) const
{
    const auto &entries = this->state.entries();
    if (std::any_of(entries.begin(), entries.end(), [&](const auto &entry) { return entry.second.rpcAddress == address; })) {
        return true;
    }
    const AK::Milliseconds now = this->loop.clock().now();
    return std::any_of(this->entryViews.begin(), this->entryViews.end(),
                       [&](const auto &entry) { return entry.second.state.rpcAddress == address.text() && now - entry.second.lastSeenAt < forgetAfter; });
}

void PeerExchange::discoverEntries(kj::WaitScope &scope)
{
    while (true) {
        std::vector<AK::Endpoint> addresses = this->settings.seeds;
        for (const auto &[name, entry] : this->state.entries()) {
            addresses.push_back(entry.rpcAddress);
        }
        for (const AK::Endpoint &address : addresses) {
            if (!(address == this->settings.rpcAddress) && this->activeAddresses.insert(address.text()).second) {
                this->loop.spawn([this, address](kj::WaitScope &inner) { this->exchangeWith(inner, address); });
            }
        }
        this->loop.sleep(scope, discoveryInterval);
    }
}

void PeerExchange::exchangeWith(kj::WaitScope &scope, const AK::Endpoint &address)
{
    LibPeers::PeerClient link(this->loop, address);
    AK::Milliseconds answeredAt = this->loop.clock().now();
    bool reached = false;
    while (this->isKnownEntry(address) || this->loop.clock().now() - answeredAt < forgetAfter) {
        const absl::StatusOr<LibPeers::NodeState> peer =
            link.exchange(scope, this->ownState(), this->loop.clock().now() + (reached ? callTimeout : unreachedTimeout));
        if (peer.ok() != reached) {
            reached = peer.ok();
            this->logger.info(reached ? "peer_reached" : "peer_lost", {{"address", address.text()}, {"reason", std::string(peer.status().message())}});
        }
        if (peer.ok()) {
            answeredAt = this->loop.clock().now();
            this->noteState(*peer);
            this->pullNewer(scope, link, *peer);
        }
        this->loop.after(reached ? this->intervalTo(address) : unreachedInterval).exclusiveJoin(this->woken.addBranch()).wait(scope);
    }
    this->activeAddresses.erase(address.text());
}

void PeerExchange::pullNewer(kj::WaitScope &scope, LibPeers::PeerClient &link, const LibPeers::NodeState &peer)
{
    for (const auto &row : LibFleet::objectKindNames) {
        const int64_t known = this->feeds.revision(row.value);
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
        const bool waitForRegion = this->isInOtherRegion(link.address()) && this->hasLiveEntryInRegion() && now - pending.announcedAt < sameRegionWait;
        const bool waitForStore = this->feeds.watchesStore(row.value) && now - pending.announcedAt < storeWatchWait;
        if (waitForRegion || waitForStore || now < pending.exclusiveUntil) {
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
        if (page->revision > 0) {
            pending.announcedAt = 0;
            this->feeds.accept(row.value, *page, peer.name);
        }
    }
}

} // namespace Fleet
