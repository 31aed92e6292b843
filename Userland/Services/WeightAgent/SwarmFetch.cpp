#include "SwarmFetch.h"

#include <AK/Text.h>
#include <LibWeights/ChunkChoice.h>
#include <algorithm>

namespace WeightAgent
{

namespace
{

// A chunk takes about 30 ms on a free link; many transfers share it.
constexpr AK::Milliseconds chunkTimeout = 1'500;
constexpr AK::Milliseconds mapTimeout = 600;
constexpr AK::Milliseconds manifestTimeout = 800;
// Pause before a peer that offers nothing new is asked again.
constexpr AK::Milliseconds askAgain = 60;
constexpr AK::Milliseconds afterError = 300;
constexpr AK::Milliseconds afterBusy = 80;
// Chunks on their way from other agents at a time: enough to fill the link, and few that wait on it before live requests.
constexpr int peerReadLimit = 4;
constexpr AK::Milliseconds waitForRead = 15;
// Peers asked at a time, in the region and outside.
constexpr size_t neighboursInRegion = 7;
constexpr size_t neighboursNearOrigin = 16;
constexpr size_t neighboursElsewhere = 2;

std::vector<bool> bitsOf(const std::string &bytes, size_t count)
{
    std::vector<bool> bits(count, false);
    for (size_t i = 0; i < count && i / 8 < bytes.size(); ++i) {
        bits[i] = ((static_cast<unsigned char>(bytes[i / 8]) >> (i % 8)) & 1U) != 0;
    }
    return bits;
}

} // namespace

SwarmFetch::SwarmFetch(LibFiber::Loop &loop, WeightsOrigin &origin, SwarmSelf self, std::string model, int64_t version, SwarmView view,
                       AK::Milliseconds beganAt)
    : loop(loop)
    , origin(origin)
    , self(std::move(self))
    , model(std::move(model))
    , version(version)
    , view(std::move(view))
    , beganAt(beganAt)
    , random(AK::seededFromSystem())
{
    std::vector<std::string> near{this->self.name};
    std::vector<std::string> far{this->self.name};
    std::vector<std::string> nearOrigin{this->self.name};
    for (const SwarmPeer &peer : this->view.peers) {
        this->members.push_back(peer.member);
        if (peer.member.region == this->self.region) {
            near.push_back(peer.member.name);
        } else {
            (peer.member.region == this->view.originRegion ? nearOrigin : far).push_back(peer.member.name);
        }
    }
    const std::string key = AK::concat(this->model, "/", this->version);
    std::vector<std::string> chosen = LibWeights::chooseNeighbours(this->self.name, key, near, neighboursInRegion);
    // A chunk that this agent brings into its region is first at one agent near the origin, and it may be any of them.
    for (const auto &[names, count] : {std::pair(nearOrigin, neighboursNearOrigin), std::pair(far, neighboursElsewhere)}) {
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

bool SwarmFetch::nearOrigin() const
{
    return this->self.region == this->view.originRegion;
}

size_t SwarmFetch::regionSize() const
{
    const auto others =
        std::count_if(this->members.begin(), this->members.end(), [&](const SwarmMember &member) { return member.region == this->self.region; });
    return static_cast<size_t>(others) + 1;
}

absl::StatusOr<std::string> SwarmFetch::readManifest(kj::WaitScope &scope)
{
    const size_t rank = regionRank(this->self.name, this->self.region, this->members, AK::concat(this->model, "/", this->version), 0);
    const auto originsTurn = [&] {
        return this->view.origin && readsManifest(this->nearOrigin(), rank, this->loop.clock().now() - this->beganAt);
    };
    if (this->nearOrigin() && rank == 0 && originsTurn()) {
        absl::StatusOr<std::string> text = this->origin.manifestText(scope, *this->view.origin, this->model, this->version);
        if (text.ok()) {
            return text;
        }
    }
    for (const PeerState &state : this->peers) {
        LibPeers::PeerClient link(this->loop, state.peer.rpcAddress);
        absl::StatusOr<std::string> text = link.manifest(scope, this->model, this->version, this->loop.clock().now() + mapTimeout);
        if (text.ok() && !text->empty()) {
            return text;
        }
    }
    if (originsTurn()) {
        return this->origin.manifestText(scope, *this->view.origin, this->model, this->version);
    }
    return absl::UnavailableError("nobody has the manifest");
}

bool SwarmFetch::running() const
{
    return !this->held->complete() && this->wanted();
}

void SwarmFetch::fetchAll(kj::WaitScope &scope, HeldVersion &target, const std::function<bool()> &isWanted)
{
    this->held = &target;
    this->wanted = isWanted;
    this->progressAt = this->loop.clock().now();
    this->use = originUse(this->regionSize(), this->view.originConnections);
    const size_t readers = this->nearOrigin() ? this->use.readers : this->regionSize();
    for (uint32_t i = 0; i < target.chunkCount(); ++i) {
        this->ranks.push_back(regionRank(this->self.name, this->self.region, this->members, AK::concat(this->model, "/", this->version), i, readers));
    }
    auto fibers = kj::heapArrayBuilder<kj::Promise<void>>(this->peers.size() + this->use.readsEach);
    for (size_t i = 0; i < this->peers.size(); ++i) {
        fibers.add(this->loop.fiber([this, i](kj::WaitScope &inner) { this->askPeer(inner, i); }));
    }
    for (size_t i = 0; i < this->use.readsEach; ++i) {
        fibers.add(this->loop.fiber([this](kj::WaitScope &inner) { this->askOrigin(inner); }));
    }
    kj::joinPromises(fibers.finish()).wait(scope);
    this->logger.info("fetched",
                      {{"model", this->model},
                       {"version", this->version},
                       {"chunks", target.heldCount()},
                       {"of", target.chunkCount()},
                       {"origin_bytes", this->originBytes},
                       {"peers", this->peers.size()}});
}

std::vector<bool> SwarmFetch::wantedIn(FetchScope scope) const
{
    std::vector<bool> result(this->held->chunkCount(), false);
    const FetchRuleSettings rules;
    const AK::Milliseconds now = this->loop.clock().now();
    const AK::Milliseconds stalled = now - this->progressAt;
    for (uint32_t i = 0; i < result.size(); ++i) {
        if (this->held->has(i) || this->underWay.contains(i)) {
            continue;
        }
        const FetchScope allowed = allowedScope({this->nearOrigin(), this->ranks[i], stalled, now - this->beganAt}, rules);
        // The origin is for the chunks that this agent has to bring, and only for these.
        result[i] = scope == FetchScope::Origin ? allowed == FetchScope::Origin : static_cast<int>(scope) <= static_cast<int>(allowed);
    }
    return result;
}

std::optional<uint32_t> SwarmFetch::choose(const std::vector<bool> &offered, FetchScope scope)
{
    std::vector<uint32_t> holders(this->held->chunkCount(), 0);
    for (const PeerState &state : this->peers) {
        for (size_t i = 0; i < state.offered.size(); ++i) {
            holders[i] += state.offered[i] ? 1 : 0;
        }
    }
    return LibWeights::chooseRarest(this->wantedIn(scope), offered, holders, this->random);
}

bool SwarmFetch::take(uint32_t index, std::string data)
{
    if (const absl::Status status = this->held->put(index, std::move(data)); !status.ok()) {
        this->logger.warning("chunk_refused", {{"version", this->version}, {"chunk", index}, {"reason", std::string(status.message())}});
        return false;
    }
    this->progressAt = this->loop.clock().now();
    return true;
}

void SwarmFetch::pause(kj::WaitScope &scope, AK::Milliseconds duration)
{
    if (this->running()) {
        this->loop.sleep(scope, duration);
    }
}

void SwarmFetch::askPeer(kj::WaitScope &scope, size_t index)
{
    PeerState &state = this->peers[index];
    LibPeers::PeerClient link(this->loop, state.peer.rpcAddress);
    const FetchScope reach = state.peer.member.region == this->self.region ? FetchScope::SameRegion : FetchScope::AnyRegion;
    while (this->running() && !state.excluded) {
        if (this->peerReads >= peerReadLimit) {
            this->pause(scope, waitForRead);
            continue;
        }
        std::optional<uint32_t> chunk = this->choose(state.offered, reach);
        if (!chunk) {
            const auto bits = link.heldChunks(scope, this->model, this->version, this->loop.clock().now() + mapTimeout);
            if (!bits.ok()) {
                state.offered.clear();
                this->pause(scope, afterError);
                continue;
            }
            state.offered = bitsOf(*bits, this->held->chunkCount());
            chunk = this->choose(state.offered, reach);
        }
        if (!chunk) {
            this->pause(scope, askAgain);
            continue;
        }
        this->underWay.insert(*chunk);
        ++this->peerReads;
        auto data = link.chunk(scope, this->model, this->version, *chunk, this->loop.clock().now() + chunkTimeout);
        --this->peerReads;
        this->underWay.erase(*chunk);
        if (data.ok() && data->empty()) {
            // The peer sends to others; what it offers stays true.
            this->pause(scope, afterBusy);
        } else if (!data.ok()) {
            state.offered.clear();
            this->pause(scope, afterError);
        } else if (!this->take(*chunk, std::move(*data))) {
            state.excluded = true;
        }
    }
}

void SwarmFetch::askOrigin(kj::WaitScope &scope)
{
    const std::vector<bool> everything(this->held->chunkCount(), true);
    while (this->running() && this->view.origin) {
        const std::optional<uint32_t> chunk = this->choose(everything, FetchScope::Origin);
        if (!chunk) {
            this->pause(scope, askAgain);
            continue;
        }
        this->underWay.insert(*chunk);
        auto data = this->origin.chunk(scope, *this->view.origin, this->model, this->version, *chunk);
        this->underWay.erase(*chunk);
        if (data.ok()) {
            this->originBytes += data->size();
        }
        if (!data.ok() || !this->take(*chunk, std::move(*data))) {
            this->pause(scope, afterError);
        }
    }
}

} // namespace WeightAgent
