#include "AddressService.h"

#include <AK/Hash.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Addresses
{

namespace
{

// The client account that the bearer key belongs to; empty when there is none.
std::string accountOf(const LibConfiguration::Configuration &configuration, const LibHttp::HttpHeaders &headers)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string_view header = LibHttp::headerOr(headers, "authorization");
    if (!header.starts_with(scheme)) {
        return "";
    }
    const std::string digest = AK::sha256Hex(header.substr(scheme.size()));
    for (const auto &[name, account] : configuration.site.accounts) {
        if (AK::equalInConstantTime(digest, account.keySha256)) {
            return name;
        }
    }
    return "";
}

} // namespace

std::vector<LibMembership::Member> usableEntries(const std::vector<LibMembership::Member> &members, const LibConfiguration::Configuration &configuration,
                                                 const std::string &account, AK::Milliseconds wallTime)
{
    std::vector<LibMembership::Member> alive;
    std::vector<LibMembership::Member> suspect;
    for (const LibMembership::Member &member : members) {
        if (member.role != LibSettings::ProcessRole::Entry || !LibConfiguration::failureDomainAllowed(configuration, member.failureDomain, wallTime)) {
            continue;
        }
        if (member.status == LibMembership::MemberStatus::Alive) {
            alive.push_back(member);
        } else if (member.status == LibMembership::MemberStatus::Suspect) {
            suspect.push_back(member);
        }
    }
    std::vector<LibMembership::Member> entries = alive.empty() ? std::move(suspect) : std::move(alive);
    if (!entries.empty()) {
        const auto first = static_cast<std::ptrdiff_t>(AK::stableHash(account) % entries.size());
        std::rotate(entries.begin(), entries.begin() + first, entries.end());
    }
    return entries;
}

AddressService::AddressService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, const LibConfiguration::ConfigurationView &configuration,
                               const LibMembership::MembershipView &membership)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , membership(membership)
{
}

std::string_view AddressService::name() const
{
    return "addresses";
}

absl::Status AddressService::start()
{
    return absl::OkStatus();
}

void AddressService::stop()
{
}

bool AddressService::handle(LibHttp::HttpExchange &exchange)
{
    const LibHttp::HttpRequest &request = exchange.request();
    if (request.path != "/v1/addresses") {
        return false;
    }
    if (request.method != "GET") {
        exchange.respond(LibHttp::jsonResponse(405, R"({"error":"only GET is allowed"})"));
        return true;
    }
    const auto current = this->configuration.current();
    if (!current) {
        LibHttp::HttpResponse response = LibHttp::jsonResponse(503, R"({"error":"this process has no configuration yet"})");
        response.headers["retry-after"] = "1";
        exchange.respond(response);
        return true;
    }
    nlohmann::json body{{"entries", nlohmann::json::array()}, {"ttl_ms", this->settings.entry.addressTtlMs}};
    const std::string account = accountOf(*current, request.headers);
    for (const LibMembership::Member &entry : usableEntries(this->membership.members(), *current, account, this->clock.wallTime())) {
        body["entries"].push_back(
            {{"name", entry.name}, {"address", entry.httpAddress.text()}, {"region", entry.region}, {"failure_domain", entry.failureDomain}});
    }
    exchange.respond(LibHttp::jsonResponse(200, body.dump()));
    return true;
}

} // namespace Addresses
