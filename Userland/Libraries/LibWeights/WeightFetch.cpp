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
constexpr AK::Milliseconds superviseIntervalMs = 100;
// A source that was dropped for its rate is asked again after this time; its link may have recovered.
constexpr AK::Milliseconds dropTimeMs = 5'000;
constexpr AK::Milliseconds pauseSliceMs = 20;
constexpr size_t manifestLimitBytes = size_t{8} << 20;

} // namespace

WeightFetch::WeightFetch(FetchContext context, LibSettings::WeightsTarget target)
    : context(std::move(context))
    , wanted(std::move(target))
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
    return this->wanted;
}

std::shared_ptr<FetchProgress> WeightFetch::progress() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

bool WeightFetch::active() const
{
    return !this->stopping && !this->current->complete();
}

void WeightFetch::pause(AK::Milliseconds duration) const
{
    for (AK::Milliseconds left = duration; left > 0 && !this->stopping; left -= pauseSliceMs) {
        this->context.clock.sleep(std::min(left, pauseSliceMs));
    }
}

double WeightFetch::expectedRate() const
{
    return this->context.downlink.rate() / FetchProgress::fetchLimit;
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
    return configuration ? findPeers(this->context.settings.name, this->wanted.root, *configuration, this->context.membership.members()) : PeerDirectory();
}

