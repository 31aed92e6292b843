#pragma once

#include <Kernel/Service.h>
#include <LibHttp/RequestHandler.h>
#include <Services/Entry/CallParser.h>
#include <Services/Entry/CallRouter.h>
#include <atomic>

namespace Entry
{

/// Receives calls from callers over HTTP and routes them to upstreams.
class EntryService final : public Kernel::Service, public LibHttp::RequestHandler
{
public:
    EntryService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                 LibMembership::MembershipView &membership, LibOnce::OnceRunner &once, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);

    std::string_view name() const override;
    absl::Status start() override;
    void stop() override;

    /// Serves the paths for which isCallPath() is true; returns false for others.
    bool handle(LibHttp::HttpExchange &exchange) override;

private:
    void serve(LibHttp::HttpExchange &exchange, const std::string &requestId);
    void serveRepeatable(LibHttp::HttpExchange &exchange, EntryCall &call);
    void serveOnce(LibHttp::HttpExchange &exchange, EntryCall &call);
    void refuse(LibHttp::HttpExchange &exchange, const std::string &requestId, const RequestError &error);
    void recordResult(const EntryCall &call, const RouteResult &result);
    std::string requestIdOf(const LibHttp::HttpRequest &request);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibOnce::OnceRunner &once;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"entry"};
    RoutingState routingState;
    CallRouter router;
    std::atomic<int> activeCalls{0};
};

} // namespace Entry
