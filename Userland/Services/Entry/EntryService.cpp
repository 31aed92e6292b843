#include <Services/Entry/EntryService.h>

#include <AK/Text.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Entry
{

using LibOnce::Outcome;

namespace
{

constexpr size_t requestIdLimit = 128;
constexpr AK::Milliseconds overloadRetryAfterMs = 500;

class ActiveCallGuard
{
public:
    explicit ActiveCallGuard(std::atomic<int> &counter)
        : counter(counter)
        , countAtStart(++counter)
    {
    }
    ~ActiveCallGuard()
    {
        --this->counter;
    }
    ActiveCallGuard(const ActiveCallGuard &) = delete;
    ActiveCallGuard &operator=(const ActiveCallGuard &) = delete;

    int count() const
    {
        return this->countAtStart;
    }

private:
    std::atomic<int> &counter;
    int countAtStart;
};

std::string_view errorType(int status)
{
    return status >= 500 ? "server_error" : status == 401 ? "authentication_error" : "invalid_request_error";
}

std::string errorJson(int status, std::string_view reason, std::string_view message, const std::string &requestId)
{
    const nlohmann::json error = {{"message", message}, {"type", errorType(status)}, {"reason", reason}, {"request_id", requestId}};
    return nlohmann::json{{"error", error}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

LibHttp::HttpHeaders entryHeaders(const std::string &requestId, Outcome outcome, const std::string &version)
{
    LibHttp::HttpHeaders headers{{"x-request-id", requestId}, {"x-catkinlink-outcome", std::string(AK::nameOf(LibOnce::outcomeNames, outcome))}};
    if (!version.empty()) {
        headers["x-catkinlink-version"] = version;
    }
    return headers;
}

int statusOf(const RouteResult &result)
{
    if (result.reason == "deadline") {
        return 504;
    }
    return result.outcome == Outcome::Unknown ? 502 : 503;
}

LibHttp::HttpResponse errorResponse(const RouteResult &result, const std::string &requestId)
{
    const int status = statusOf(result);
    LibHttp::HttpResponse response = LibHttp::jsonResponse(status, errorJson(status, result.reason, result.message, requestId));
    if (result.outcome == Outcome::NotRun) {
        response.headers["retry-after"] = std::to_string((std::max<AK::Milliseconds>(1, result.retryAfterMs) + 999) / 1000);
    }
    return response;
}

void addHeaders(LibHttp::HttpResponse &response, const LibHttp::HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        response.headers[name] = value;
    }
}

} // namespace

EntryService::EntryService(const LibSettings::ProcessSettings &settings, const AK::Clock &clock, LibConfiguration::ConfigurationView &configuration,
                           LibMembership::MembershipView &membership, LibOnce::OnceRunner &once, LibWire::RpcIdentity identity,
                           LibMetrics::MetricRegistry &metrics)
    : settings(settings)
    , clock(clock)
    , configuration(configuration)
    , once(once)
    , metrics(metrics)
    , routingState(AK::seededFromSystem())
    , router(settings, clock, configuration, membership, this->routingState, std::move(identity), metrics)
{
}

std::string_view EntryService::name() const
{
    return "entry";
}

absl::Status EntryService::start()
{
    return absl::OkStatus();
}

void EntryService::stop()
{
}

bool EntryService::handle(LibHttp::HttpExchange &exchange)
{
    if (!isCallPath(exchange.request().path)) {
        return false;
    }
    const std::string requestId = this->requestIdOf(exchange.request());
    const ActiveCallGuard guard(this->activeCalls);
    if (guard.count() > this->settings.entry.callLimit) {
        this->refuse(exchange, requestId, {503, "overloaded", "this entry is at its limit of calls", overloadRetryAfterMs});
    } else {
        this->serve(exchange, requestId);
    }
    return true;
}

std::string EntryService::requestIdOf(const LibHttp::HttpRequest &request)
{
    const std::string_view given = LibHttp::headerOr(request.headers, "x-request-id");
    const bool printable = std::all_of(given.begin(), given.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
    return given.empty() || given.size() > requestIdLimit || !printable ? this->routingState.randomId() : std::string(given);
}

void EntryService::serve(LibHttp::HttpExchange &exchange, const std::string &requestId)
{
    auto parsed = parseCall(exchange.request(), requestId, this->configuration.current(), this->clock.now(), this->settings.entry.defaultDeadlineMs);
    if (const auto *error = std::get_if<RequestError>(&parsed)) {
        this->refuse(exchange, requestId, *error);
        return;
    }
    auto &call = std::get<EntryCall>(parsed);
    if (call.repeatable) {
        this->serveRepeatable(exchange, call);
    } else {
        this->serveOnce(exchange, call);
    }
}

void EntryService::refuse(LibHttp::HttpExchange &exchange, const std::string &requestId, const RequestError &error)
{
    LibHttp::HttpResponse response = LibHttp::jsonResponse(error.status, errorJson(error.status, error.reason, error.message, requestId));
    addHeaders(response, entryHeaders(requestId, Outcome::NotRun, {}));
    if (error.status == 503) {
        response.headers["retry-after"] = std::to_string((error.retryAfterMs + 999) / 1000);
    }
    this->metrics.add("catkinlink_entry_refusals_total", {{"reason", error.reason}});
    this->logger.info("request_refused", {{"request_id", requestId}, {"status", error.status}, {"reason", error.reason}, {"message", error.message}});
    exchange.respond(response);
}

void EntryService::serveRepeatable(LibHttp::HttpExchange &exchange, EntryCall &call)
{
    CallerResponse callerResponse(exchange, call.stream, this->clock, call.startedAt, this->metrics);
    // The head of a stream is sent before the outcome is known: its `done` is valid only if the stream ends properly.
    const RouteResult result = this->router.route(call, callerResponse, entryHeaders(call.requestId, Outcome::Done, {}));
    this->recordResult(call, result);
    if (result.outcome == Outcome::Done && callerResponse.isStreaming()) {
        callerResponse.finishStream();
        return;
    }
    if (callerResponse.sentToCaller()) {
        // FIXME: Engines can resume a stream at a token; as long as this isn't used, an interrupted stream ends with an error.
        callerResponse.abortStream(errorJson(502, result.reason, result.message, call.requestId));
        return;
    }
    LibHttp::HttpResponse response = result.outcome == Outcome::Done ? callerResponse.bufferedResponse() : errorResponse(result, call.requestId);
    addHeaders(response, entryHeaders(call.requestId, result.outcome, result.version));
    exchange.respond(response);
}

void EntryService::serveOnce(LibHttp::HttpExchange &exchange, EntryCall &call)
{
    CallerResponse callerResponse(exchange, false, this->clock, call.startedAt, this->metrics);
    RouteResult route;
    const LibOnce::OnceRequest request{call.account, call.service, call.request.method, call.path, call.idempotencyKey, call.request.body};
    const LibOnce::OnceResult result = this->once.run(request, [&](const std::string &nonce, AK::Milliseconds startBefore) {
        call.claimNonce = nonce;
        call.startBefore = std::min(startBefore, call.deadline);
        route = this->router.route(call, callerResponse, {});
        LibHttp::HttpResponse response = route.outcome == Outcome::Done ? callerResponse.bufferedResponse() : errorResponse(route, call.requestId);
        return LibOnce::DispatchResult{route.outcome, std::move(response), route.reason};
    });
    route.outcome = result.outcome;
    route.reason = result.reason;
    this->recordResult(call, route);
    LibHttp::HttpResponse response = result.response;
    if (result.outcome != Outcome::Done && response.body.empty()) {
        response = LibHttp::jsonResponse(response.status, errorJson(response.status, result.reason, result.reason, call.requestId));
    }
    addHeaders(response, entryHeaders(call.requestId, result.outcome, route.version));
    exchange.respond(response);
}

void EntryService::recordResult(const EntryCall &call, const RouteResult &result)
{
    const std::string_view outcome = AK::nameOf(LibOnce::outcomeNames, result.outcome);
    const AK::Milliseconds total = this->clock.now() - call.startedAt;
    this->metrics.add("catkinlink_entry_calls_total", {{"outcome", std::string(outcome)}, {"kind", call.engine ? "engine" : "plain"}});
    this->metrics.observe("catkinlink_entry_total_ms", {{"kind", call.engine ? "engine" : "plain"}}, static_cast<double>(total));
    const nlohmann::json fields = {{"request_id", call.requestId}, {"account", call.account},   {"service", call.service},
                                   {"upstream", result.upstream},  {"version", result.version}, {"revision", call.configuration->revision.number},
                                   {"outcome", outcome},           {"reason", result.reason},   {"total_ms", total}};
    if (result.outcome == Outcome::Done) {
        this->logger.debug("call", fields);
    } else {
        this->logger.info("call_not_done", fields);
    }
}

} // namespace Entry
