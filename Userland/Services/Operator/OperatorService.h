#pragma once

#include <AK/Random.h>
#include <Kernel/Service.h>
#include <LibConfiguration/ConfigurationService.h>
#include <LibHttp/RequestHandler.h>
#include <LibLog/Logger.h>
#include <mutex>

namespace Operator
{

/// The operator API of an entry process, see section 9.1 of the design page.
class OperatorService final : public Kernel::Service, public LibHttp::RequestHandler
{
public:
    OperatorService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationService &configuration,
                    LibMembership::MembershipView &membership, LibObjectStore::ObjectStore &store, LibMetrics::MetricRegistry &metrics);

    std::string_view name() const override;
    absl::Status start() override;
    void stop() override;

    bool handle(LibHttp::HttpExchange &exchange) override;

private:
    LibHttp::HttpResponse dispatch(const LibHttp::HttpRequest &request, const std::string &author);
    LibHttp::HttpResponse apply(const LibHttp::HttpRequest &request, const std::string &author);
    LibHttp::HttpResponse revision() const;
    LibHttp::HttpResponse status() const;
    LibHttp::HttpResponse restrict(const LibHttp::HttpRequest &request, const std::string &author);
    LibHttp::HttpResponse audit() const;
    LibHttp::HttpResponse claims(const LibHttp::HttpRequest &request) const;

    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    LibConfiguration::ConfigurationService &configuration;
    LibMembership::MembershipView &membership;
    LibObjectStore::ObjectStore &store;
    LibMetrics::MetricRegistry &metrics;
    LibLog::Logger logger{"operator"};
    std::mutex mutex;
    AK::Random random;
};

} // namespace Operator
