#include "OperatorApiDouble.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <unistd.h>

namespace CatkinlinkTest
{

namespace
{

std::string loopbackAddress()
{
    const int process = getpid();
    return AK::concat("127.", 1 + process / 250 % 250, ".", process % 250, ".1");
}

} // namespace

LibWeights::Manifest exampleManifest()
{
    return {"glue-line", "base", "2", 65'536, {{"model.safetensors", 10, {std::string(64, '9')}}}};
}

OperatorApiDouble::OperatorApiDouble(uint16_t port)
    : address{loopbackAddress(), port}
    , server(this->address, {}, [this](LibHttp::HttpExchange &exchange) { this->handle(exchange); })
{
}

void OperatorApiDouble::reset(nlohmann::json document)
{
    const std::lock_guard lock(this->mutex);
    this->state = {};
    this->state.current = std::move(document);
    this->state.members = {
        nlohmann::json{{{"name", "entry-1"}, {"role", "entry"}, {"status", "alive"}}, {{"name", "gone"}, {"role", "agent"}, {"status", "dead"}}}};
}

AK::Endpoint OperatorApiDouble::endpoint() const
{
    return this->address;
}

absl::Status OperatorApiDouble::start()
{
    return this->server.start();
}

void OperatorApiDouble::planApplies(std::deque<ApplyMode> next)
{
    const std::lock_guard lock(this->mutex);
    this->state.modes = std::move(next);
}

void OperatorApiDouble::setMembers(nlohmann::json next)
{
    this->planMembers({std::move(next)});
}

void OperatorApiDouble::planMembers(std::deque<nlohmann::json> readings)
{
    const std::lock_guard lock(this->mutex);
    this->state.members = std::move(readings);
}

void OperatorApiDouble::setCallResponse(int status, std::string outcome)
{
    const std::lock_guard lock(this->mutex);
    this->state.callStatus = status;
    this->state.callOutcome = std::move(outcome);
}

nlohmann::json OperatorApiDouble::document() const
{
    const std::lock_guard lock(this->mutex);
    return this->state.current;
}

int OperatorApiDouble::applies() const
{
    const std::lock_guard lock(this->mutex);
    return this->state.applyCount;
}

int OperatorApiDouble::calls() const
{
    const std::lock_guard lock(this->mutex);
    return this->state.callCount;
}

int OperatorApiDouble::restrictions() const
{
    const std::lock_guard lock(this->mutex);
    return this->state.restrictionCount;
}

void OperatorApiDouble::accept(const nlohmann::json &changed, const std::string &id, const std::string &author)
{
    nlohmann::json entry{{"sequence", this->state.audit.size() + 1},
                         {"change_id", id},
                         {"author", author},
                         {"reason", "reason of " + author},
                         {"at_ms", 1'700'000'000'000U},
                         {"revision_before", this->state.revision},
                         {"revision_after", this->state.revision + 1},
                         {"digest_before", AK::sha256Hex(this->state.current.dump())},
                         {"digest_after", AK::sha256Hex(changed.dump())},
                         {"previous_hash", this->state.audit.empty() ? "" : this->state.audit.back()["hash"].get<std::string>()}};
    entry["hash"] = AK::sha256Hex(entry.dump());
    this->state.audit.push_back(entry);
    this->state.current = changed;
    this->state.changeId = id;
    ++this->state.revision;
}

LibHttp::HttpResponse OperatorApiDouble::apply(const nlohmann::json &request)
{
    const auto error = [](int status, const char *code, const char *text) {
        return LibHttp::jsonResponse(status, nlohmann::json{{"code", code}, {"error", text}}.dump());
    };
    ++this->state.applyCount;
    const ApplyMode mode = this->state.modes.empty() ? ApplyMode::Accept : this->state.modes.front();
    if (!this->state.modes.empty()) {
        this->state.modes.pop_front();
    }
    nlohmann::json other = this->state.current;
    if (mode == ApplyMode::ConflictUnseen) {
        this->state.staleResponse = nlohmann::json{{"revision", this->state.revision}, {"document", other}}.dump();
        this->state.staleResponseCount = 4;
    }
    if (mode == ApplyMode::Conflict || mode == ApplyMode::ConflictUnseen || mode == ApplyMode::LoseResponseAndConflict) {
        other["accounts"]["workshop"]["weight"] = this->state.revision + 5;
        this->accept(other, AK::concat("other-", this->state.revision), "rosa");
    } else if (mode == ApplyMode::ConflictOnField) {
        other["services"]["bench-assistant"]["target"]["version"] = "7";
        other["services"]["bench-assistant"]["target"]["root"] = std::string(64, '7');
        this->accept(other, "other-field", "rosa");
    }
    switch (mode) {
    case ApplyMode::StoreDown:
        return error(503, "store_unreachable", "the object API does not answer");
    case ApplyMode::LastCapacity:
        return error(422, "last_upstream", "takes out the last upstream of service ledger-room");
    case ApplyMode::Invalid:
        return error(422, "invalid_document", "/site is \"example\", this is \"mechelen\"");
    case ApplyMode::LoseResponseBefore:
    case ApplyMode::LoseResponseAndConflict:
        return error(504, "outcome_unknown", "the outcome is not known");
    default:
        break;
    }
    if (request.at("expected_revision") != this->state.revision) {
        return LibHttp::jsonResponse(409,
                                     nlohmann::json{{"code", "conflict"},
                                                    {"error", "another change was accepted first"},
                                                    {"revision", this->state.revision},
                                                    {"author", "rosa"},
                                                    {"reason", "reason of rosa"},
                                                    {"changed_at_ms", 1'700'000'000'000U}}
                                         .dump());
    }
    this->accept(request.at("document"), request.at("change_id"), "ana");
    if (mode == ApplyMode::LoseResponseAfter) {
        return error(504, "outcome_unknown", "the outcome is not known");
    }
    return LibHttp::jsonResponse(200, nlohmann::json{{"revision", this->state.revision}}.dump());
}

void OperatorApiDouble::handle(LibHttp::HttpExchange &exchange)
{
    const std::lock_guard lock(this->mutex);
    const LibHttp::HttpRequest &request = exchange.request();
    LibHttp::HttpResponse response = LibHttp::jsonResponse(404, "{}");
    if (request.path == "/v1/addresses") {
        response =
            LibHttp::jsonResponse(200, R"({"entries":[{"name":"entry-2","address":"10.0.0.3:7100","region":"coast","failure_domain":"north"}],"ttl_ms":5000})");
    } else if (request.path.starts_with("/services/")) {
        ++this->state.callCount;
        response = LibHttp::jsonResponse(this->state.callStatus, "{}");
        response.headers["X-Catkinlink-Outcome"] = this->state.callOutcome;
    } else if (request.path.starts_with("/weights/")) {
        response = LibHttp::jsonResponse(200, LibWeights::serializeManifest(exampleManifest()));
    } else if (LibHttp::headerOr(request.headers, "authorization") != "Bearer secret") {
        response = LibHttp::jsonResponse(401, R"({"code":"unauthorized","error":"the operator key is missing or unknown"})");
    } else if (request.path == "/operator/v1/apply") {
        const bool cut = !this->state.modes.empty() && this->state.modes.front() == ApplyMode::CutResponseAfter;
        response = this->apply(nlohmann::json::parse(request.body));
        if (cut) {
            exchange.beginStream(200, {});
            exchange.writeChunk("{");
            return;
        }
    } else if (request.path == "/operator/v1/revision") {
        response.status = 200;
        response.body = nlohmann::json{{"revision", this->state.revision}, {"change_id", this->state.changeId}, {"document", this->state.current}}.dump();
        if (this->state.staleResponseCount > 0) {
            --this->state.staleResponseCount;
            response.body = this->state.staleResponse;
        }
    } else if (request.path == "/operator/v1/audit") {
        response.status = 200;
        response.body = nlohmann::json{{"entries", this->state.audit}}.dump();
    } else if (request.path == "/operator/v1/restrictions") {
        ++this->state.restrictionCount;
        response.status = 202;
        response.body = R"({"id":"r1","in_force_on":3,"members":4})";
    } else if (request.path == "/operator/v1/status") {
        nlohmann::json list = this->state.members.front();
        if (this->state.members.size() > 1) {
            this->state.members.pop_front();
        }
        for (nlohmann::json &member : list) {
            member["revision"] = member.value("status", "") == "alive" ? this->state.revision : 0;
        }
        nlohmann::json restrictionList = nlohmann::json::array();
        if (this->state.restrictionCount > 0) {
            restrictionList.push_back({{"id", "r1"}, {"failure_domain", "north"}, {"reason", "fire"}});
        }
        response.status = 200;
        response.body = nlohmann::json{{"process", "entry-1"}, {"revision", this->state.revision}, {"members", list}, {"restrictions", restrictionList}}.dump();
    }
    exchange.respond(response);
}

} // namespace CatkinlinkTest
