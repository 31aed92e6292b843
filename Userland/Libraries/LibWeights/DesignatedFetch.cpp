#include <LibWeights/WeightFetch.h>

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibWeights/ChunkChoice.h>
#include <LibWeights/OriginRead.h>
#include <algorithm>

// The part of WeightFetch that brings chunks into a region: from the origin or across a region link.

namespace LibWeights
{

namespace
{

// Earlier agents of the other region that are looked at for one chunk.
constexpr size_t remoteCandidates = 3;
// Later ranks are looked at in later rounds; bounds the chunk maps asked in one round.
constexpr size_t replacementLimit = 8;
// Without an origin fetch of its own, an agent does not know how busy the origin is and waits longer.
constexpr int unknownOriginFactor = 4;
constexpr int busyOriginFactor = 3;
// Patience with an agent that holds a chunk which does not come, in turns: a chunk takes a few hops.
constexpr int undeliveredFactor = 2;
// A busy origin shares its link among all readers, so a whole chunk may take longer than the answer to one request.
constexpr int originDeadlineFactor = 3;

bool bitOf(std::string_view bitmap, uint32_t index)
{
    return index / 8 < bitmap.size() && ((static_cast<unsigned char>(bitmap[index / 8]) >> (index % 8)) & 1) != 0;
}

// Position of `self` in fetchOrder() without the cost of sorting.
size_t rankOf(const std::string &self, const std::string &root, uint32_t index, const std::vector<std::string> &names, const std::set<std::string> &group)
{
    const std::string key = AK::concat(root, "/", index);
    const bool member = group.contains(self);
    const std::pair own(AK::rendezvousWeight(key, self), self);
    const auto before = std::count_if(names.begin(), names.end(), [&](const std::string &name) {
        return group.contains(name) == member && std::pair(AK::rendezvousWeight(key, name), name) > own;
    });
    return static_cast<size_t>(before) + (member ? 0 : group.size());
}

} // namespace

size_t WeightFetch::designatedIn(const std::string &region) const
{
    return region == this->context.settings.agent.originRegion ? designatedNearOrigin : designatedElsewhere;
}

void WeightFetch::runDesignated()
{
    PeerLinks links(this->context.clock, this->context.identity, this->context.settings.timing.rpcTimeoutMs);
    std::vector<size_t> ranks;
    PeerDirectory directory;
    std::vector<std::string> names;
    while (this->active()) {
        directory = this->currentPeers();
        const auto own = directory.namesByRegion.find(this->context.settings.region);
        std::vector<std::string> found = own == directory.namesByRegion.end() ? std::vector<std::string>{this->context.settings.name} : own->second;
        const size_t total = this->current->chunks().size();
        if (found != names) {
            names = std::move(found);
            ranks.resize(total);
            const std::vector<std::string> first = designatedGroup(this->wanted.root, names, this->designatedIn(this->context.settings.region));
            const std::set<std::string> group(first.begin(), first.end());
            for (uint32_t i = 0; i < total; ++i) {
                ranks[i] = rankOf(this->context.settings.name, this->wanted.root, i, names, group);
            }
        }
        std::vector<uint32_t> designated;
        std::vector<std::pair<size_t, uint32_t>> later;
        for (uint32_t i = 0; i < total; ++i) {
            if (!this->current->isWanted(i) || this->current->hasSource(i)) {
                continue;
            }
            if (ranks[i] == 0) {
                designated.push_back(i);
            } else {
                later.emplace_back(ranks[i], i);
            }
        }
        std::shuffle(designated.begin(), designated.end(), this->random);
        bool fetched = false;
        for (const uint32_t index : designated) {
            fetched = fetched || (this->active() && this->fetchDesignated(links, directory, index));
        }
        if (!fetched && !this->replacePredecessors(links, directory, later) && this->active()) {
            // Waits for less than a poll interval, because a chunk that arrives at another agent gives no signal here.
            this->current->waitForChange(this->context.settings.agent.chunkMapIntervalMs / 2);
        }
    }
}

bool WeightFetch::fetchDesignated(PeerLinks &links, const PeerDirectory &directory, uint32_t index)
{
    const std::string &originRegion = this->context.settings.agent.originRegion;
    const bool nearOrigin = this->context.settings.region == originRegion || !directory.namesByRegion.contains(originRegion);
    return nearOrigin ? this->fetchFromOrigin(index) : this->fetchAcrossRegions(links, directory, index);
}

bool WeightFetch::fetchFromOrigin(uint32_t index)
{
    if (!this->current->take(index)) {
        return false;
    }
    const ChunkReference &chunk = this->current->chunks()[index];
    this->context.downlink.waitUrgent(chunk.bytes, [this] { return this->stopping.load(); });
    LibHttp::HttpRequest request;
    request.path = AK::concat(weightsPath(this->wanted.model, this->wanted.adapter, this->wanted.version), "/files/",
                              LibHttp::urlEncode(this->current->manifest().files[chunk.file].name));
    request.headers["range"] = AK::concat("bytes=", chunk.offset, "-", chunk.offset + chunk.bytes - 1);
    const AK::Milliseconds begin = this->context.clock.now();
    const AK::Milliseconds deadline = fetchTimeout(chunk.bytes, this->expectedRate(), originDeadlineFactor * this->context.settings.timing.storeTimeoutMs);
    absl::StatusOr<std::string> data =
        readOriginRange(this->context.settings.agent.weightStore, request, chunk.bytes, deadline, [this] { return this->stopping.load(); });
    if (!data.ok()) {
        this->logger.info("origin_read_failed", {{"chunk", index}, {"reason", std::string(data.status().message())}});
    }
    FetchResult result = FetchResult::Retry;
    if (this->keep(index, std::move(data), "origin", "origin", result)) {
        this->slowestOriginFetch = std::max({this->slowestOriginFetch, AK::Milliseconds{1}, this->context.clock.now() - begin});
        return true;
    }
    this->pause(this->context.settings.agent.chunkMapIntervalMs);
    return false;
}

bool WeightFetch::fetchAcrossRegions(PeerLinks &links, const PeerDirectory &directory, uint32_t index)
{
    for (const auto &[region, names] : directory.namesByRegion) {
        if (region == this->context.settings.region) {
            continue;
        }
        const std::vector<std::string> order = fetchOrder(this->wanted.root, std::to_string(index), names, this->designatedIn(region));
        for (size_t i = 0; i < order.size() && i < remoteCandidates; ++i) {
            const AK::Endpoint &endpoint = directory.endpoints.at(order[i]);
            if (this->isExcluded(order[i])
                || !bitOf(links.view(order[i], endpoint, this->wanted.root, this->context.settings.agent.chunkMapIntervalMs).bitmap, index)) {
                continue;
            }
            if (!this->current->take(index)) {
                return false;
            }
            if (this->fetchFromPeer(links, order[i], endpoint, index, "cross_region") == FetchResult::Held) {
                return true;
            }
        }
    }
    return false;
}

AK::Milliseconds WeightFetch::patience() const
{
    const AK::Milliseconds turn = this->context.settings.agent.designatedTimeoutMs;
    return this->slowestOriginFetch == 0 ? unknownOriginFactor * turn : std::max(turn, busyOriginFactor * this->slowestOriginFetch);
}

// Acts for chunks whose designated fetcher does not, one at a time.
bool WeightFetch::replacePredecessors(PeerLinks &links, const PeerDirectory &directory, const std::vector<std::pair<size_t, uint32_t>> &later)
{
    const AK::Milliseconds elapsed = this->context.clock.now() - this->startedAt;
    std::vector<std::pair<size_t, uint32_t>> due;
    for (const auto &[rank, index] : later) {
        if (static_cast<AK::Milliseconds>(rank) * this->context.settings.agent.designatedTimeoutMs <= elapsed) {
            due.emplace_back(rank, index);
        }
    }
    // Chunks of equal rank are looked at in random order, so that one that cannot be had does not keep the others waiting.
    std::shuffle(due.begin(), due.end(), this->random);
    std::stable_sort(due.begin(), due.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    due.resize(std::min(due.size(), replacementLimit));
    return std::any_of(due.begin(), due.end(), [&](const auto &chunk) { return this->active() && this->replaceOne(links, directory, chunk.second); });
}

bool WeightFetch::replaceOne(PeerLinks &links, const PeerDirectory &directory, uint32_t index)
{
    const auto own = directory.namesByRegion.find(this->context.settings.region);
    if (own == directory.namesByRegion.end()) {
        return false;
    }
    const std::vector<std::string> order = fetchOrder(this->wanted.root, std::to_string(index), own->second, this->designatedIn(own->first));
    const AK::Milliseconds now = this->context.clock.now();
    std::vector<PredecessorView> predecessors;
    for (const std::string &name : order) {
        if (name == this->context.settings.name) {
            break;
        }
        const AK::Endpoint &endpoint = directory.endpoints.at(name);
        const PeerLinks::View &view = links.view(name, endpoint, this->wanted.root, this->context.settings.agent.chunkMapIntervalMs);
        if (view.reachable && !this->isExcluded(name) && bitOf(view.bitmap, index)) {
            // It has the chunk; the neighbours will offer it after a while. Taking it here would load one agent with all fetches. But an agent may hold
            // chunks and never send them (it is paused, or its link stalls); then the chunk counts as one that nobody brings.
            const AK::Milliseconds offeredAt = this->offeredSince.try_emplace(index, now).first->second;
            if (now - offeredAt < static_cast<AK::Milliseconds>(predecessors.size() + 1) * undeliveredFactor * this->patience()) {
                return false;
            }
            predecessors.push_back({false, 0});
            continue;
        }
        predecessors.push_back({view.reachable && !this->isExcluded(name), view.lastProgressAt});
    }
    const auto rank = static_cast<AK::Milliseconds>(predecessors.size());
    if (!mayReplace(predecessors, now, rank * this->patience())) {
        return false;
    }
    this->context.metrics.add("catkinlink_weights_designations_replaced_total");
    return this->fetchDesignated(links, directory, index);
}

} // namespace LibWeights
