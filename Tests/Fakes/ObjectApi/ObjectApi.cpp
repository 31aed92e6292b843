#include "ObjectApi.h"

#include <AK/Text.h>
#include <algorithm>

namespace Fakes
{

namespace
{

constexpr size_t maxValueBytes = 1 << 20;
constexpr size_t maxListedObjects = 1'000;
constexpr AK::Milliseconds maxWatchMs = 60'000;

LibHttp::HttpResponse error(int status, std::string_view message)
{
    return LibHttp::jsonResponse(status, nlohmann::json{{"error", message}}.dump());
}

LibHttp::HttpResponse objectResponse(const ObjectTable::Object &object)
{
    return LibHttp::jsonResponse(200, nlohmann::json{{"version", object.version}, {"value", object.value}}.dump());
}

std::string decodePercent(std::string_view text)
{
    LibHttp::HttpRequest request;
    request.query = AK::concat("v=", text);
    return LibHttp::queryParameter(request, "v");
}

} // namespace

ObjectApi::ObjectApi(const AK::Clock &clock)
    : clock(clock)
    , counters(clock)
    , random(AK::seededFromSystem())
{
}

void ObjectApi::close()
{
    this->table.close();
}

ObjectApi::Fault ObjectApi::sampleFault()
{
    const std::lock_guard lock(this->mutex);
    const bool affected = std::uniform_real_distribution<double>(0, 1)(this->random) < this->fault.share;
    return affected ? this->fault : Fault{};
}

void ObjectApi::handle(LibHttp::HttpExchange &exchange)
{
    const LibHttp::HttpRequest &request = exchange.request();
    if (request.path.starts_with("/fake/")) {
        exchange.respond(this->handleControl(request));
        return;
    }
    const bool change = request.method != "GET";
    this->counters.count(change);
    const Fault sampled = this->sampleFault();
    if (sampled.mode == ObjectApiFault::Down) {
        exchange.abandon();
        return;
    }
    if (sampled.mode == ObjectApiFault::Slow) {
        this->clock.sleep(sampled.delayMs);
    }
    const LibHttp::HttpResponse response = this->handleObjectCall(request, sampled.mode == ObjectApiFault::Stale);
    if (sampled.mode == ObjectApiFault::LoseResponses && change) {
        exchange.abandon();
        return;
    }
    exchange.respond(response);
}

LibHttp::HttpResponse ObjectApi::handleControl(const LibHttp::HttpRequest &request)
{
    if (request.method == "POST" && request.path == "/fake/fault") {
        return this->setFault(request.body);
    }
    if (request.method == "POST" && request.path == "/fake/hosts") {
        return this->setHosts(request.body);
    }
    if (request.method == "GET" && request.path == "/fake/stats") {
        return this->stats();
    }
    if (request.method == "POST" && request.path == "/fake/stats/reset") {
        this->counters.reset();
        return LibHttp::jsonResponse(200, "{}");
    }
    return error(404, "no such control");
}

LibHttp::HttpResponse ObjectApi::setFault(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("mode") || !json["mode"].is_string()) {
        return error(400, "/mode is missing");
    }
    const auto mode = AK::valueOf(objectApiFaultNames, json["mode"].get<std::string>());
    const nlohmann::json delay = json.value("delay_ms", nlohmann::json(0));
    const nlohmann::json share = json.value("share", nlohmann::json(1));
    if (!mode || !delay.is_number() || !share.is_number()) {
        return error(400, "/mode, /delay_ms or /share is malformed");
    }
    const std::lock_guard lock(this->mutex);
    this->fault = {*mode, delay.get<AK::Milliseconds>(), share.get<double>()};
    return LibHttp::jsonResponse(200, "{}");
}

LibHttp::HttpResponse ObjectApi::setHosts(const std::string &body)
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("hosts") || !json["hosts"].is_array()) {
        return error(400, "/hosts is not an array");
    }
    const std::lock_guard lock(this->mutex);
    this->hosts = json["hosts"];
    return LibHttp::jsonResponse(200, "{}");
}

LibHttp::HttpResponse ObjectApi::stats() const
{
    const CallCounters::Totals totals = this->counters.totals();
    return LibHttp::jsonResponse(200,
                                 nlohmann::json{{"calls", totals.calls},
                                                {"reads", totals.reads},
                                                {"writes", totals.writes},
                                                {"waiting_watches", this->table.waitingWatches()},
                                                {"peak_calls_per_s", totals.peakCallsPerSecond}}
                                     .dump());
}

