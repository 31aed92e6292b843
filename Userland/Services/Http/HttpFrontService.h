#pragma once

#include <AK/Clock.h>
#include <Kernel/Service.h>
#include <LibConfiguration/ConfigurationView.h>
#include <LibHttp/RequestHandler.h>
#include <LibLog/Logger.h>
#include <LibMetrics/MetricRegistry.h>
#include <LibSettings/ProcessSettings.h>
#include <atomic>
#include <functional>
#include <vector>

namespace Http
{

/// The HTTP listener of a daemon: passes requests to the handlers in order and serves /metrics, /health/live and /health/ready itself.
class HttpFrontService final : public Kernel::Service
{
public:
    /// `refreshMetrics` is called before each /metrics response to set the gauges that are sampled on demand.
    HttpFrontService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, const LibConfiguration::ConfigurationView &configuration,
                     LibMetrics::MetricRegistry &metrics, std::vector<LibHttp::RequestHandler *> handlers, std::function<void()> refreshMetrics);

    std::string_view name() const override;
    absl::Status start() override;

    /// An entry keeps serving for as long as clients may use its cached address, then rejects new requests and waits until none is in flight.
    void drain() override;
    void stop() override;

private:
    void serve(LibHttp::HttpExchange &exchange);
    bool serveHealth(LibHttp::HttpExchange &exchange);
    /// Rejects a request that arrives when the process is about to stop. Returns whether it did.
    bool rejectBeforeStop(LibHttp::HttpExchange &exchange);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    const LibConfiguration::ConfigurationView &configuration;
    LibMetrics::MetricRegistry &metrics;
    std::vector<LibHttp::RequestHandler *> handlers;
    std::function<void()> refreshMetrics;
    LibLog::Logger logger{"http"};
    std::atomic<bool> draining{false};
    /// The time in which clients may use the cached address of a draining entry is over.
    std::atomic<bool> rejecting{false};
    LibHttp::HttpServer server;
};

} // namespace Http
