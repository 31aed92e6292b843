#include "FakeEngine.h"

#include <AK/Hash.h>
#include <AK/Random.h>
#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <LibWeights/Manifest.h>
#include <algorithm>

namespace Fakes
{

namespace
{

constexpr int maxTokens = 4096;
constexpr AK::Milliseconds downloadTimeoutMs = 30'000;
constexpr AK::Milliseconds stallPollMs = 10;

std::string extractPrompt(const nlohmann::json &body, bool chat)
{
    if (!chat) {
        return body.value("prompt", "");
    }
    std::string prompt;
    for (const auto &message : body.value("messages", nlohmann::json::array())) {
        prompt += message.value("content", "");
    }
    return prompt;
}

nlohmann::json completionObject(bool chat, bool stream, const std::string &text, const std::string &fingerprint)
{
    nlohmann::json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (chat) {
        choice[stream ? "delta" : "message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const std::string object = chat ? (stream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return {{"object", object}, {"system_fingerprint", fingerprint}, {"choices", {choice}}};
}

absl::StatusOr<std::string> get(const AK::Endpoint &target, const std::string &path)
{
    LibHttp::HttpRequest request;
    request.path = path;
    CATKINLINK_ASSIGN(LibHttp::HttpResponse response, LibHttp::httpCall(target, request, downloadTimeoutMs, size_t{1} << 30));
    if (response.status != 200) {
        return absl::UnavailableError(AK::concat(path, " was answered with ", response.status));
    }
    return std::move(response.body);
}

} // namespace

std::vector<std::string> expectedTokens(const std::string &prompt, const std::string &root, int count)
{
    std::vector<std::string> tokens;
    tokens.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) {
        tokens.push_back(AK::sha256Hex(AK::concat(root, "/", prompt, "/", i)).substr(0, 6) + " ");
    }
    return tokens;
}

std::string FakeEngine::LoadedWeights::fingerprint() const
{
    return AK::concat(this->instance, "-", this->generation, "-", this->root.substr(0, 16));
}

FakeEngine::FakeEngine(FakeEngineOptions options, const AK::Clock &clock)
    : options(std::move(options))
    , clock(clock)
    , server(this->options.address, {this->options.threads, size_t{1} << 20}, [this](LibHttp::HttpExchange &exchange) { this->handle(exchange); })
{
    this->restart();
}

FakeEngine::~FakeEngine()
{
    this->stop();
}

absl::Status FakeEngine::start()
{
    return this->server.start();
}

void FakeEngine::stop()
{
    this->stopping = true;
    this->server.stop();
}

void FakeEngine::restart()
{
    const std::lock_guard lock(this->mutex);
    this->restartLocked();
}

void FakeEngine::restartLocked()
{
    AK::Random random = AK::seededFromSystem();
    this->loaded = LoadedWeights();
    this->loaded.instance = AK::randomHex(random, 12);
    // Calls of the old instance do not count as load of the new one.
    this->concurrent = 0;
    ++this->restarts;
}

void FakeEngine::setFault(EngineFault mode)
{
    const std::lock_guard lock(this->mutex);
    this->fault = mode;
}

EngineFault FakeEngine::currentFault() const
{
    const std::lock_guard lock(this->mutex);
    return this->fault;
}

FakeEngineStats FakeEngine::stats() const
{
    const std::lock_guard lock(this->mutex);
    return this->counters;
}

void FakeEngine::handle(LibHttp::HttpExchange &exchange)
{
    const std::string &path = exchange.request().path;
    if (path.starts_with("/fake/")) {
        this->handleControl(exchange);
    } else if (path == "/engine/status") {
        this->handleStatus(exchange);
    } else if (path == "/engine/load") {
        this->handleLoad(exchange);
    } else if (path == "/v1/completions" || path == "/v1/chat/completions") {
        this->handleCompletion(exchange, path == "/v1/chat/completions");
    } else {
        exchange.respond(LibHttp::jsonResponse(404, R"({"error":"unknown path"})"));
    }
}

void FakeEngine::handleControl(LibHttp::HttpExchange &exchange)
{
    const std::string &path = exchange.request().path;
    if (path == "/fake/stats") {
        const FakeEngineStats now = this->stats();
        exchange.respond(LibHttp::jsonResponse(200,
                                               nlohmann::json{{"calls", now.calls},
                                                              {"peak_concurrent", now.peakConcurrent},
                                                              {"cold_overload", now.coldOverload},
                                                              {"loads", now.loads},
                                                              {"refused_loads", now.refusedLoads}}
                                                   .dump()));
        return;
    }
    if (path == "/fake/restart") {
        this->restart();
        exchange.respond(LibHttp::jsonResponse(200, "{}"));
        return;
    }
    const nlohmann::json json = nlohmann::json::parse(exchange.request().body, nullptr, false);
    const auto mode = AK::valueOf(engineFaultNames, json.is_object() ? json.value("mode", "") : "");
    if (path != "/fake/fault" || !mode) {
        exchange.respond(LibHttp::jsonResponse(400, R"({"error":"unknown path or mode"})"));
        return;
    }
    this->setFault(*mode);
    exchange.respond(LibHttp::jsonResponse(200, "{}"));
}

void FakeEngine::handleStatus(LibHttp::HttpExchange &exchange)
{
    nlohmann::json json;
    {
        const std::lock_guard lock(this->mutex);
        json = {
            {"instance", this->loaded.instance}, {"generation", this->loaded.generation}, {"state", this->loaded.state},       {"model", this->loaded.model},
            {"adapter", this->loaded.adapter},   {"version", this->loaded.version},       {"weights_root", this->loaded.root}, {"load", this->concurrent},
            {"slots", this->options.slots}};
    }
    exchange.respond(LibHttp::jsonResponse(200, json.dump()));
}

// Downloads all files and hashes their chunks, so that the root follows from the bytes and not from the hashes in the manifest.
absl::StatusOr<std::string> FakeEngine::downloadWeights(const std::string &url, const std::string &instance)
{
    constexpr std::string_view scheme = "http://";
    constexpr std::string_view suffix = "/manifest.json";
    const size_t slash = url.find('/', scheme.size());
    if (!url.starts_with(scheme) || !url.ends_with(suffix) || slash == std::string::npos) {
        return absl::InvalidArgumentError("manifest_url " + url);
    }
    CATKINLINK_ASSIGN(const AK::Endpoint target, AK::parseEndpoint(std::string_view(url).substr(scheme.size(), slash - scheme.size())));
    const std::string base = url.substr(slash, url.size() - slash - suffix.size());
    CATKINLINK_ASSIGN(const std::string text, get(target, base + std::string(suffix)));
    CATKINLINK_ASSIGN(LibWeights::Manifest manifest, LibWeights::parseManifest(text));
    for (LibWeights::ManifestFile &file : manifest.files) {
        CATKINLINK_ASSIGN(const std::string bytes, get(target, base + "/files/" + file.name));
        file.bytes = bytes.size();
        file.chunks.clear();
        for (size_t offset = 0; offset < bytes.size(); offset += manifest.chunkBytes) {
            file.chunks.push_back(AK::sha256Hex(std::string_view(bytes).substr(offset, manifest.chunkBytes)));
        }
        const std::lock_guard lock(this->mutex);
        if (this->fault == EngineFault::CrashInLoad) {
            this->fault = EngineFault::None;
            this->restartLocked();
        }
        if (this->loaded.instance != instance) {
            return absl::AbortedError("the engine restarted during the load");
        }
    }
    return LibWeights::rootOf(manifest);
}

void FakeEngine::handleLoad(LibHttp::HttpExchange &exchange)
{
    const nlohmann::json order = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!order.is_object() || !order.contains("fencing_token") || !order.contains("manifest_url")) {
        exchange.respond(LibHttp::jsonResponse(400, R"({"error":"malformed order"})"));
        return;
    }
    std::string instance;
    {
        const std::lock_guard lock(this->mutex);
        const auto token = order["fencing_token"].get<uint64_t>();
        if ((!this->options.ignoreFencing && token < this->highestFencingToken) || this->loaded.state == "loading") {
            ++this->counters.refusedLoads;
            exchange.respond(LibHttp::jsonResponse(409, R"({"error":"old fencing token or load in progress"})"));
            return;
        }
        this->highestFencingToken = std::max(this->highestFencingToken, token);
        this->loaded.state = "loading";
        this->loaded.root.clear();
        instance = this->loaded.instance;
    }
    const auto root = this->downloadWeights(order["manifest_url"].get<std::string>(), instance);
    this->clock.sleep(this->options.loadMs);
    EngineFault mode = EngineFault::None;
    {
        const std::lock_guard lock(this->mutex);
        mode = this->fault;
        if (this->loaded.instance == instance) {
            ++this->loaded.generation;
            this->loaded.state = root.ok() ? "ready" : "empty";
            this->loaded.root = root.ok() ? *root : "";
            this->loaded.model = order.value("model", "");
            this->loaded.adapter = order.value("adapter", "");
            this->loaded.version = order.value("version", "");
            this->loaded.coldUntil = this->clock.now() + this->options.coldMs;
            this->counters.loads += root.ok() ? 1 : 0;
        }
        if (mode == EngineFault::LoseLoadResponse) {
            this->fault = EngineFault::None;
        }
    }
    if (mode == EngineFault::LoseLoadResponse) {
        // Closes the connection without a whole response.
        exchange.beginStream(200, {});
        return;
    }
    exchange.respond(root.ok() ? LibHttp::jsonResponse(200, "{}")
                               : LibHttp::jsonResponse(502, nlohmann::json{{"error", std::string(root.status().message())}}.dump()));
}

bool FakeEngine::admit(LoadedWeights &weights, int &errorStatus)
{
    const std::lock_guard lock(this->mutex);
    ++this->counters.calls;
    const bool cold = this->clock.now() < this->loaded.coldUntil;
    errorStatus = 503;
    if (this->loaded.state != "ready") {
        return false;
    }
    if (this->concurrent >= (cold ? this->options.coldSlots : this->options.slots)) {
        this->counters.coldOverload += cold ? 1 : 0;
        errorStatus = cold ? 503 : 429;
        return false;
    }
    ++this->concurrent;
    this->counters.peakConcurrent = std::max(this->counters.peakConcurrent, static_cast<uint64_t>(this->concurrent));
    weights = this->loaded;
    return true;
}

void FakeEngine::waitWhileStalled()
{
    while (this->currentFault() == EngineFault::Stall && !this->stopping) {
        this->clock.sleep(stallPollMs);
    }
}

void FakeEngine::handleCompletion(LibHttp::HttpExchange &exchange, bool chat)
{
    const nlohmann::json body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object()) {
        exchange.respond(LibHttp::jsonResponse(400, R"({"error":"body is not a JSON object"})"));
        return;
    }
    LoadedWeights weights;
    int errorStatus = 0;
    if (!this->admit(weights, errorStatus)) {
        exchange.respond(LibHttp::jsonResponse(errorStatus, R"({"error":"the engine cannot take this call"})"));
        return;
    }
    try {
        const auto tokens = expectedTokens(extractPrompt(body, chat), weights.root, std::clamp(body.value("max_tokens", 16), 1, maxTokens));
        if (body.value("stream", false)) {
            this->respondStream(exchange, chat, tokens, weights);
        } else {
            this->respondWhole(exchange, chat, tokens, weights);
        }
    } catch (const nlohmann::json::exception &) {
        exchange.respond(LibHttp::jsonResponse(400, R"({"error":"malformed request"})"));
    }
    const std::lock_guard lock(this->mutex);
    if (this->loaded.instance == weights.instance) {
        --this->concurrent;
    }
}

