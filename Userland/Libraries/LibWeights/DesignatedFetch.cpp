#include <LibWeights/WeightFetch.h>

#include <AK/Hash.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibWeights/ChunkChoice.h>
#include <LibWeights/OriginRead.h>
#include <algorithm>

// The part of WeightFetch that fetches chunks into a region, from the origin or across a region link.

namespace LibWeights
{

namespace
{

// Number of agents of another region, first in fetch order, that are tried for one chunk.
constexpr size_t maxRemoteCandidates = 3;
// Limits the polls of one round; chunks of higher ranks are examined in later rounds.
constexpr size_t maxReplacementsPerRound = 8;
// An agent that has not fetched from the origin itself does not know how busy it is, and waits longer.
constexpr int unknownOriginFactor = 4;
constexpr int busyOriginFactor = 3;
// Multiple of the replacement timeout to wait for a chunk that an earlier agent already holds; a chunk arrives over a few hops.
constexpr int undeliveredFactor = 2;
// Polls without an answer, one after another, after which an agent counts as gone. A busy host answers some late.
constexpr int pollsUntilGone = 3;
// Failed requests, one after another, after which an agent counts as one that holds chunks and does not send them, and time until it is asked again.
constexpr int requestsUntilRefused = 2;
constexpr AK::Milliseconds refusedRetryMs = 5'000;
// Multiple of the store timeout for reading one chunk: a busy origin shares its link among all readers.
constexpr int originDeadlineFactor = 3;

bool bitAt(std::string_view bitmap, uint32_t index)
{
    return index / 8 < bitmap.size() && ((static_cast<unsigned char>(bitmap[index / 8]) >> (index % 8)) & 1) != 0;
}

// Rank of `self` in fetchOrder(), computed without sorting.
size_t rankOf(const std::string &self, const std::string &root, uint32_t index, const std::vector<std::string> &names, const std::set<std::string> &group)
{
    const std::string key = AK::concat(root, "/", index);
    const bool inGroup = group.contains(self);
    const std::pair ownWeight(AK::rendezvousWeight(key, self), self);
    const auto predecessors = std::count_if(names.begin(), names.end(), [&](const std::string &name) {
        return group.contains(name) == inGroup && std::pair(AK::rendezvousWeight(key, name), name) > ownWeight;
    });
    return static_cast<size_t>(predecessors) + (inGroup ? 0 : group.size());
}

} // namespace

size_t WeightFetch::designatedCount(const std::string &region) const
{
    return region == this->context.settings.agent.originRegion ? designatedInOriginRegion : designatedInOtherRegions;
}

void WeightFetch::runDesignatedTask()
{
    PeerConnections connections(this->context.clock, this->context.identity, this->context.settings.timing.rpcTimeoutMs);
    std::vector<size_t> ranks;
    PeerDirectory directory;
    std::vector<std::string> names;
    while (this->active()) {
        directory = this->currentPeers();
        const auto ownRegion = directory.namesByRegion.find(this->context.settings.region);
        std::vector<std::string> currentNames =
            ownRegion == directory.namesByRegion.end() ? std::vector<std::string>{this->context.settings.name} : ownRegion->second;
        const size_t total = this->fetchProgress->chunks().size();
        if (currentNames != names) {
            names = std::move(currentNames);
            ranks.resize(total);
            const std::vector<std::string> first = designatedGroup(this->weightsTarget.root, names, this->designatedCount(this->context.settings.region));
            const std::set<std::string> group(first.begin(), first.end());
            for (uint32_t i = 0; i < total; ++i) {
                ranks[i] = rankOf(this->context.settings.name, this->weightsTarget.root, i, names, group);
            }
        }
        std::vector<uint32_t> designated;
        std::vector<std::pair<size_t, uint32_t>> nonDesignated;
        for (uint32_t i = 0; i < total; ++i) {
            if (!this->fetchProgress->isNeeded(i) || this->fetchProgress->hasSource(i)) {
                continue;
            }
            if (ranks[i] == 0) {
                designated.push_back(i);
            } else {
                nonDesignated.emplace_back(ranks[i], i);
            }
        }
        std::shuffle(designated.begin(), designated.end(), this->random);
        bool fetched = false;
        for (const uint32_t index : designated) {
            fetched = fetched || (this->active() && this->fetchDesignated(connections, directory, index));
        }
        if (!fetched && !this->replacePredecessors(connections, directory, nonDesignated) && this->active()) {
            // Waits less than a poll interval, because the arrival of a chunk at another agent is not signalled here.
            this->fetchProgress->waitForChange(this->context.settings.agent.chunkMapIntervalMs / 2);
        }
    }
}

bool WeightFetch::fetchDesignated(PeerConnections &connections, const PeerDirectory &directory, uint32_t index)
{
    const std::string &originRegion = this->context.settings.agent.originRegion;
    const bool fetchesFromOrigin = this->context.settings.region == originRegion || !directory.namesByRegion.contains(originRegion);
    return fetchesFromOrigin ? this->fetchFromOrigin(index) : this->fetchAcrossRegions(connections, directory, index);
}

bool WeightFetch::fetchFromOrigin(uint32_t index)
{
    if (!this->fetchProgress->reserve(index)) {
        return false;
    }
    const ChunkReference &chunk = this->fetchProgress->chunks()[index];
    this->context.downlink.waitUrgent(chunk.bytes, [this] { return this->stopping.load(); });
    LibHttp::HttpRequest request;
    request.path = AK::concat(weightsPath(this->weightsTarget.model, this->weightsTarget.adapter, this->weightsTarget.version), "/files/",
                              LibHttp::urlEncode(this->fetchProgress->manifest().files[chunk.file].name));
    request.headers["range"] = AK::concat("bytes=", chunk.offset, "-", chunk.offset + chunk.bytes - 1);
    const AK::Milliseconds begin = this->context.clock.now();
    const AK::Milliseconds deadline = fetchTimeout(chunk.bytes, this->expectedRate(), originDeadlineFactor * this->context.settings.timing.storeTimeoutMs);
    absl::StatusOr<std::string> data =
        readOriginRange(this->context.settings.agent.weightStore, request, chunk.bytes, deadline, [this] { return this->stopping.load(); });
    if (!data.ok()) {
        this->logger.info("origin_read_failed", {{"chunk", index}, {"reason", std::string(data.status().message())}});
    }
    FetchResult result = FetchResult::Retry;
    if (this->storeChunk(index, std::move(data), "origin", "origin", result)) {
        this->slowestOriginFetch = std::max({this->slowestOriginFetch, AK::Milliseconds{1}, this->context.clock.now() - begin});
        return true;
    }
    this->pause(this->context.settings.agent.chunkMapIntervalMs);
    return false;
}

bool WeightFetch::fetchAcrossRegions(PeerConnections &connections, const PeerDirectory &directory, uint32_t index)
{
    for (const auto &[region, names] : directory.namesByRegion) {
        if (region == this->context.settings.region) {
            continue;
        }
        const std::vector<std::string> order = fetchOrder(this->weightsTarget.root, std::to_string(index), names, this->designatedCount(region));
        for (size_t i = 0; i < order.size() && i < maxRemoteCandidates; ++i) {
            const AK::Endpoint &endpoint = directory.endpoints.at(order[i]);
            if (this->isExcluded(order[i])
                || !bitAt(connections.peerState(order[i], endpoint, this->weightsTarget.root, this->context.settings.agent.chunkMapIntervalMs).bitmap, index)) {
                continue;
            }
            if (!this->fetchProgress->reserve(index)) {
                return false;
            }
            if (this->fetchFromPeer(connections, order[i], endpoint, index, "cross_region") == FetchResult::Stored) {
                return true;
            }
        }
    }
    return false;
}

AK::Milliseconds WeightFetch::replacementTimeout() const
{
    const AK::Milliseconds designatedTimeout = this->context.settings.agent.designatedTimeoutMs;
    return this->slowestOriginFetch == 0 ? unknownOriginFactor * designatedTimeout : std::max(designatedTimeout, busyOriginFactor * this->slowestOriginFetch);
}

// Fetches at most one chunk whose designated fetcher has not delivered it.
bool WeightFetch::replacePredecessors(PeerConnections &connections, const PeerDirectory &directory,
                                      const std::vector<std::pair<size_t, uint32_t>> &nonDesignated)
{
    const AK::Milliseconds elapsed = this->context.clock.now() - this->startedAt;
    std::vector<std::pair<size_t, uint32_t>> due;
    for (const auto &[rank, index] : nonDesignated) {
        if (static_cast<AK::Milliseconds>(rank) * this->context.settings.agent.designatedTimeoutMs <= elapsed) {
            due.emplace_back(rank, index);
        }
    }
    // Chunks of equal rank are examined in random order, so that an unavailable one does not block the others.
    std::shuffle(due.begin(), due.end(), this->random);
    std::stable_sort(due.begin(), due.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    due.resize(std::min(due.size(), maxReplacementsPerRound));
    return std::any_of(due.begin(), due.end(),
                       [&](const auto &chunk) { return this->active() && this->replaceForChunk(connections, directory, chunk.second); });
}

bool WeightFetch::hasRefusedToSend(const std::string &name) const
{
    const auto found = this->failedRequests.find(name);
    return found != this->failedRequests.end() && found->second.count >= requestsUntilRefused
        && this->context.clock.now() - found->second.lastAt < refusedRetryMs;
}

bool WeightFetch::fetchFromHolder(PeerConnections &connections, const std::string &name, const AK::Endpoint &endpoint, uint32_t index)
{
    if (!this->fetchProgress->reserve(index)) {
        return false;
    }
    const FetchResult result = this->fetchFromPeer(connections, name, endpoint, index, "peer");
    if (result == FetchResult::Stored) {
        this->failedRequests.erase(name);
    } else {
        FailedRequests &failed = this->failedRequests[name];
        ++failed.count;
        failed.lastAt = this->context.clock.now();
    }
    return result == FetchResult::Stored;
}

bool WeightFetch::replaceForChunk(PeerConnections &connections, const PeerDirectory &directory, uint32_t index)
{
    const auto ownRegion = directory.namesByRegion.find(this->context.settings.region);
    if (ownRegion == directory.namesByRegion.end()) {
        return false;
    }
    const std::vector<std::string> order =
        fetchOrder(this->weightsTarget.root, std::to_string(index), ownRegion->second, this->designatedCount(ownRegion->first));
    const AK::Milliseconds now = this->context.clock.now();
    std::vector<PredecessorState> predecessors;
    for (const std::string &name : order) {
        if (name == this->context.settings.name) {
            break;
        }
        const AK::Endpoint &endpoint = directory.endpoints.at(name);
        const PeerConnections::PeerState &state =
            connections.peerState(name, endpoint, this->weightsTarget.root, this->context.settings.agent.chunkMapIntervalMs);
        const bool excludedHere = this->isExcluded(name);
        if (state.reachable && !excludedHere && bitAt(state.bitmap, index)) {
            // The agent holds the chunk, so the neighbours will offer it soon; fetching it from there at once would make all agents fetch from one.
            const AK::Milliseconds offeredAt = this->offeredSince.try_emplace(index, now).first->second;
            if (now - offeredAt < static_cast<AK::Milliseconds>(predecessors.size() + 1) * undeliveredFactor * this->replacementTimeout()) {
                return false;
            }
            // The neighbours may have been dropped for a while, so the agent itself is asked. Only one that then does not send is treated as unreachable: it
            // is paused, or its link stalls.
            if (!this->hasRefusedToSend(name)) {
                return this->fetchFromHolder(connections, name, endpoint, index);
            }
            predecessors.push_back({false, 0});
            continue;
        }
        const bool gone =
            !state.reachable && state.failedPolls >= pollsUntilGone && now - state.unreachableSince >= this->context.settings.agent.designatedTimeoutMs;
        predecessors.push_back({!gone && !excludedHere, now - state.idleFor});
    }
    const auto rank = static_cast<AK::Milliseconds>(predecessors.size());
    if (!mayReplace(predecessors, now, rank * this->replacementTimeout())) {
        return false;
    }
    this->context.metrics.add("catkinlink_weights_designations_replaced_total");
    return this->fetchDesignated(connections, directory, index);
}

} // namespace LibWeights