void WeightFetch::run()
{
    {
        PeerLinks links(this->context.clock, this->context.identity, this->context.settings.timing.rpcTimeoutMs);
        while (!this->stopping && !this->fetchManifest(links)) {
            this->pause(this->context.settings.agent.chunkMapIntervalMs);
        }
    }
    if (this->stopping) {
        return;
    }
    this->reportComplete();
    std::thread designated([this] { this->runDesignated(); });
    while (this->active()) {
        this->superviseNeighbours();
        this->current->waitForChange(superviseIntervalMs);
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
    request.path = weightsPath(this->wanted.model, this->wanted.adapter, this->wanted.version) + "/manifest.json";
    CATKINLINK_ASSIGN(LibHttp::HttpResponse response,
                      LibHttp::httpCall(this->context.settings.agent.weightStore, request, this->context.settings.timing.storeTimeoutMs, manifestLimitBytes));
    if (response.status != 200) {
        return absl::UnavailableError(AK::concat("the origin answered ", request.path, " with ", response.status));
    }
    this->context.metrics.add("catkinlink_weights_bytes_total", {{"source", "origin"}}, static_cast<double>(response.body.size()));
    return std::move(response.body);
}

std::vector<std::string> WeightFetch::manifestSources(const PeerDirectory &directory, size_t rank, bool searchAll) const
{
    std::vector<std::string> sources;
    for (const auto &[region, names] : directory.namesByRegion) {
        // One agent of a region asks across the region link; the others ask it.
        if (region != this->context.settings.region && rank > 0 && !searchAll) {
            continue;
        }
        const std::vector<std::string> order = fetchOrder(this->wanted.root, "manifest", names, this->designatedIn(region));
        const size_t count = searchAll ? order.size() : std::min<size_t>(order.size(), 2);
        sources.insert(sources.end(), order.begin(), order.begin() + static_cast<ptrdiff_t>(count));
        if (region == this->context.settings.region) {
            const auto neighbours = chooseNeighbours(this->context.settings.name, this->wanted.root, names, 2);
            sources.insert(sources.end(), neighbours.begin(), neighbours.end());
        }
    }
    return sources;
}

// The manifest spreads like a chunk, so that the origin does not send one to each of N agents.
bool WeightFetch::fetchManifest(PeerLinks &links)
{
    const PeerDirectory directory = this->currentPeers();
    const std::string &self = this->context.settings.name;
    const auto own = directory.namesByRegion.find(this->context.settings.region);
    const std::vector<std::string> order = own == directory.namesByRegion.end()
        ? std::vector<std::string>{self}
        : fetchOrder(this->wanted.root, "manifest", own->second, this->designatedIn(own->first));
    const auto rank = static_cast<size_t>(std::find(order.begin(), order.end(), self) - order.begin());
    const AK::Milliseconds elapsed = this->context.clock.now() - this->startedAt;
    const AK::Milliseconds turn = this->context.settings.agent.designatedTimeoutMs;
    const std::string &originRegion = this->context.settings.agent.originRegion;
    const bool nearOrigin = this->context.settings.region == originRegion || !directory.namesByRegion.contains(originRegion);
    const bool ownTurn = elapsed >= static_cast<AK::Milliseconds>(rank) * turn;
    if (nearOrigin && ownTurn) {
        if (const auto text = this->manifestFromOrigin(); text.ok() && this->acceptManifest(*text, "origin")) {
            return true;
        }
    }
    for (const std::string &peer : this->manifestSources(directory, ownTurn ? 0 : rank, elapsed > 3 * turn)) {
        if (this->stopping) {
            return false;
        }
        if (peer == self || this->isExcluded(peer)) {
            continue;
        }
        const auto text = links.manifest(peer, directory.endpoints.at(peer), this->wanted.root);
        if (text.ok() && !text->empty() && this->acceptManifest(*text, peer)) {
            return true;
        }
    }
    return false;
}

bool WeightFetch::acceptManifest(const std::string &text, const std::string &source)
{
    auto manifest = parseManifest(text);
    if (!manifest.ok() || rootOf(*manifest) != this->wanted.root) {
        this->logger.warning("manifest_refused",
                             {{"source", source},
                              {"wanted_root", this->wanted.root},
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
    this->context.store.setWanted(std::move(hashes));
    auto progress = std::make_shared<FetchProgress>(std::move(*manifest), text, this->context.store);
    const std::lock_guard lock(this->mutex);
    this->current = std::move(progress);
    return true;
}

// Written when the last chunk arrives, or at once when all chunks are shared with versions held before.
void WeightFetch::reportComplete()
{
    if (!this->current->complete() || this->completeReported.exchange(true)) {
        return;
    }
    this->logger.info("weights_complete",
                      {{"root", this->wanted.root}, {"chunks", this->current->chunks().size()}, {"duration_ms", this->context.clock.now() - this->startedAt}});
}

void WeightFetch::superviseNeighbours()
{
    const PeerDirectory directory = this->currentPeers();
    const auto own = directory.namesByRegion.find(this->context.settings.region);
    std::vector<std::string> neighbours;
    if (own != directory.namesByRegion.end()) {
        neighbours = chooseNeighbours(this->context.settings.name, this->wanted.root, own->second, neighbourCount);
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
            this->runPeer(task, name, endpoint);
            this->current->removeOffer(name);
            task.finished = true;
        });
    }
}

void WeightFetch::runPeer(PeerTask &task, const std::string &peer, const AK::Endpoint &endpoint)
{
    const AK::Milliseconds interval = this->context.settings.agent.chunkMapIntervalMs;
    const size_t total = this->current->chunks().size();
    AK::Random source = AK::seededFromSystem();
    PeerLinks links(this->context.clock, this->context.identity, this->context.settings.timing.rpcTimeoutMs);
    AK::Milliseconds polledAt = -1;
    size_t offered = 0;
    while (this->active() && !task.stopping) {
        // A complete peer needs no more polls.
        const PeerLinks::View view = links.view(peer, endpoint, this->wanted.root, offered == total ? INT64_MAX : interval);
        if (!view.reachable) {
            this->current->removeOffer(peer);
            this->context.membership.reportUnreachable(peer);
            this->pause(interval);
            continue;
        }
        if (view.polledAt != polledAt) {
            polledAt = view.polledAt;
            offered = view.count;
            this->current->setOffer(peer, unpackBitmap(view.bitmap, total));
        }
        const auto index = this->current->takeRarest(peer, source);
        if (!index) {
            this->current->waitForChange(interval);
            continue;
        }
        const FetchResult result = this->fetchFromPeer(links, peer, endpoint, *index, "peer");
        if (result == FetchResult::Drop || result == FetchResult::Exclude) {
            task.restartAt = this->context.clock.now() + dropTimeMs;
            return;
        }
        if (result == FetchResult::Retry) {
            this->pause(pauseSliceMs);
        }
    }
}

WeightFetch::FetchResult WeightFetch::fetchFromPeer(PeerLinks &links, const std::string &peer, const AK::Endpoint &endpoint, uint32_t index, const char *kind)
{
    const uint32_t bytes = this->current->chunks()[index].bytes;
    const auto stopped = [this] {
        return this->stopping.load();
    };
    // A chunk that comes into the region is waited for by all its agents, one from a peer by this agent alone.
    if (std::string_view(kind) == "peer") {
        this->context.downlink.wait(bytes, stopped);
    } else {
        this->context.downlink.waitUrgent(bytes, stopped);
    }
    const AK::Milliseconds begin = this->context.clock.now();
    const AK::Milliseconds timeout = fetchTimeout(bytes, this->expectedRate(), this->context.settings.timing.rpcTimeoutMs);
    auto data = links.chunk(peer, endpoint, this->wanted.root, index, timeout);
    const AK::Milliseconds duration = this->context.clock.now() - begin;
    FetchResult result = FetchResult::Retry;
    const bool slow = data.ok() && isTooSlow(bytes, duration, this->expectedRate()) && duration > this->context.settings.timing.rpcTimeoutMs;
    const bool broken = !data.ok() && data.status().code() != absl::StatusCode::kInternal;
    this->keep(index, std::move(data), peer, kind, result);
    if (result != FetchResult::Exclude && (slow || broken)) {
        this->logger.info("source_dropped", {{"peer", peer}, {"chunk", index}, {"bytes", bytes}, {"duration_ms", duration}});
        this->context.metrics.add("catkinlink_weights_sources_dropped_total");
        return FetchResult::Drop;
    }
    return result;
}

bool WeightFetch::keep(uint32_t index, absl::StatusOr<std::string> data, const std::string &source, const char *kind, FetchResult &result)
{
    if (!data.ok()) {
        this->context.downlink.giveBack(this->current->chunks()[index].bytes);
        this->current->release(index, false);
        result = FetchResult::Retry;
        return false;
    }
    this->context.metrics.add("catkinlink_weights_bytes_total", {{"source", kind}}, static_cast<double>(data->size()));
    const absl::Status stored = this->context.store.put(this->current->chunks()[index].hash, std::move(*data));
    this->current->release(index, stored.ok());
    if (stored.ok()) {
        this->reportComplete();
        result = FetchResult::Held;
        return true;
    }
    result = FetchResult::Retry;
    this->logger.warning("chunk_refused", {{"source", source}, {"root", this->wanted.root}, {"chunk", index}, {"reason", std::string(stored.message())}});
    if (stored.code() == absl::StatusCode::kDataLoss) {
        this->context.metrics.add("catkinlink_weights_corrupt_chunks_total", {{"source", kind}});
        // The origin has no substitute; it is asked again after a pause.
        if (source != "origin") {
            this->exclude(source);
            result = FetchResult::Exclude;
        }
    }
    return false;
}

} // namespace LibWeights
