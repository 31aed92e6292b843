#include <Fleet/PeerExchange.h>

#include <algorithm>

namespace Fleet
{

namespace
{

constexpr AK::Milliseconds callTimeout = 600;
// A process that does not answer yet may be starting, as all do after a loss of power; a host without power never answers a connection.
constexpr AK::Milliseconds firstTimeout = 250;
constexpr AK::Milliseconds firstInterval = 100;
constexpr AK::Milliseconds objectsTimeout = 2'000;
// A read of objects that takes longer no longer keeps others from being asked.
constexpr AK::Milliseconds usualRead = 400;
// Newer objects are read over the links between regions when no process of the own region has them this long after they were heard of.
constexpr AK::Milliseconds nearPatience = 400;
constexpr AK::Milliseconds nearMaxAge = 1'000;
// The same for a process that watches the store itself: the watch brings the change alone, another process all objects.
constexpr AK::Milliseconds storePatience = 500;
constexpr AK::Milliseconds searchInterval = 500;
// An entry that has not answered for this long is no longer talked to unless the store names it.
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
    this->loop.spawn([this](kj::WaitScope &scope) { this->findEntries(scope); });
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
    for (const auto &[name, view] : this->heardEntries) {
        if (now - view.heardAt <= maxAge) {
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

void PeerExchange::heard(const LibPeers::NodeState &peer)
{
    if (!peer.clientAddress.empty()) {
        this->heardEntries[peer.name] = {peer, this->loop.clock().now()};
    }
    if (peer.engine && this->reportObserver) {
        this->reportObserver(*peer.engine);
    }
}

LibPeers::NodeState PeerExchange::exchange(const LibPeers::NodeState &from)
{
    this->heard(from);
    return this->ownState();
}

LibFleet::ObjectPage PeerExchange::objects(LibFleet::ObjectKind kind, int64_t newerThan, bool agentPart)
{
    return this->feeds.objects(kind, newerThan, agentPart);
}

bool PeerExchange::isFar(const AK::Endpoint &address) const
{
    const auto &entries = this->state.entries();
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const auto &entry) { return entry.second.rpcAddress == address; });
    return found != entries.end() && found->second.region != this->settings.region;
}

bool PeerExchange::hearsNear() const
{
    const auto live = this->liveEntries(nearMaxAge);
    return std::any_of(live.begin(), live.end(), [&](const auto &view) {
        const auto record = this->state.entries().find(view.first);
        return record != this->state.entries().end() && record->second.region == this->settings.region;
    });
}

AK::Milliseconds PeerExchange::intervalTo(const AK::Endpoint &address) const
{
    return this->isFar(address) ? this->settings.farInterval : this->settings.interval;
}

bool PeerExchange::wanted(const AK::Endpoint &address) const
{
    const auto &entries = this->state.entries();
    if (std::any_of(entries.begin(), entries.end(), [&](const auto &entry) { return entry.second.rpcAddress == address; })) {
        return true;
    }
    const AK::Milliseconds now = this->loop.clock().now();
    return std::any_of(this->heardEntries.begin(), this->heardEntries.end(),
                       [&](const auto &entry) { return entry.second.state.rpcAddress == address.text() && now - entry.second.heardAt < forgetAfter; });
}

void PeerExchange::findEntries(kj::WaitScope &scope)
{
    while (true) {
        std::vector<AK::Endpoint> addresses = this->settings.seeds;
        for (const auto &[name, entry] : this->state.entries()) {
            addresses.push_back(entry.rpcAddress);
        }
        for (const AK::Endpoint &address : addresses) {
            if (!(address == this->settings.rpcAddress) && this->conversations.insert(address.text()).second) {
                this->loop.spawn([this, address](kj::WaitScope &inner) { this->converse(inner, address); });
            }
        }
        this->loop.sleep(scope, searchInterval);
    }
}

void PeerExchange::converse(kj::WaitScope &scope, const AK::Endpoint &address)
{
    LibPeers::PeerClient link(this->loop, address);
    AK::Milliseconds answeredAt = this->loop.clock().now();
    bool reached = false;
    while (this->wanted(address) || this->loop.clock().now() - answeredAt < forgetAfter) {
        const absl::StatusOr<LibPeers::NodeState> peer =
            link.exchange(scope, this->ownState(), this->loop.clock().now() + (reached ? callTimeout : firstTimeout));
        if (peer.ok() != reached) {
            reached = peer.ok();
            this->logger.info(reached ? "peer_reached" : "peer_lost", {{"address", address.text()}, {"reason", std::string(peer.status().message())}});
        }
        if (peer.ok()) {
            answeredAt = this->loop.clock().now();
            this->heard(*peer);
            this->pullNewer(scope, link, *peer);
        }
        this->loop.after(reached ? this->intervalTo(address) : firstInterval).exclusiveJoin(this->woken.addBranch()).wait(scope);
    }
    this->conversations.erase(address.text());
}

void PeerExchange::pullNewer(kj::WaitScope &scope, LibPeers::PeerClient &link, const LibPeers::NodeState &peer)
{
    for (const auto &row : LibFleet::objectKindNames) {
        const int64_t known = this->feeds.revision(row.value);
        Lag &lag = this->lags[static_cast<size_t>(row.value)];
        if (peer.revisions[static_cast<size_t>(row.value)] <= known) {
            continue;
        }
        const AK::Milliseconds now = this->loop.clock().now();
        if (lag.since == 0 || lag.known != known) {
            lag.known = known;
            lag.since = now;
        }
        // Objects cross between regions once and reach the other processes of a region from there.
        const bool leaveToNear = this->isFar(link.address()) && this->hearsNear() && now - lag.since < nearPatience;
        const bool leaveToStore = this->feeds.watchesStore(row.value) && now - lag.since < storePatience;
        if (leaveToNear || leaveToStore || now < lag.readingUntil) {
            continue;
        }
        lag.readingUntil = now + usualRead;
        const absl::StatusOr<LibFleet::ObjectPage> page =
            link.objects(scope, row.value, known, !this->settings.clientAddress.has_value(), this->loop.clock().now() + objectsTimeout);
        lag.readingUntil = 0;
        if (!page.ok()) {
            this->logger.info("objects_not_read", {{"peer", peer.name}, {"reason", std::string(page.status().message())}});
            return;
        }
        if (page->revision > 0) {
            lag.since = 0;
            this->feeds.accept(row.value, *page, peer.name);
        }
    }
}

} // namespace Fleet
