#include "OperatorService.h"

#include "OperatorJson.h"
#include <AK/Text.h>
#include <LibAudit/AuditArchive.h>
#include <LibOnce/ClaimList.h>

namespace Operator
{

namespace
{

constexpr std::string_view pathPrefix = "/operator/v1/";
constexpr int idDigits = 16;

} // namespace

OperatorService::OperatorService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationService &configuration,
                                 LibMembership::MembershipView &membership, LibObjectStore::ObjectStore &store, LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , membership(membership)
    , store(store)
    , metrics(metrics)
    , random(AK::seededFromSystem())
{
}

std::string_view OperatorService::name() const
{
    return "operator";
}

absl::Status OperatorService::start()
{
    return absl::OkStatus();
}

void OperatorService::stop()
{
}

bool OperatorService::handle(LibHttp::HttpExchange &exchange)
{
    const LibHttp::HttpRequest &request = exchange.request();
    if (!request.path.starts_with(pathPrefix)) {
        return false;
    }
    const std::optional<std::string> author = authenticate(this->settings, request.headers);
    const LibHttp::HttpResponse response =
        author ? this->dispatch(request, *author) : errorResponse(OperatorErrorCode::Unauthorized, "the operator key is missing or unknown");
    this->metrics.add("catkinlink_operator_requests_total", {{"status", std::to_string(response.status)}});
    exchange.respond(response);
    return true;
}

LibHttp::HttpResponse OperatorService::dispatch(const LibHttp::HttpRequest &request, const std::string &author)
{
    const std::string endpoint = AK::concat(request.method, " ", request.path.substr(pathPrefix.size()));
    if (endpoint == "POST apply") {
        return this->apply(request, author);
    }
    if (endpoint == "GET revision") {
        return this->revision();
    }
    if (endpoint == "GET status") {
        return this->status();
    }
    if (endpoint == "POST restrictions") {
        return this->restrict(request, author);
    }
    if (endpoint == "GET audit") {
        return this->audit();
    }
    if (endpoint == "GET claims") {
        return this->claims(request);
    }
    return errorResponse(OperatorErrorCode::NotFound, AK::concat("the operator API has no ", endpoint));
}

LibHttp::HttpResponse OperatorService::apply(const LibHttp::HttpRequest &request, const std::string &author)
{
    const absl::StatusOr<LibConfiguration::ApplyRequest> change = parseApplyRequest(request.body, author);
    if (!change.ok()) {
        return errorResponse(OperatorErrorCode::InvalidRequest, AK::concat(change.status().message()));
    }
    return applyResponse(this->configuration.apply(*change));
}

LibHttp::HttpResponse OperatorService::revision() const
{
    const auto current = this->configuration.current();
    if (!current) {
        return LibHttp::jsonResponse(200, nlohmann::json{{"revision", 0}, {"change_id", ""}, {"digest", ""}, {"document", nullptr}}.dump());
    }
    const LibSettings::Revision &active = current->revision;
    return LibHttp::jsonResponse(
        200, nlohmann::json{{"revision", active.number}, {"change_id", active.changeId}, {"digest", active.digest}, {"document", active.document}}.dump());
}

LibHttp::HttpResponse OperatorService::status() const
{
    const auto current = this->configuration.current();
    nlohmann::json body{{"process", this->settings.name},
                        {"revision", current ? current->revision.number : 0},
                        {"members", nlohmann::json::array()},
                        {"restrictions", nlohmann::json::array()}};
    for (const LibMembership::Member &member : this->membership.members()) {
        body["members"].push_back(memberToJson(member));
    }
    if (current) {
        for (const auto &[id, restriction] : current->restrictions) {
            body["restrictions"].push_back(restrictionToJson(restriction));
        }
    }
    return LibHttp::jsonResponse(200, body.dump());
}

LibHttp::HttpResponse OperatorService::restrict(const LibHttp::HttpRequest &request, const std::string &author)
{
    const auto current = this->configuration.current();
    if (!current) {
        return errorResponse(OperatorErrorCode::NoConfiguration, "this process has no configuration yet");
    }
    auto restriction = parseRestriction(request.body, author, current->site, this->clock.wallTime());
    if (!restriction.ok()) {
        return errorResponse(OperatorErrorCode::InvalidRequest, AK::concat(restriction.status().message()));
    }
    {
        const std::lock_guard lock(this->mutex);
        restriction->id = AK::randomHex(this->random, idDigits);
    }
    const auto result = this->configuration.restrict(*restriction);
    if (!result.ok()) {
        return errorResponse(OperatorErrorCode::InvalidRequest, AK::concat(result.status().message()));
    }
    this->logger.warning("restriction", {{"restriction", restrictionToJson(*restriction)}, {"in_force_on", result->inForceOn}, {"members", result->members}});
    return LibHttp::jsonResponse(202, nlohmann::json{{"id", result->id}, {"in_force_on", result->inForceOn}, {"members", result->members}}.dump());
}

LibHttp::HttpResponse OperatorService::audit() const
{
    const auto current = this->configuration.current();
    const nlohmann::json tail = current ? current->revision.audit : nlohmann::json::array();
    // Until the first batch is archived, the tail is the complete trail and the store is not read.
    const auto first = tail.empty() ? std::nullopt : std::optional(LibAudit::entryFromJson(tail.front()));
    if (!first || (first->ok() && (*first)->sequence == 1)) {
        return LibHttp::jsonResponse(200, nlohmann::json{{"entries", tail}}.dump());
    }
    auto archived = LibAudit::readArchive(this->store, this->settings.site, this->settings.timing.storeTimeoutMs);
    if (!archived.ok()) {
        return errorResponse(OperatorErrorCode::StoreUnreachable, AK::concat("older entries cannot be read: ", archived.status().message()));
    }
    return LibHttp::jsonResponse(200, nlohmann::json{{"entries", LibAudit::joinTrails(*std::move(archived), tail)}}.dump());
}

LibHttp::HttpResponse OperatorService::claims(const LibHttp::HttpRequest &request) const
{
    const std::string stateName = LibHttp::queryParameter(request, "state");
    const auto state = AK::valueOf(LibOnce::claimStateNames, stateName);
    if (!state || (*state != LibOnce::ClaimState::Claimed && *state != LibOnce::ClaimState::Unknown)) {
        return errorResponse(OperatorErrorCode::InvalidRequest, AK::concat("state is \"", stateName, "\", must be claimed or unknown"));
    }
    const auto list = LibOnce::listClaims(this->store, *state, {}, this->settings.timing.storeTimeoutMs);
    if (!list.ok()) {
        return errorResponse(OperatorErrorCode::StoreUnreachable, AK::concat("the claims cannot be read: ", list.status().message()));
    }
    nlohmann::json body{{"claims", nlohmann::json::array()}, {"examined", list->examined}, {"malformed", list->malformed}, {"complete", list->complete}};
    for (const auto &[name, record] : list->claims) {
        body["claims"].push_back(claimToJson(name, record));
    }
    return LibHttp::jsonResponse(200, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace Operator
