#pragma once

#include <Kernel/Service.h>
#include <LibHttp/RequestHandler.h>
#include <Services/Entry/CallParser.h>
#include <Services/Entry/CallRouter.h>
#include <atomic>

namespace Entry
{

/// Takes calls from callers and has them answered by upstreams.
class EntryService final : public Kernel::Service, public LibHttp::RequestHandler
{
public:
    EntryService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                 LibMembership::MembershipView &membership, LibOnce::OnceRunner &once, LibWire::RpcIdentity identity, LibMetrics::MetricRegistry &metrics);

    std::string_view name() const override;
    absl::Status start() override;
    void stop() override;

    /// Serves the call paths of section 3.1; false for others.
    bool handle(LibHttp::HttpExchange &exchange) override;

private:
    void serve(LibHttp::HttpExchange &exchange, const std::string &requestId);
    void serveRepeatable(LibHttp::HttpExchange &exchange, EntryCall &call);
    void serveOnce(LibHttp::HttpExchange &exchange, EntryCall &call);
    void refuse(LibHttp::HttpExchange &exchange, const std::string &requestId, const RequestError &error);
    void finish(const EntryCall &call, const RouteResult &result);
    std::string requestIdOf(const LibHttp::HttpRequest &request);

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationView &configuration;
    LibOnce::OnceRunner &once;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"entry"};
    RoutingMemory memory;
    CallRouter router;
    std::atomic<int> active{0};
};

} // namespace Entry
