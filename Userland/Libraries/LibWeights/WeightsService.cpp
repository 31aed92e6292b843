#include <LibWeights/WeightsService.h>

#include <AK/Text.h>
#include <chrono>

namespace LibWeights
{

namespace
{

constexpr AK::Milliseconds controlIntervalMs = 200;
// Longest wait for an upload slot; shorter than the time after which the caller drops this source as stalled.
constexpr AK::Milliseconds uploadWaitMs = 500;

class UploadSlot
{
public:
    UploadSlot(std::mutex &mutex, std::condition_variable &freed, int &activeUploads, int limit)
        : mutex(mutex)
        , freed(freed)
        , activeUploads(activeUploads)
    {
        std::unique_lock lock(mutex);
        this->taken = freed.wait_for(lock, std::chrono::milliseconds(uploadWaitMs), [&] { return activeUploads < limit; });
        this->activeUploads += this->taken ? 1 : 0;
    }
    ~UploadSlot()
    {
        const std::lock_guard lock(this->mutex);
        this->activeUploads -= this->taken ? 1 : 0;
        this->freed.notify_one();
    }
    UploadSlot(const UploadSlot &) = delete;
    UploadSlot &operator=(const UploadSlot &) = delete;

    bool held() const
    {
        return this->taken;
    }

private:
    std::mutex &mutex;
    std::condition_variable &freed;
    int &activeUploads;
    bool taken = false;
};

// First and past-the-end byte of a Range header "bytes=a-b" or "bytes=a-" for a file of `size` bytes, or nothing when it is invalid.
std::optional<std::pair<uint64_t, uint64_t>> parseRange(std::string_view header, uint64_t size)
{
    constexpr std::string_view unit = "bytes=";
    const size_t dash = header.find('-');
    if (!header.starts_with(unit) || dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto first = AK::parseInteger(header.substr(unit.size(), dash - unit.size()));
    const auto last = dash + 1 == header.size() ? std::optional<int64_t>(static_cast<int64_t>(size) - 1) : AK::parseInteger(header.substr(dash + 1));
    if (!first || !last || *first < 0 || *last < *first || static_cast<uint64_t>(*first) >= size) {
        return std::nullopt;
    }
    return std::pair(static_cast<uint64_t>(*first), std::min(size, static_cast<uint64_t>(*last) + 1));
}

} // namespace

WeightsService::WeightsService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                               LibMembership::MembershipView &membership, LibEngine::EngineState &state, LibEngine::AdmissionGate &gate,
                               LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , membership(membership)
    , gate(gate)
    , metrics(metrics)
    , store(settings.agent.weightBufferBytes)
    , downlink(clock, [this] { return this->transferRate(); })
    , uplink(clock, [this] { return this->transferRate(); })
    , context{settings, clock, configuration, membership, std::move(identity), metrics, this->store, this->downlink}
    , engine(settings.agent.upstreamAddress)
    , engineController(settings, clock, configuration, membership, state, gate, this->engine, metrics, [this](const std::string &root) {
        const bool held = this->holdsAll(root);
        if (held) {
            // Published before the serving state, so that a member record never shows an engine that serves the weights without all chunks held.
            this->publishProgress();
        }
        return held;
    })
{
}

WeightsService::~WeightsService()
{
    this->stop();
}

std::string_view WeightsService::name() const
{
    return "weights";
}

absl::Status WeightsService::start()
{
    this->controlThread = std::thread([this] { this->runControl(); });
    this->engineThread = std::thread([this] { this->runEngineController(); });
    return absl::OkStatus();
}

void WeightsService::stop()
{
    this->stopping = true;
    for (std::thread *thread : {&this->controlThread, &this->engineThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
    const std::lock_guard lock(this->mutex);
    if (this->fetch) {
        this->fetch->requestStop();
    }
    this->fetch.reset();
    this->retired.clear();
}

double WeightsService::transferRate() const
{
    const auto rate = static_cast<double>(this->settings.agent.weightsBytesPerSecond);
    return this->gate.callsInFlight() > 0 ? rate * this->settings.agent.weightsPercentUnderLoad / 100 : rate;
}

void WeightsService::runEngineController()
{
    const auto stopped = [this] {
        return this->stopping.load();
    };
    while (!this->stopping) {
        this->engineController.step(stopped);
        this->clock.sleep(this->settings.timing.statusPollMs);
    }
}

void WeightsService::runControl()
{
    std::shared_ptr<const LibConfiguration::Configuration> seen;
    while (!this->stopping) {
        seen = this->configuration.waitForChange(seen, controlIntervalMs);
        this->followTarget();
        this->reapRetired();
        this->publishProgress();
    }
}

void WeightsService::followTarget()
{
    const auto current = this->configuration.current();
    if (!current) {
        return;
    }
    const auto service = current->site.services.find(this->settings.agent.service);
    if (service == current->site.services.end() || !service->second.target) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    if (this->fetch && this->fetch->target() == *service->second.target) {
        return;
    }
    if (this->fetch) {
        this->fetch->requestStop();
        if (auto progress = this->fetch->progress()) {
            this->previousVersion = std::move(progress);
        }
        // Its threads end after their calls in progress; the new fetch does not wait for them.
        this->retired.push_back(std::move(this->fetch));
    }
    this->fetch = std::make_unique<WeightFetch>(this->context, *service->second.target);
    this->fetch->start();
}

void WeightsService::reapRetired()
{
    const std::lock_guard lock(this->mutex);
    this->retired.remove_if([](const auto &old) { return old->finished(); });
}

void WeightsService::publishProgress()
{
    std::shared_ptr<FetchProgress> progress;
    {
        const std::lock_guard lock(this->mutex);
        progress = this->fetch ? this->fetch->progress() : nullptr;
    }
    const auto held = static_cast<uint32_t>(progress ? progress->heldCount() : 0);
    const auto total = static_cast<uint32_t>(progress ? progress->chunks().size() : 0);
    this->membership.updateSelf([&](LibMembership::Member &self) {
        self.chunksHeld = held;
        self.chunksTotal = total;
    });
    this->metrics.set("catkinlink_weights_chunks_held", {}, held);
    this->metrics.set("catkinlink_weights_chunks", {}, total);
    this->metrics.set("catkinlink_weights_buffer_bytes", {}, static_cast<double>(this->store.bytes()));
}

std::shared_ptr<FetchProgress> WeightsService::findVersion(std::string_view root) const
{
    const std::lock_guard lock(this->mutex);
    if (this->fetch && this->fetch->target().root == root) {
        return this->fetch->progress();
    }
    return this->previousVersion && this->previousVersion->root() == root ? this->previousVersion : nullptr;
}

bool WeightsService::holdsAll(const std::string &root) const
{
    const auto version = this->findVersion(root);
    return version && version->complete();
}

void WeightsService::chunkMap(std::string_view root, bool wantManifest, Wire::Node::ChunkMapResults::Builder results)
{
    const auto version = this->findVersion(root);
    if (!version) {
        return;
    }
    const std::string bitmap = version->bitmap();
    results.setBitmap({reinterpret_cast<const kj::byte *>(bitmap.data()), bitmap.size()});
    if (wantManifest) {
        const std::string &text = version->manifestText();
        results.setManifest({reinterpret_cast<const kj::byte *>(text.data()), text.size()});
    }
}

void WeightsService::fetchChunk(std::string_view root, uint32_t index, Wire::Node::FetchChunkResults::Builder results, kj::WaitScope & /*scope*/)
{
    const auto version = this->findVersion(root);
    KJ_REQUIRE(version != nullptr, "the root is not known here");
    KJ_REQUIRE(index < version->chunks().size(), "the chunk index is outside the manifest", index, version->chunks().size());
    const auto data = this->store.get(version->chunks()[index].hash);
    KJ_REQUIRE(data != nullptr, "the chunk is not held", index);
    const UploadSlot slot(this->uploadMutex, this->uploadFinished, this->activeUploads, uploadLimit);
    KJ_REQUIRE(slot.held(), "all uploads are busy", uploadLimit);
    this->uplink.wait(data->size(), [this] { return this->stopping.load(); });
    results.setData({reinterpret_cast<const kj::byte *>(data->data()), data->size()});
    this->metrics.add("catkinlink_weights_uploaded_bytes_total", {}, static_cast<double>(data->size()));
}

std::string WeightsService::readRange(const FetchProgress &version, size_t file, uint64_t first, uint64_t end) const
{
    std::string bytes;
    for (const ChunkReference &chunk : version.chunks()) {
        if (chunk.file != file || chunk.offset >= end || chunk.offset + chunk.bytes <= first) {
            continue;
        }
        const auto data = this->store.get(chunk.hash);
        if (!data) {
            return {};
        }
        const uint64_t from = std::max(first, chunk.offset) - chunk.offset;
        const uint64_t until = std::min<uint64_t>(end - chunk.offset, chunk.bytes);
        bytes.append(*data, from, until - from);
    }
    return bytes;
}

void WeightsService::serveFile(LibHttp::HttpExchange &exchange, const FetchProgress &version, size_t file)
{
    const ManifestFile &manifestFile = version.manifest().files[file];
    const std::string_view header = LibHttp::headerOr(exchange.request().headers, "range");
    if (!header.empty()) {
        const auto range = parseRange(header, manifestFile.bytes);
        if (!range) {
            exchange.respond(LibHttp::jsonResponse(416, AK::concat(R"({"error":"range is outside the file of )", manifestFile.bytes, R"( bytes"})")));
            return;
        }
        LibHttp::HttpResponse response;
        response.status = 206;
        response.headers["content-range"] = AK::concat("bytes ", range->first, "-", range->second - 1, "/", manifestFile.bytes);
        response.body = this->readRange(version, file, range->first, range->second);
        exchange.respond(response.body.empty() ? LibHttp::jsonResponse(503, R"({"error":"a chunk of the range is not held"})") : response);
        return;
    }
    if (!exchange.beginStream(200, {{"content-type", "application/octet-stream"}})) {
        return;
    }
    for (uint64_t offset = 0; offset < manifestFile.bytes; offset += version.manifest().chunkBytes) {
        const std::string data = this->readRange(version, file, offset, std::min<uint64_t>(manifestFile.bytes, offset + version.manifest().chunkBytes));
        // Without the final chunk of the stream the engine detects a truncated file.
        if (data.empty() || !exchange.writeChunk(data)) {
            return;
        }
    }
    exchange.endStream();
}

bool WeightsService::handle(LibHttp::HttpExchange &exchange)
{
    const std::string &path = exchange.request().path;
    if (!path.starts_with("/weights/")) {
        return false;
    }
    std::vector<std::shared_ptr<FetchProgress>> versions;
    {
        const std::lock_guard lock(this->mutex);
        versions = {this->fetch ? this->fetch->progress() : nullptr, this->previousVersion};
    }
    for (const auto &version : versions) {
        if (!version || !version->complete()) {
            continue;
        }
        const Manifest &manifest = version->manifest();
        const std::string prefix = weightsPath(manifest.model, manifest.adapter, manifest.version);
        if (path == prefix + "/manifest.json") {
            exchange.respond(LibHttp::jsonResponse(200, version->manifestText()));
            return true;
        }
        for (size_t file = 0; file < manifest.files.size(); ++file) {
            if (path == AK::concat(prefix, "/files/", LibHttp::urlEncode(manifest.files[file].name))) {
                this->serveFile(exchange, *version, file);
                return true;
            }
        }
    }
    exchange.respond(LibHttp::jsonResponse(404, R"({"error":"these weights are not held in whole by this agent"})"));
    return true;
}

} // namespace LibWeights
