#pragma once

#include <AK/Clock.h>
#include <Kernel/Service.h>
#include <LibConfiguration/ConfigurationView.h>
#include <LibHttp/RequestHandler.h>
#include <LibMembership/MembershipView.h>
#include <LibSettings/ProcessSettings.h>
#include <string>
#include <vector>

namespace Addresses
{

/// Entries that callers may use: alive and in a failure domain that is in service. The account determines which one is first, so that accounts are spread over
/// the entries. Suspect entries are returned only when none is alive.
std::vector<LibMembership::Member> usableEntries(const std::vector<LibMembership::Member> &members, const LibConfiguration::Configuration &configuration,
                                                 const std::string &account, AK::Milliseconds wallTime);

/// Answers `GET /v1/addresses` with `{entries: [{name, address, region, failure_domain}], ttl_ms}`.
class AddressService final : public Kernel::Service, public LibHttp::RequestHandler
{
public:
    AddressService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, const LibConfiguration::ConfigurationView &configuration,
                   const LibMembership::MembershipView &membership);

    std::string_view name() const override;
    absl::Status start() override;
    void stop() override;

    bool handle(LibHttp::HttpExchange &exchange) override;

private:
    const LibSettings::ProcessSettings &settings;
    const AK::Clock &clock;
    const LibConfiguration::ConfigurationView &configuration;
    const LibMembership::MembershipView &membership;
};

} // namespace Addresses
