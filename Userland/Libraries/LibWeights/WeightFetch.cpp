#include <LibWeights/WeightFetch.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibWeights/ChunkChoice.h>
#include <algorithm>

namespace LibWeights
{

namespace
{

constexpr size_t neighbourCount = 6;
constexpr AK::Milliseconds supervisionIntervalMs = 100;
// A peer that was dropped as too slow or unreachable is tried again after this time, because its link may have recovered.
constexpr AK::Milliseconds droppedPeerRetryMs = 5'000;
constexpr AK::Milliseconds stopCheckIntervalMs = 20;
constexpr size_t maxManifestBytes = size_t{8} << 20;

} // namespace

WeightFetch::WeightFetch(FetchContext context, LibSettings::WeightsTarget target)
    : context(std::move(context))
    , weightsTarget(std::move(target))
    , random(AK::seededFromSystem())
{
}

WeightFetch::~WeightFetch()
{
    this->requestStop();
    if (this->supervisor.joinable()) {
        this->supervisor.join();
    }
}

void WeightFetch::start()
{
    this->startedAt = this->context.clock.now();
    this->supervisor = std::thread([this] {
        this->run();
        this->ended = true;
    });
}

void WeightFetch::requestStop()
{
    this->stopping = true;
}

bool WeightFetch::finished() const
{
    return this->ended;
}

const LibSettings::WeightsTarget &WeightFetch::target() const
{
    return this->weightsTarget;
}

std::shared_ptr<FetchProgress> WeightFetch::progress() const
{
    const std::lock_guard lock(this->mutex);
    return this->fetchProgress;
}

bool WeightFetch::active() const
{
    return !this->stopping && !this->fetchProgress->complete();
}

void WeightFetch::pause(AK::Milliseconds duration) const
{
    for (AK::Milliseconds left = duration; left > 0 && !this->stopping; left -= stopCheckIntervalMs) {
        this->context.clock.sleep(std::min(left, stopCheckIntervalMs));
    }
}

double WeightFetch::expectedRate() const
{
    return this->context.downlink.rate() / FetchProgress::maxInFlight;
}

bool WeightFetch::isExcluded(const std::string &source) const
{
    const std::lock_guard lock(this->mutex);
    return this->excluded.contains(source);
}

void WeightFetch::exclude(const std::string &source)
{
    const std::lock_guard lock(this->mutex);
    this->excluded.insert(source);
}

PeerDirectory WeightFetch::currentPeers() const
{
    const auto configuration = this->context.configuration.current();
    return configuration ? findPeers(this->context.settings.name, this->weightsTarget.root, *configuration, this->context.membership.members())
                         : PeerDirectory();
}

void WeightFetch::run()
{
    {
        PeerConnections connections(this->context.clock, this->context.identity, this->context.settings.timing.rpcTimeoutMs);
        while (!this->stopping && !this->fetchManifest(connections)) {
            this->pause(this->context.settings.agent.chunkMapIntervalMs);
        }
    }
    if (this->stopping) {
        return;
    }
    this->reportComplete();
    std::thread designated([this] { this->runDesignatedTask(); });
    while (this->active()) {
        this->superviseNeighbours();
        this->fetchProgress->waitForChange(supervisionIntervalMs);
    }
    designated.join();
    for (auto &[name, task] : this->peerTasks) {
        task->stopping = true;
    }
    for (auto &[name, task] : this->peerTasks) {
        if (task->thread.joinable()) {
            task->thread.join();
        }
    }
}

absl::StatusOr<std::string> WeightFetch::manifestFromOrigin() const
{
    LibHttp::HttpRequest request;
    request.path = weightsPath(this->weightsTarget.model, this->weightsTarget.adapter, this->weightsTarget.version) + "/manifest.json";
    // The store timeout for the head, and the time that the largest manifest takes at this host's rate.
    const AK::Milliseconds timeout = this->context.settings.timing.storeTimeoutMs
        + static_cast<AK::Milliseconds>(static_cast<double>(maxManifestBytes) * 1000 / std::max(1.0, this->context.downlink.rate()));
    CATKINLINK_ASSIGN(LibHttp::HttpResponse response, LibHttp::httpCall(this->context.settings.agent.weightStore, request, timeout, maxManifestBytes));
    if (response.status != 200) {
        return absl::UnavailableError(
            AK::concat("origin ", this->context.settings.agent.weightStore.text(), " answered GET ", request.path, " with status ", response.status));
    }
    this->context.metrics.add("catkinlink_weights_bytes_total", {{"source", "origin"}}, static_cast<double>(response.body.size()));
    return std::move(response.body);
}

std::vector<std::string> WeightFetch::manifestSources(const PeerDirectory &directory, size_t rank, bool searchAll) const
{
    std::vector<std::string> sources;
    for (const auto &[region, names] : directory.namesByRegion) {
        // Only the first agent of a region asks agents of other regions; the others get the manifest from it.
        if (region != this->context.settings.region && rank > 0 && !searchAll) {
            continue;
        }
        const std::vector<std::string> order = fetchOrder(this->weightsTarget.root, "manifest", names, this->designatedCount(region));
        const size_t count = searchAll ? order.size() : std::min<size_t>(order.size(), 2);
        sources.insert(sources.end(), order.begin(), order.begin() + static_cast<ptrdiff_t>(count));
        if (region == this->context.settings.region) {
            const auto neighbours = chooseNeighbours(this->context.settings.name, this->weightsTarget.root, names, 2);
            sources.insert(sources.end(), neighbours.begin(), neighbours.end());
        }
    }
    return sources;
}

// The manifest is distributed like a chunk, so that the origin does not send a copy to every agent.
bool WeightFetch::fetchManifest(PeerConnections &connections)
{
    const PeerDirectory directory = this->currentPeers();
    const std::string &self = this->context.settings.name;
    const auto ownRegion = directory.namesByRegion.find(this->context.settings.region);
    const std::vector<std::string> order = ownRegion == directory.namesByRegion.end()
        ? std::vector<std::string>{self}
        : fetchOrder(this->weightsTarget.root, "manifest", ownRegion->second, this->designatedCount(ownRegion->first));
    const auto rank = static_cast<size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    const AK::Milliseconds elapsed = this->context.clock.now() - this->startedAt;
    const AK::Milliseconds designatedTimeout = this->context.settings.agent.designatedTimeoutMs;
    const std::string &originRegion = this->context.settings.agent.originRegion;
    const bool fetchesFromOrigin = this->context.settings.region == originRegion || !directory.namesByRegion.contains(originRegion);
    const bool turnReached = elapsed >= static_cast<AK::Milliseconds>(rank) * designatedTimeout;
    if (fetchesFromOrigin && turnReached) {
        if (const auto text = this->manifestFromOrigin(); text.ok() && this->acceptManifest(*text, "origin")) {
            return true;
        }
    }
    for (const std::string &peer : this->manifestSources(directory, turnReached ? 0 : rank, elapsed > 3 * designatedTimeout)) {
        if (this->stopping) {
            return false;
        }
        if (peer == self || this->isExcluded(peer)) {
            continue;
        }
        const auto text = connections.manifest(peer, directory.endpoints.at(peer), this->weightsTarget.root);
        if (text.ok() && !text->empty() && this->acceptManifest(*text, peer)) {
            return true;
        }
    }
    return false;
}

bool WeightFetch::acceptManifest(const std::string &text, const std::string &source)
{
    auto manifest = parseManifest(text);
    if (!manifest.ok() || rootOf(*manifest) != this->weightsTarget.root) {
        this->logger.warning("manifest_refused",
                             {{"source", source},
                              {"wanted_root", this->weightsTarget.root},
                              {"reason", manifest.ok() ? "its root is " + rootOf(*manifest) : std::string(manifest.status().message())}});
        this->context.metrics.add("catkinlink_weights_manifests_refused_total");
        if (source != "origin") {
            this->exclude(source);
        }
        return false;
    }
    std::set<std::string> hashes;
    for (const ChunkReference &chunk : manifest->chunks()) {
        hashes.insert(chunk.hash);
    }
    this->context.store.setPinned(std::move(hashes));
    auto progress = std::make_shared<FetchProgress>(std::move(*manifest), text, this->context.store);
    const std::lock_guard lock(this->mutex);
    this->fetchProgress = std::move(progress);
    return true;
}

// Called when a chunk has been stored, and once at the start for the case that all chunks are shared with earlier versions.
void WeightFetch::reportComplete()
{
    if (!this->fetchProgress->complete() || this->completeReported.exchange(true)) {
        return;
    }
    this->logger.info(
        "weights_complete",
        {{"root", this->weightsTarget.root}, {"chunks", this->fetchProgress->chunks().size()}, {"duration_ms", this->context.clock.now() - this->startedAt}});
}

void WeightFetch::superviseNeighbours()
{
    const PeerDirectory directory = this->currentPeers();
    const auto ownRegion = directory.namesByRegion.find(this->context.settings.region);
    std::vector<std::string> neighbours;
    if (ownRegion != directory.namesByRegion.end()) {
        neighbours = chooseNeighbours(this->context.settings.name, this->weightsTarget.root, ownRegion->second, neighbourCount);
    }
    for (auto &[name, task] : this->peerTasks) {
        if (std::find(neighbours.begin(), neighbours.end(), name) == neighbours.end()) {
            task->stopping = true;
        }
    }
    const AK::Milliseconds now = this->context.clock.now();
    for (const std::string &name : neighbours) {
        auto &task = this->peerTasks[name];
        if (this->isExcluded(name) || (task && (!task->finished || now < task->restartAt))) {
            continue;
        }
        if (task) {
            task->thread.join();
        }
        task = std::make_unique<PeerTask>();
        task->thread = std::thread([this, &task = *task, name, endpoint = directory.endpoints.at(name)] {
            this->runPeerTask(task, name, endpoint);
            this->fetchProgress->removeOffer(name);
            task.finished = true;
        });
    }
}

void WeightFetch::runPeerTask(PeerTask &task, const std::string &peer, const AK::Endpoint &endpoint)
{
    const AK::Milliseconds interval = this->context.settings.agent.chunkMapIntervalMs;
    const size_t total = this->fetchProgress->chunks().size();
    AK::Random taskRandom = AK::seededFromSystem();
    PeerConnections connections(this->context.clock, this->context.identity, this->context.settings.timing.rpcTimeoutMs);
    AK::Milliseconds polledAt = -1;
    size_t offered = 0;
    while (this->active() && !task.stopping) {
        // A peer that offers all chunks is not polled again.
        const PeerConnections::PeerState state = connections.peerState(peer, endpoint, this->weightsTarget.root, offered == total ? INT64_MAX : interval);
        if (!state.reachable) {
            this->fetchProgress->removeOffer(peer);
            this->context.membership.reportUnreachable(peer);
            this->pause(interval);
            continue;
        }
        if (state.polledAt != polledAt) {
            polledAt = state.polledAt;
            offered = state.count;
            this->fetchProgress->setOffer(peer, unpackBitmap(state.bitmap, total));
        }
        const auto index = this->fetchProgress->reserveRarest(peer, taskRandom);
        if (!index) {
            this->fetchProgress->waitForChange(interval);
            continue;
        }
        const FetchResult result = this->fetchFromPeer(connections, peer, endpoint, *index, "peer");
        if (result == FetchResult::Drop || result == FetchResult::Exclude) {
            task.restartAt = this->context.clock.now() + droppedPeerRetryMs;
            return;
        }
        if (result == FetchResult::Retry) {
            this->pause(stopCheckIntervalMs);
        }
    }
}

WeightFetch::FetchResult WeightFetch::fetchFromPeer(PeerConnections &connections, const std::string &peer, const AK::Endpoint &endpoint, uint32_t index,
                                                    const char *sourceKind)
{
    const uint32_t bytes = this->fetchProgress->chunks()[index].bytes;
    const auto stopped = [this] {
        return this->stopping.load();
    };
    // All agents of the region wait for a chunk from outside, but only this agent waits for a chunk from a peer, so the former has priority.
    if (std::string_view(sourceKind) == "peer") {
        this->context.downlink.wait(bytes, stopped);
    } else {
        this->context.downlink.waitUrgent(bytes, stopped);
    }
    const AK::Milliseconds begin = this->context.clock.now();
    const AK::Milliseconds timeout = fetchTimeout(bytes, this->expectedRate(), this->context.settings.timing.rpcTimeoutMs);
    auto data = connections.chunk(peer, endpoint, this->weightsTarget.root, index, timeout);
    const AK::Milliseconds duration = this->context.clock.now() - begin;
    FetchResult result = FetchResult::Retry;
    const bool slow = data.ok() && isTooSlow(bytes, duration, this->expectedRate()) && duration > this->context.settings.timing.rpcTimeoutMs;
    const bool broken = !data.ok() && data.status().code() != absl::StatusCode::kInternal;
    this->storeChunk(index, std::move(data), peer, sourceKind, result);
    if (result != FetchResult::Exclude && (slow || broken)) {
        this->logger.info("source_dropped", {{"peer", peer}, {"chunk", index}, {"bytes", bytes}, {"duration_ms", duration}});
        this->context.metrics.add("catkinlink_weights_sources_dropped_total");
        return FetchResult::Drop;
    }
    return result;
}

bool WeightFetch::storeChunk(uint32_t index, absl::StatusOr<std::string> data, const std::string &source, const char *sourceKind, FetchResult &result)
{
    if (!data.ok()) {
        this->context.downlink.refund(this->fetchProgress->chunks()[index].bytes);
        this->fetchProgress->release(index, false);
        result = FetchResult::Retry;
        return false;
    }
    this->context.metrics.add("catkinlink_weights_bytes_total", {{"source", sourceKind}}, static_cast<double>(data->size()));
    const absl::Status stored = this->context.store.put(this->fetchProgress->chunks()[index].hash, std::move(*data));
    this->fetchProgress->release(index, stored.ok());
    if (stored.ok()) {
        this->reportComplete();
        result = FetchResult::Stored;
        return true;
    }
    result = FetchResult::Retry;
    this->logger.warning("chunk_refused",
                         {{"source", source}, {"root", this->weightsTarget.root}, {"chunk", index}, {"reason", std::string(stored.message())}});
    if (stored.code() == absl::StatusCode::kDataLoss) {
        this->context.metrics.add("catkinlink_weights_corrupt_chunks_total", {{"source", sourceKind}});
        // There is no other origin, so it is never excluded but retried after a pause.
        if (source != "origin") {
            this->exclude(source);
            result = FetchResult::Exclude;
        }
    }
    return false;
}

} // namespace LibWeights
