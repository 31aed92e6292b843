#include "SwarmFetch.h"

#include <AK/StatusMacros.h>
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
// Reads of the manifest from the origin, one after another, before the peers are asked again.
constexpr int maxManifestReads = 3;
// Pause before a peer without needed chunks is asked again.
constexpr AK::Milliseconds idlePollInterval = 60;
constexpr AK::Milliseconds errorRetryDelay = 300;
constexpr AK::Milliseconds busyRetryDelay = 80;
// Concurrent chunk fetches from other agents: enough to fill the link, but few enough that live requests are not queued behind them for long.
constexpr int maxPeerFetches = 4;
constexpr AK::Milliseconds fetchSlotPollInterval = 15;
// Number of peers to fetch from, by region.
constexpr size_t neighboursInOwnRegion = 7;
constexpr size_t neighboursInOriginRegion = 16;
constexpr size_t neighboursInOtherRegions = 2;

std::vector<bool> unpackBitmap(const std::string &bytes, size_t count)
{
    std::vector<bool> bits(count, false);
    for (size_t i = 0; i < count && i / 8 < bytes.size(); ++i) {
        bits[i] = ((static_cast<unsigned char>(bytes[i / 8]) >> (i % 8)) & 1U) != 0;
    }
    return bits;
}

} // namespace

SwarmFetch::SwarmFetch(LibFiber::Loop &loop, WeightsOrigin &origin, ManifestProof &proof, SwarmSelf self, std::string model, int64_t version, SwarmView view,
                       AK::Milliseconds startedAt)
    : loop(loop)
    , origin(origin)
    , proof(proof)
    , self(std::move(self))
    , model(std::move(model))
    , version(version)
    , view(std::move(view))
    , startedAt(startedAt)
    , random(AK::seededFromSystem())
{
    std::vector<std::string> regionAgents{this->self.name};
    std::vector<std::string> otherAgents{this->self.name};
    std::vector<std::string> originRegionAgents{this->self.name};
    for (const SwarmPeer &peer : this->view.peers) {
        this->members.push_back(peer.member);
        if (peer.member.region == this->self.region) {
            regionAgents.push_back(peer.member.name);
        } else {
            (peer.member.region == this->view.originRegion ? originRegionAgents : otherAgents).push_back(peer.member.name);
        }
    }
    const std::string key = AK::concat(this->model, "/", this->version);
    std::vector<std::string> chosen = LibWeights::chooseNeighbours(this->self.name, key, regionAgents, neighboursInOwnRegion);
    // A chunk that this agent fetches into its region first arrives at one agent of the origin's region, which may be any of them.
    for (const auto &[names, count] : {std::pair(originRegionAgents, neighboursInOriginRegion), std::pair(otherAgents, neighboursInOtherRegions)}) {
        for (const std::string &name : LibWeights::chooseNeighbours(this->self.name, key, names, count)) {
            chosen.push_back(name);
        }
    }
    for (const SwarmPeer &peer : this->view.peers) {
        if (std::find(chosen.begin(), chosen.end(), peer.member.name) != chosen.end()) {
            this->peers.push_back({peer, {}, false});
        }
    }
}

bool SwarmFetch::inOriginRegion() const
{
    return this->self.region == this->view.originRegion;
}

size_t SwarmFetch::regionSize() const
{
    const auto others =
        std::count_if(this->members.begin(), this->members.end(), [&](const SwarmMember &member) { return member.region == this->self.region; });
    return static_cast<size_t>(others) + 1;
}

absl::StatusOr<std::string> SwarmFetch::readManifestFromOrigin(kj::WaitScope &scope)
{
    for (int read = 0; read < maxManifestReads; ++read) {
        CATKINLINK_ASSIGN(std::string text, this->origin.manifestText(scope, *this->view.origin, this->model, this->version));
        CATKINLINK_ASSIGN(const WeightsManifest manifest, this->origin.parseManifest(text));
        if (manifest.version != this->version) {
            return absl::DataLossError(AK::concat("the origin sent a manifest of version ", manifest.version, " instead of ", this->version));
        }
        if (this->proof.confirm(this->model, manifest)) {
            return text;
        }
    }
    return absl::DataLossError(AK::concat(maxManifestReads, " reads of the manifest of version ", this->version, " differ"));
}

absl::StatusOr<std::string> SwarmFetch::readManifest(kj::WaitScope &scope)
{
    const size_t rank = regionRank(this->self.name, this->self.region, this->members, AK::concat(this->model, "/", this->version), 0);
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
    return !this->held->complete() && this->shouldContinue();
}

