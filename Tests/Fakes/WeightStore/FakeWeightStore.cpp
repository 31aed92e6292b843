#include "FakeWeightStore.h"

#include <AK/EnumNames.h>
#include <AK/Random.h>
#include <AK/Text.h>
#include <nlohmann/json.hpp>

namespace Fakes
{

namespace
{

constexpr size_t writeBytes = size_t{16} << 10;
// The fault Slow divides the rate by this factor; without a rate limit it delays each block by as many ms.
constexpr int slowFactor = 50;

// First and past-the-end byte of "bytes=a-b"; the whole file when there is no header, nothing when the range is malformed or exceeds the file.
std::optional<std::pair<size_t, size_t>> parseRange(std::string_view header, size_t size)
{
    if (header.empty()) {
        return std::pair<size_t, size_t>(0, size);
    }
    const size_t dash = header.find('-');
    if (!header.starts_with("bytes=") || dash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto first = AK::parseInteger(header.substr(6, dash - 6));
    const auto last = AK::parseInteger(header.substr(dash + 1));
    if (!first || !last || *first < 0 || *last < *first || static_cast<size_t>(*last) >= size) {
        return std::nullopt;
    }
    return std::pair<size_t, size_t>(*first, *last + 1);
}

} // namespace

FakeWeightStore::FakeWeightStore(AK::Endpoint endpoint, const AK::Clock &clock, const LibWeights::GeneratedWeights &parameters,
                                 const std::vector<std::string> &versions, int64_t bytesPerSecond)
    : clock(clock)
    , bytesPerSecond(bytesPerSecond)
    , server(std::move(endpoint), {512, size_t{1} << 20}, [this](LibHttp::HttpExchange &exchange) { this->handle(exchange); })
{
    for (const std::string &name : versions) {
        LibWeights::GeneratedWeights generated = parameters;
        generated.version = name;
        Version version;
        version.files = LibWeights::generateFiles(generated);
        const LibWeights::Manifest manifest = LibWeights::buildManifest(generated, version.files);
        version.manifest = LibWeights::serializeManifest(manifest);
        version.root = LibWeights::rootOf(manifest);
        this->roots[name] = version.root;
        this->versions[LibWeights::weightsPath(generated.model, generated.adapter, name)] = std::move(version);
    }
}

absl::Status FakeWeightStore::start()
{
    return this->server.start();
}

void FakeWeightStore::stop()
{
    this->server.stop();
}

void FakeWeightStore::setFault(WeightStoreFault mode, double share)
{
    const std::lock_guard lock(this->mutex);
    this->fault = mode;
    this->faultShare = share;
}

std::string FakeWeightStore::rootOf(const std::string &version) const
{
    const auto found = this->roots.find(version);
    return found == this->roots.end() ? std::string() : found->second;
}

uint64_t FakeWeightStore::bytesServed() const
{
    const std::lock_guard lock(this->mutex);
    return this->servedBytes;
}

WeightStoreFault FakeWeightStore::sampleFault()
{
    const std::lock_guard lock(this->mutex);
    ++this->requestCount;
    const bool affected = std::uniform_real_distribution<double>(0, 1)(this->random) < this->faultShare;
    return affected ? this->fault : WeightStoreFault::None;
}

void FakeWeightStore::throttle(uint64_t bytes, bool slow)
{
    AK::Milliseconds wait = 0;
    {
        const std::lock_guard lock(this->mutex);
        this->servedBytes += bytes;
        if (this->bytesPerSecond > 0) {
            wait = LibWeights::takeTokens(this->bucket, this->clock.now(), slow ? bytes * slowFactor : bytes, static_cast<double>(this->bytesPerSecond));
        } else if (slow) {
            wait = slowFactor;
        }
    }
    if (wait > 0) {
        this->clock.sleep(wait);
    }
}

void FakeWeightStore::handleControl(LibHttp::HttpExchange &exchange)
{
    if (exchange.request().path == "/fake/stats") {
        const std::lock_guard lock(this->mutex);
        exchange.respond(LibHttp::jsonResponse(200, nlohmann::json{{"bytes_served", this->servedBytes}, {"requests", this->requestCount}}.dump()));
        return;
    }
    const nlohmann::json json = nlohmann::json::parse(exchange.request().body, nullptr, false);
    const auto mode = AK::valueOf(weightStoreFaultNames, json.is_object() ? json.value("mode", "") : "");
    if (exchange.request().path != "/fake/fault" || !mode) {
        exchange.respond(LibHttp::jsonResponse(400, R"({"error":"unknown path or mode"})"));
        return;
    }
    this->setFault(*mode, json.value("share", 1.0));
    exchange.respond(LibHttp::jsonResponse(200, "{}"));
}

void FakeWeightStore::serveBytes(LibHttp::HttpExchange &exchange, const std::string &bytes)
{
    const WeightStoreFault sampled = this->sampleFault();
    if (sampled == WeightStoreFault::Down) {
        exchange.respond(LibHttp::jsonResponse(503, R"({"error":"down"})"));
        return;
    }
    const std::string_view header = LibHttp::headerOr(exchange.request().headers, "range");
    const auto range = parseRange(header, bytes.size());
    if (!range) {
        exchange.respond(LibHttp::jsonResponse(416, R"({"error":"range"})"));
        return;
    }
    std::string body = bytes.substr(range->first, range->second - range->first);
    if (sampled == WeightStoreFault::Corrupt && !body.empty()) {
        body[body.size() / 2] = static_cast<char>(body[body.size() / 2] ^ 1);
    }
    // Written in blocks, so that concurrent requests share the rate limit.
    if (!exchange.beginStream(header.empty() ? 200 : 206, {{"content-type", "application/octet-stream"}})) {
        return;
    }
    for (size_t offset = 0; offset < body.size(); offset += writeBytes) {
        const std::string_view block = std::string_view(body).substr(offset, writeBytes);
        this->throttle(block.size(), sampled == WeightStoreFault::Slow);
        if (!exchange.writeChunk(block)) {
            return;
        }
    }
    exchange.endStream();
}

void FakeWeightStore::handle(LibHttp::HttpExchange &exchange)
{
    const std::string &path = exchange.request().path;
    if (path.starts_with("/fake/")) {
        this->handleControl(exchange);
        return;
    }
    for (const auto &[prefix, version] : this->versions) {
        if (path == prefix + "/manifest.json") {
            this->serveBytes(exchange, version.manifest);
            return;
        }
        const std::string filePrefix = prefix + "/files/";
        if (path.starts_with(filePrefix)) {
            const auto file = version.files.find(path.substr(filePrefix.size()));
            if (file != version.files.end()) {
                this->serveBytes(exchange, file->second);
                return;
            }
        }
    }
    exchange.respond(LibHttp::jsonResponse(404, R"({"error":"no such weights"})"));
}

} // namespace Fakes
