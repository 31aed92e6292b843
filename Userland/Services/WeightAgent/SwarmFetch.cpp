#include "SwarmFetch.h"

#include <AK/Text.h>
#include <LibWeights/ChunkChoice.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// A chunk takes about 30 ms on an idle link, but many transfers share the link.
constexpr AK::Milliseconds chunkTimeout = 1'500;
constexpr AK::Milliseconds peerQueryTimeout = 600;
constexpr AK::Milliseconds manifestTimeout = 800;
// Pause before a peer without needed chunks is asked again.
constexpr AK::Milliseconds idlePollInterval = 60;
constexpr AK::Milliseconds errorRetryDelay = 300;
constexpr AK::Milliseconds busyRetryDelay = 80;
// Concurrent chunk fetches from other agents: enough to fill the link, but few enough that live requests are not queued behind them for long.
constexpr int maxPeerFetches = 4;
constexpr AK::Milliseconds fetchSlotPollInterval = 15;
// While an agent reads from the origin, its own link must not be filled by other transfers: the reads of all readers together have to fill the origin's link.
constexpr int maxPeerFetchesBesideOrigin = 2;
// Age at which the chunks offered by a peer are asked for again while no fetch from it is possible.
constexpr AK::Milliseconds maxOfferAge = 150;
constexpr AK::Milliseconds endPollInterval = 20;
constexpr AK::Milliseconds viewInterval = 250;
// Time in which reachable peers have answered the first question for their chunks.
constexpr AK::Milliseconds firstAnswersTime = 500;
// The most that originConcurrency() gives.
constexpr size_t maxReadsPerReader = 2;
// Time for transfers that are under way when a fetch is given up; a chunk takes some 110 ms while four share the link.
constexpr AK::Milliseconds transferGracePeriod = 200;

std::vector<bool> unpackBitmap(const std::string &bytes, size_t count)
{
    std::vector<bool> bits(count, false);
    for (size_t i = 0; i < count && i / 8 < bytes.size(); ++i) {
        bits[i] = ((static_cast<unsigned char>(bytes[i / 8]) >> (i % 8)) & 1U) != 0;
    }
    return bits;
}

} // namespace

SwarmFetch::SwarmFetch(LibFiber::Loop &loop, WeightsOrigin &origin, ManifestProof &proof, OriginContact &contact, SwarmSelf self, std::string model,
                       int64_t version, SwarmView view, AK::Milliseconds startedAt)
    : loop(loop)
    , origin(origin)
    , proof(proof)
    , contact(contact)
    , self(std::move(self))
    , model(std::move(model))
    , version(version)
    , view(std::move(view))
    , startedAt(startedAt)
    , random(AK::seededFromSystem())
{
    this->useView();
}

void SwarmFetch::useView()
{
    this->members = membersOf(this->view);
    const bool scheduled = isScheduled(this->view.originLink);
    this->originReads = scheduled ? scheduledConcurrency(this->regionSize(this->view.originRegion), this->view.originConnections, this->view.originLink)
                                  : originConcurrency(this->regionSize(this->self.region), this->view.originConnections);
    for (PeerState &state : this->peers) {
        state.gone = state.gone || std::ranges::find(this->view.peers, state.peer) == this->view.peers.end();
    }
    for (ChosenPeer &chosen : chooseSwarmPeers(this->self, this->view, this->versionKey(), scheduled ? this->originReads.readers : 0)) {
        const auto known = std::ranges::find_if(this->peers, [&](const PeerState &state) { return !state.gone && state.peer == chosen.peer; });
        if (known == this->peers.end()) {
            this->peers.push_back({std::move(chosen.peer), chosen.standby, {}, 0, false, false});
        } else {
            known->standby = known->standby && chosen.standby;
        }
    }
}

void SwarmFetch::followView()
{
    SwarmView now = this->watch.currentView();
    if (now == this->view) {
        return;
    }
    const size_t lanes = this->originReads.readers;
    const size_t known = this->peers.size();
    this->view = std::move(now);
    this->useView();
    this->rankChunks();
    if (!isScheduled(this->view.originLink)) {
        this->plan.reset();
    } else if (!this->plan || this->originReads.readers != lanes) {
        this->startReadPlan();
    }
    for (size_t i = known; i < this->peers.size(); ++i) {
        this->fibers.push_back(this->loop.fiber([this, &state = this->peers[i]](kj::WaitScope &inner) { this->fetchFromPeer(inner, state); }));
    }
    this->logger.info("peers_changed", {{"version", this->version}, {"agents", this->members.size() + 1}, {"new_peers", this->peers.size() - known}});
}

bool SwarmFetch::inOriginRegion() const
{
    return this->self.region == this->view.originRegion;
}

size_t SwarmFetch::regionSize(const std::string &region) const
{
    const auto others = static_cast<size_t>(std::ranges::count(this->members, region, &SwarmMember::region));
    return std::max<size_t>(1, others + (region == this->self.region ? 1 : 0));
}

std::string SwarmFetch::versionKey() const
{
    return AK::concat(this->model, "/", this->version);
}