void FakeEngine::respondWhole(LibHttp::HttpExchange &exchange, bool chat, const std::vector<std::string> &tokens, const LoadedWeights &weights)
{
    std::string text;
    for (const std::string &token : tokens) {
        this->waitWhileStalled();
        this->clock.sleep(this->options.tokenMs);
        text += token;
    }
    nlohmann::json response = completionObject(chat, false, text, weights.fingerprint());
    response["choices"][0]["finish_reason"] = "length";
    response["usage"] = {{"prompt_tokens", 1}, {"completion_tokens", tokens.size()}, {"total_tokens", tokens.size() + 1}};
    exchange.respond(LibHttp::jsonResponse(200, response.dump()));
}

void FakeEngine::respondStream(LibHttp::HttpExchange &exchange, bool chat, const std::vector<std::string> &tokens, const LoadedWeights &weights)
{
    if (!exchange.beginStream(200, {{"content-type", "text/event-stream"}})) {
        return;
    }
    for (size_t i = 0; i < tokens.size(); ++i) {
        this->waitWhileStalled();
        if (this->currentFault() == EngineFault::CutStream && i >= tokens.size() / 2) {
            return;
        }
        this->clock.sleep(this->options.tokenMs);
        // A restart during the stream shows in the fingerprint, as it would with an engine that loses its weights during a response.
        std::string fingerprint = weights.fingerprint();
        {
            const std::lock_guard lock(this->mutex);
            fingerprint = this->loaded.instance == weights.instance ? fingerprint : this->loaded.fingerprint();
        }
        if (!exchange.writeChunk(AK::concat("data: ", completionObject(chat, true, tokens[i], fingerprint).dump(), "\n\n"))) {
            return;
        }
    }
    exchange.writeChunk("data: [DONE]\n\n");
    exchange.endStream();
}

} // namespace Fakes