LibHttp::HttpResponse ObjectApi::handleObjectCall(const LibHttp::HttpRequest &request, bool stale)
{
    if (request.method == "GET" && request.path == "/hosts") {
        const std::lock_guard lock(this->mutex);
        return LibHttp::jsonResponse(200, nlohmann::json{{"hosts", this->hosts}}.dump());
    }
    constexpr std::string_view root = "/objects/";
    if (!request.path.starts_with(root)) {
        return error(404, "no such path");
    }
    const std::string_view rest = std::string_view(request.path).substr(root.size());
    const size_t slash = rest.find('/');
    if (slash == std::string_view::npos) {
        return request.method == "GET" ? this->listObjects(request, decodePercent(rest)) : error(400, "a change needs a name");
    }
    const std::string key = AK::concat(decodePercent(rest.substr(0, slash)), "/", decodePercent(rest.substr(slash + 1)));
    return request.method == "GET" ? this->read(request, key, stale) : this->change(request, key);
}

LibHttp::HttpResponse ObjectApi::read(const LibHttp::HttpRequest &request, const std::string &key, bool stale)
{
    const std::string watch = LibHttp::queryParameter(request, "watch");
    std::optional<ObjectTable::Object> object;
    if (watch.empty() || stale) {
        object = this->table.get(key, stale);
    } else {
        const auto version = AK::parseInteger(watch);
        const auto timeout = AK::parseInteger(LibHttp::queryParameter(request, "timeout_ms", "0"));
        if (!version || *version < 0 || !timeout || *timeout < 0) {
            return error(400, "watch or timeout_ms is not a number");
        }
        object = this->table.watch(key, static_cast<uint64_t>(*version), std::min<AK::Milliseconds>(*timeout, maxWatchMs));
    }
    return object ? objectResponse(*object) : error(404, "no such object");
}

LibHttp::HttpResponse ObjectApi::listObjects(const LibHttp::HttpRequest &request, const std::string &kind) const
{
    nlohmann::json found = nlohmann::json::array();
    for (const auto &[key, object] : this->table.list(AK::concat(kind, "/", LibHttp::queryParameter(request, "prefix")), maxListedObjects)) {
        found.push_back({{"name", key.substr(kind.size() + 1)}, {"version", object.version}, {"value", object.value}});
    }
    return LibHttp::jsonResponse(200, nlohmann::json{{"objects", found}}.dump());
}

LibHttp::HttpResponse ObjectApi::change(const LibHttp::HttpRequest &request, const std::string &key)
{
    const auto ifMatch = AK::parseInteger(LibHttp::headerOr(request.headers, "if-match"));
    const bool create = LibHttp::headerOr(request.headers, "if-none-match") == "*";
    if (!ifMatch && !create) {
        return error(400, "If-Match or If-None-Match is missing");
    }
    const std::optional<uint64_t> ifVersion = ifMatch ? std::optional(static_cast<uint64_t>(*ifMatch)) : std::nullopt;
    ObjectTable::ChangeResult result;
    if (request.method == "DELETE" && ifVersion) {
        result = this->table.remove(key, *ifVersion);
    } else if (request.method == "PUT") {
        if (request.body.size() > maxValueBytes) {
            return error(413, "the value exceeds 1 MB");
        }
        nlohmann::json value = nlohmann::json::parse(request.body, nullptr, false);
        if (value.is_discarded()) {
            return error(400, "the value is not JSON");
        }
        result = this->table.put(key, ifVersion, std::move(value));
    } else {
        return error(400, "method or condition is not allowed");
    }
    switch (result.change) {
    case ObjectTable::Change::Done:
        return LibHttp::jsonResponse(200, nlohmann::json{{"version", result.version}}.dump());
    case ObjectTable::Change::ConditionFailed:
        return LibHttp::jsonResponse(412, nlohmann::json{{"error", "the condition failed"}, {"version", result.version}}.dump());
    case ObjectTable::Change::Missing:
        return error(404, "no such object");
    }
    return error(500, "unknown result");
}

} // namespace Fakes