absl::StatusOr<std::string> SwarmFetch::readManifest(kj::WaitScope &scope)
{
    const size_t rank = regionRank(this->self.name, this->self.region, this->members, this->versionKey(), 0);
    const auto mayReadFromOrigin = [&] {
        return this->view.origin && mayReadManifestFromOrigin(this->inOriginRegion(), rank, this->loop.clock().now() - this->startedAt);
    };
    if (this->inOriginRegion() && rank == 0 && mayReadFromOrigin()) {
        absl::StatusOr<std::string> text = this->readManifestFromOrigin(scope);
        if (text.ok()) {
            return text;
        }
    }
    for (const PeerState &state : this->peers) {
        LibPeers::PeerClient client(this->loop, state.peer.rpcAddress);
        absl::StatusOr<std::string> text = client.manifest(scope, this->model, this->version, this->loop.clock().now() + peerQueryTimeout);
        if (text.ok() && !text->empty()) {
            return text;
        }
    }
    if (mayReadFromOrigin()) {
        return this->readManifestFromOrigin(scope);
    }
    return absl::UnavailableError(AK::concat("no manifest of ", this->model, " version ", this->version, " from ", this->peers.size(), " peers"));
}

bool SwarmFetch::active() const
{
    return !this->held->complete() && this->watch.shouldContinue();
}

void SwarmFetch::fetchAll(kj::WaitScope &scope, HeldVersion &target, Watch watched)
{
    this->held = &target;
    this->watch = std::move(watched);
    this->lastProgressAt = this->loop.clock().now();
    this->rankChunks();
    if (isScheduled(this->view.originLink)) {
        this->startReadPlan();
    }
    this->runFibers(scope);
    this->logger.info("fetched",
                      {{"model", this->model},
                       {"version", this->version},
                       {"chunks", target.heldCount()},
                       {"of", target.chunkCount()},
                       {"origin_bytes", this->originBytes},
                       {"taken_over", this->chunksTakenOver},
                       {"origin_readers", this->originReads.readers},
                       {"peers", this->peers.size()}});
}

void SwarmFetch::rankChunks()
{
    const std::string key = this->versionKey();
    const size_t count = this->regionSize(this->self.region);
    const size_t position = regionPosition(this->self, this->members, key);
    const bool inLanes = this->inOriginRegion() && isScheduled(this->view.originLink);
    this->ranks.clear();
    for (uint32_t i = 0; i < this->held->chunkCount(); ++i) {
        this->ranks.push_back(
            inLanes ? laneRank(position, count, i, this->originReads.readers)
                    : regionRank(this->self.name, this->self.region, this->members, key, i, this->inOriginRegion() ? this->originReads.readers : count));
    }
}

void SwarmFetch::runFibers(kj::WaitScope &scope)
{
    for (PeerState &state : this->peers) {
        this->fibers.push_back(this->loop.fiber([this, &state](kj::WaitScope &inner) { this->fetchFromPeer(inner, state); }));
    }
    for (size_t i = 0; i < maxReadsPerReader; ++i) {
        this->fibers.push_back(this->loop.fiber([this, i](kj::WaitScope &inner) { this->fetchFromOrigin(inner, ReadKind::Own, i); }));
    }
    this->fibers.push_back(this->loop.fiber([this](kj::WaitScope &inner) { this->fetchFromOrigin(inner, ReadKind::TakenOver, 0); }));
    const AK::Milliseconds startedAt = this->loop.clock().now();
    AK::Milliseconds viewedAt = startedAt;
    while (this->active()) {
        this->loop.sleep(scope, endPollInterval);
        if (this->loop.clock().now() - viewedAt >= viewInterval) {
            viewedAt = this->loop.clock().now();
            this->followView();
        }
        if (this->loop.clock().now() - startedAt >= firstAnswersTime) {
            this->watch.noteOffers(this->offeredCount());
        }
    }
    // A transfer without bytes must not delay the next version until its timeout, so the fibers are cancelled.
    const AK::Milliseconds until = this->loop.clock().now() + transferGracePeriod;
    while (!this->held->complete() && !this->inFlight.empty() && this->loop.clock().now() < until) {
        this->loop.sleep(scope, endPollInterval);
    }
    this->fibers.clear();
}

std::vector<uint32_t> SwarmFetch::sourceCounts() const
{
    std::vector<uint32_t> counts(this->held->chunkCount(), 0);
    for (const PeerState &state : this->peers) {
        for (size_t i = 0; i < state.offered.size() && state.usable(); ++i) {
            counts[i] += state.offered[i] ? 1 : 0;
        }
    }
    return counts;
}

size_t SwarmFetch::offeredCount() const
{
    const std::vector<uint32_t> sources = this->sourceCounts();
    size_t count = 0;
    for (uint32_t i = 0; i < sources.size(); ++i) {
        count += sources[i] > 0 && !this->held->has(i) ? 1 : 0;
    }
    return count;
}