void SwarmFetch::fetchAll(kj::WaitScope &scope, HeldVersion &target, const std::function<bool()> &continueCondition)
{
    this->held = &target;
    this->shouldContinue = continueCondition;
    this->lastProgressAt = this->loop.clock().now();
    this->originReads = originConcurrency(this->regionSize(), this->view.originConnections);
    const size_t readers = this->inOriginRegion() ? this->originReads.readers : this->regionSize();
    for (uint32_t i = 0; i < target.chunkCount(); ++i) {
        this->ranks.push_back(regionRank(this->self.name, this->self.region, this->members, AK::concat(this->model, "/", this->version), i, readers));
    }
    auto fetches = kj::heapArrayBuilder<kj::Promise<void>>(this->peers.size() + this->originReads.readsPerReader);
    for (size_t i = 0; i < this->peers.size(); ++i) {
        fetches.add(this->loop.fiber([this, i](kj::WaitScope &inner) { this->fetchFromPeer(inner, i); }));
    }
    for (size_t i = 0; i < this->originReads.readsPerReader; ++i) {
        fetches.add(this->loop.fiber([this](kj::WaitScope &inner) { this->fetchFromOrigin(inner); }));
    }
    kj::joinPromises(fetches.finish()).wait(scope);
    this->logger.info("fetched",
                      {{"model", this->model},
                       {"version", this->version},
                       {"chunks", target.heldCount()},
                       {"of", target.chunkCount()},
                       {"origin_bytes", this->originBytes},
                       {"peers", this->peers.size()}});
}

std::vector<bool> SwarmFetch::allowedChunks(FetchScope scope) const
{
    std::vector<bool> result(this->held->chunkCount(), false);
    const FetchRuleSettings settings;
    const AK::Milliseconds now = this->loop.clock().now();
    const AK::Milliseconds stalled = now - this->lastProgressAt;
    for (uint32_t i = 0; i < result.size(); ++i) {
        if (this->held->has(i) || this->inFlight.contains(i)) {
            continue;
        }
        const HeldVersion::RefusedReads refused = this->held->refusedReads(i);
        if (scope == FetchScope::Origin && refused.count > 0 && now - refused.lastAt < refusedReadDelay(refused.count)) {
            continue;
        }
        const FetchScope allowed = allowedScope({this->inOriginRegion(), this->ranks[i], stalled, now - this->startedAt}, settings);
        // From the origin an agent reads only the chunks that it is responsible for.
        result[i] = scope == FetchScope::Origin ? allowed == FetchScope::Origin : static_cast<int>(scope) <= static_cast<int>(allowed);
    }
    return result;
}

std::optional<uint32_t> SwarmFetch::chooseChunk(const std::vector<bool> &offered, FetchScope scope)
{
    std::vector<uint32_t> sourceCounts(this->held->chunkCount(), 0);
    for (const PeerState &state : this->peers) {
        for (size_t i = 0; i < state.offered.size(); ++i) {
            sourceCounts[i] += state.offered[i] ? 1 : 0;
        }
    }
    return LibWeights::chooseRarest(this->allowedChunks(scope), offered, sourceCounts, this->random);
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

void SwarmFetch::fetchFromPeer(kj::WaitScope &scope, size_t index)
{
    PeerState &state = this->peers[index];
    LibPeers::PeerClient client(this->loop, state.peer.rpcAddress);
    const FetchScope fetchScope = state.peer.member.region == this->self.region ? FetchScope::SameRegion : FetchScope::AnyRegion;
    while (this->active() && !state.excluded) {
        if (this->peerFetches >= maxPeerFetches) {
            this->pause(scope, fetchSlotPollInterval);
            continue;
        }
        std::optional<uint32_t> chunk = this->chooseChunk(state.offered, fetchScope);
        if (!chunk) {
            const auto bits = client.heldChunks(scope, this->model, this->version, this->loop.clock().now() + peerQueryTimeout);
            if (!bits.ok()) {
                state.offered.clear();
                this->pause(scope, errorRetryDelay);
                continue;
            }
            state.offered = unpackBitmap(*bits, this->held->chunkCount());
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

void SwarmFetch::fetchFromOrigin(kj::WaitScope &scope)
{
    const std::vector<bool> allChunks(this->held->chunkCount(), true);
    while (this->active() && this->view.origin) {
        const std::optional<uint32_t> chunk = this->chooseChunk(allChunks, FetchScope::Origin);
        if (!chunk) {
            this->pause(scope, idlePollInterval);
            continue;
        }
        this->inFlight.insert(*chunk);
        auto data = this->origin.chunk(scope, *this->view.origin, this->model, this->version, *chunk);
        this->inFlight.erase(*chunk);
        if (data.ok()) {
            this->originBytes += data->size();
        }
        const bool reached = data.ok();
        if (reached != this->originReached) {
            this->originReached = reached;
            this->logger.info(reached ? "origin_reached" : "origin_lost",
                              {{"version", this->version}, {"chunks", this->held->heldCount()}, {"reason", std::string(data.status().message())}});
        }
        if (!data.ok()) {
            this->pause(scope, errorRetryDelay);
        } else if (!this->storeChunk(*chunk, std::move(*data))) {
            this->held->noteRefusedRead(*chunk, this->loop.clock().now());
        }
    }
}

} // namespace WeightAgent
