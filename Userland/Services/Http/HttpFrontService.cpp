#include <Http/HttpFrontService.h>

namespace Http
{

namespace
{

// An agent's HTTP server serves only its engine, metrics and health checks.
constexpr int agentThreads = 8;
// Longest deadline that a client may request; no request in flight can need more time.
constexpr AK::Milliseconds drainLimitMs = 600'000;

LibHttp::HttpServerLimits limitsOf(const LibSettings::ProcessSettings &settings)
{
    const bool entry = settings.role == LibSettings::ProcessRole::Entry;
    return {.threads = entry ? settings.entry.callThreads : agentThreads, .bodyBytes = settings.entry.bodyLimitBytes};
}

} // namespace

HttpFrontService::HttpFrontService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock,
                                   const LibConfiguration::ConfigurationView &configuration, LibMetrics::MetricRegistry &metrics,
                                   std::vector<LibHttp::RequestHandler *> handlers, std::function<void()> refreshMetrics)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , metrics(metrics)
    , handlers(std::move(handlers))
    , refreshMetrics(std::move(refreshMetrics))
    , server(settings.httpAddress, limitsOf(settings), [this](LibHttp::HttpExchange &exchange) { this->serve(exchange); })
{
}

std::string_view HttpFrontService::name() const
{
    return "http";
}

absl::Status HttpFrontService::start()
{
    return this->server.start();
}

void HttpFrontService::serve(LibHttp::HttpExchange &exchange)
{
    if (this->serveHealth(exchange) || this->rejectBeforeStop(exchange)) {
        return;
    }
    for (LibHttp::RequestHandler *handler : this->handlers) {
        if (handler->handle(exchange)) {
            return;
        }
    }
    exchange.respond(LibHttp::jsonResponse(404, R"({"error":"no such path"})"));
}

bool HttpFrontService::serveHealth(LibHttp::HttpExchange &exchange)
{
    const std::string &path = exchange.request().path;
    if (path == "/metrics") {
        this->refreshMetrics();
        exchange.respond({200, {{"content-type", "text/plain; version=0.0.4"}}, this->metrics.text()});
        return true;
    }
    if (path == "/health/live") {
        exchange.respond(LibHttp::jsonResponse(200, R"({"live":true})"));
        return true;
    }
    if (path == "/health/ready") {
        const bool ready = this->configuration.current() != nullptr && !this->draining;
        exchange.respond(LibHttp::jsonResponse(ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})"));
        return true;
    }
    return false;
}

bool HttpFrontService::rejectBeforeStop(LibHttp::HttpExchange &exchange)
{
    if (!this->rejecting) {
        return false;
    }
    LibHttp::HttpResponse response = LibHttp::jsonResponse(503, R"({"error":{"reason":"stopping","message":"this process is about to stop"}})");
    response.headers["x-catkinlink-outcome"] = "not_run";
    response.headers["retry-after"] = "1";
    exchange.respond(response);
    return true;
}

void HttpFrontService::drain()
{
    this->draining = true;
    if (this->settings.role == LibSettings::ProcessRole::Entry) {
        const AK::Milliseconds grace = this->settings.entry.addressTtlMs + this->settings.entry.propagationMs;
        this->logger.info("drain_started", {{"grace_ms", grace}, {"in_flight", this->server.inFlight()}});
        this->clock.sleep(grace);
        this->rejecting = true;
    }
    const bool idle = this->server.waitIdle(this->clock, drainLimitMs);
    this->logger.info("drain_finished", {{"idle", idle}, {"in_flight", this->server.inFlight()}});
}

void HttpFrontService::stop()
{
    this->server.stop();
}

} // namespace Http