std::vector<bool> SwarmFetch::seenChunks() const
{
    const std::vector<uint32_t> sources = this->sourceCounts();
    std::vector<bool> seen(sources.size(), false);
    for (uint32_t i = 0; i < seen.size(); ++i) {
        seen[i] = sources[i] > 0 || this->held->has(i);
    }
    return seen;
}

FetchScope SwarmFetch::scopeOf(uint32_t chunk, bool offered, AK::Milliseconds now) const
{
    if (this->plan) {
        return scheduledScope({this->inOriginRegion(), this->ranks[chunk], overdueTime(*this->plan, chunk, now), offered, isTakenOver(*this->plan, chunk)});
    }
    return allowedScope({this->inOriginRegion(), this->ranks[chunk], now - this->lastProgressAt, now - this->startedAt}, FetchRuleSettings{});
}

std::vector<bool> SwarmFetch::allowedChunks(FetchScope scope, const std::vector<uint32_t> &sources) const
{
    std::vector<bool> result(this->held->chunkCount(), false);
    const AK::Milliseconds now = this->loop.clock().now();
    for (uint32_t i = 0; i < result.size(); ++i) {
        if (this->held->has(i) || this->inFlight.contains(i)) {
            continue;
        }
        const HeldVersion::RefusedReads refused = this->held->refusedReads(i);
        if (scope == FetchScope::Origin && refused.count > 0 && now - refused.lastAt < refusedReadDelay(refused.count)) {
            continue;
        }
        const FetchScope allowed = this->scopeOf(i, sources[i] > 0, now);
        // From the origin an agent reads only the chunks that it is responsible for.
        result[i] = scope == FetchScope::Origin ? allowed == FetchScope::Origin : static_cast<int>(scope) <= static_cast<int>(allowed);
    }
    return result;
}

std::optional<uint32_t> SwarmFetch::chooseChunk(const std::vector<bool> &offered, FetchScope scope)
{
    const std::vector<uint32_t> sources = this->sourceCounts();
    return LibWeights::chooseRarest(this->allowedChunks(scope, sources), offered, sources, this->random);
}

int SwarmFetch::peerFetchLimit() const
{
    return this->plan && this->originReadsInFlight > 0 ? maxPeerFetchesBesideOrigin : maxPeerFetches;
}

bool SwarmFetch::storeChunk(uint32_t index, std::string data)
{
    if (const absl::Status status = this->held->put(index, std::move(data)); !status.ok()) {
        this->logger.warning("chunk_refused", {{"version", this->version}, {"chunk", index}, {"reason", std::string(status.message())}});
        return false;
    }
    this->lastProgressAt = this->loop.clock().now();
    return true;
}

void SwarmFetch::pause(kj::WaitScope &scope, AK::Milliseconds duration)
{
    if (this->active()) {
        this->loop.sleep(scope, duration);
    }
}

bool SwarmFetch::refreshOffers(kj::WaitScope &scope, LibPeers::PeerClient &client, PeerState &state)
{
    const auto bits = client.heldChunks(scope, this->model, this->version, this->loop.clock().now() + peerQueryTimeout);
    if (!bits.ok()) {
        state.offered.clear();
        return false;
    }
    state.offered = unpackBitmap(*bits, this->held->chunkCount());
    state.offeredAt = this->loop.clock().now();
    return true;
}

void SwarmFetch::fetchFromPeer(kj::WaitScope &scope, PeerState &state)
{
    LibPeers::PeerClient client(this->loop, state.peer.rpcAddress);
    const FetchScope fetchScope = state.peer.member.region == this->self.region ? FetchScope::SameRegion : FetchScope::AnyRegion;
    while (this->active() && state.usable()) {
        if (state.standby && !this->needsStandby()) {
            this->pause(scope, idlePollInterval);
            continue;
        }
        if (this->peerFetches >= this->peerFetchLimit()) {
            const bool outdated = this->plan && this->loop.clock().now() - state.offeredAt > maxOfferAge;
            this->pause(scope, outdated && !this->refreshOffers(scope, client, state) ? errorRetryDelay : fetchSlotPollInterval);
            continue;
        }
        std::optional<uint32_t> chunk = this->chooseChunk(state.offered, fetchScope);
        if (!chunk) {
            if (!this->refreshOffers(scope, client, state)) {
                this->pause(scope, errorRetryDelay);
                continue;
            }
            chunk = this->chooseChunk(state.offered, fetchScope);
        }
        if (!chunk) {
            this->pause(scope, idlePollInterval);
            continue;
        }
        this->inFlight.insert(*chunk);
        ++this->peerFetches;
        auto data = client.chunk(scope, this->model, this->version, *chunk, this->loop.clock().now() + chunkTimeout);
        --this->peerFetches;
        this->inFlight.erase(*chunk);
        if (data.ok() && data->empty()) {
            // The peer is busy with other uploads; its bitmap stays valid.
            this->pause(scope, busyRetryDelay);
        } else if (!data.ok()) {
            state.offered.clear();
            this->pause(scope, errorRetryDelay);
        } else if (!this->storeChunk(*chunk, std::move(*data))) {
            state.excluded = true;
        }
    }
}

} // namespace WeightAgent
