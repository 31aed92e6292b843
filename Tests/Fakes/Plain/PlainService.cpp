#include "PlainService.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Fakes
{

namespace
{

// Sends a chunked response without its final chunk, which every client recognizes as cut.
void abortResponse(LibHttp::HttpExchange &exchange)
{
    exchange.beginStream(200, {{"content-type", "application/json"}});
    exchange.writeChunk("{\"cut\":");
}

} // namespace

PlainService::PlainService(const AK::Clock &clock, AK::Milliseconds delay)
    : clock(clock)
    , delay(delay)
{
}

void PlainService::handle(LibHttp::HttpExchange &exchange)
{
    if (exchange.request().path == "/fake/fault") {
        this->handleFault(exchange);
    } else if (exchange.request().path == "/fake/stats") {
        this->handleStats(exchange);
    } else if (exchange.request().path == "/fake/executions") {
        this->handleExecutions(exchange);
    } else if (exchange.request().path == "/fake/requests") {
        this->handleRequests(exchange);
    } else {
        this->execute(exchange);
    }
}

void PlainService::handleFault(LibHttp::HttpExchange &exchange)
{
    const nlohmann::json body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    const bool hasMode = body.is_object() && body.contains("mode") && body["mode"].is_string();
    const auto mode = hasMode ? AK::valueOf(plainFaultNames, body["mode"].get<std::string>()) : std::nullopt;
    if (!mode) {
        exchange.respond(LibHttp::jsonResponse(400, R"({"error":"mode must be none, cut_after_run, cut_before_run or stall"})"));
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->fault = *mode;
        this->changed.notify_all();
    }
    exchange.respond(LibHttp::jsonResponse(200, "{}"));
}

void PlainService::handleStats(LibHttp::HttpExchange &exchange)
{
    nlohmann::json stats;
    {
        const std::lock_guard lock(this->mutex);
        stats["executions"] = this->executions;
        stats["executed_twice"] =
            std::count_if(this->executionsByIdempotencyKey.begin(), this->executionsByIdempotencyKey.end(), [](const auto &entry) { return entry.second > 1; });
        stats["by_key_count"] = this->executionsByIdempotencyKey.size();
    }
    exchange.respond(LibHttp::jsonResponse(200, stats.dump()));
}

void PlainService::handleExecutions(LibHttp::HttpExchange &exchange)
{
    nlohmann::json executionsByKey = nlohmann::json::object();
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[key, count] : this->executionsByIdempotencyKey) {
            executionsByKey[key] = count;
        }
    }
    exchange.respond(LibHttp::jsonResponse(200, executionsByKey.dump()));
}

void PlainService::handleRequests(LibHttp::HttpExchange &exchange)
{
    nlohmann::json executed;
    {
        const std::lock_guard lock(this->mutex);
        executed["executed"] = this->requestIds;
    }
    exchange.respond(LibHttp::jsonResponse(200, executed.dump()));
}

uint64_t PlainService::countExecution(const std::string &key, const std::string &requestId)
{
    const std::lock_guard lock(this->mutex);
    ++this->executions;
    if (!requestId.empty()) {
        this->requestIds.push_back(requestId);
    }
    return key.empty() ? 1 : ++this->executionsByIdempotencyKey[key];
}

bool PlainService::waitWhileStalled()
{
    std::unique_lock lock(this->mutex);
    this->changed.wait(lock, [this] { return this->stopping || this->fault != PlainFault::Stall; });
    return !this->stopping;
}

void PlainService::execute(LibHttp::HttpExchange &exchange)
{
    if (this->delay > 0) {
        this->clock.sleep(this->delay);
    }
    PlainFault current = PlainFault::None;
    {
        const std::lock_guard lock(this->mutex);
        current = this->fault;
    }
    if (current == PlainFault::CutBeforeRun) {
        abortResponse(exchange);
        return;
    }
    const std::string key(LibHttp::headerOr(exchange.request().headers, "idempotency-key"));
    const uint64_t times = this->countExecution(key, std::string(LibHttp::headerOr(exchange.request().headers, "x-request-id")));
    if (current == PlainFault::CutAfterRun || !this->waitWhileStalled()) {
        abortResponse(exchange);
        return;
    }
    const nlohmann::json response = {
        {"method", exchange.request().method}, {"path", exchange.request().path}, {"query", exchange.request().query}, {"key", key}, {"executed", times},
        {"body", exchange.request().body}};
    exchange.respond(LibHttp::jsonResponse(200, response.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)));
}

void PlainService::shutdown()
{
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
}

} // namespace Fakes
