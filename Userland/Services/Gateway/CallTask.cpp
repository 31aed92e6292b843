#include "CallTask.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace Gateway
{

using LibFleet::RouteKind;

namespace
{

constexpr AK::Milliseconds defaultPatience = 10'000;
// Time a call keeps for its answer to reach the client before the client's own deadline.
constexpr AK::Milliseconds answerMargin = 20;
// An upstream that sends no first event, or then no further one, for this long is left if the stream may be resumed. Clients leave after 3.2 s.
constexpr AK::Milliseconds silenceLimit = 1'800;
// A repeatable call without an answer is sent elsewhere after this share of its time.
constexpr double plainSilenceShare = 0.4;
constexpr uint64_t answerBodyBytes = 16UL << 20;
constexpr AK::Milliseconds refusalRetryAfter = 500;
// One of so many successful calls is logged; all that fail are.
constexpr uint64_t logSampling = 16;

constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

const std::string &pickService(const LibFleet::Route &route, const std::string &requestId)
{
    double total = 0;
    for (const LibFleet::ServiceShare &share : route.services) {
        total += share.weight;
    }
    // The same for each send of a call, so that a repeat stays with its service.
    double point = static_cast<double>(AK::stableHash(requestId) % 1'000'000) / 1'000'000 * total;
    for (const LibFleet::ServiceShare &share : route.services) {
        if (point < share.weight) {
            return share.service;
        }
        point -= share.weight;
    }
    return route.services.back().service;
}

} // namespace

CallTask::CallTask(const CallContext &context, LibHttpStream::RequestHead head, std::string body, ClientChannel &client)
    : context(context)
    , head(std::move(head))
    , body(std::move(body))
    , client(client)
    , arrivedAt(context.loop.clock().now())
{
}

CallTask::~CallTask()
{
    this->log();
}

AK::Milliseconds CallTask::now() const
{
    return this->context.loop.clock().now();
}

void CallTask::run(kj::WaitScope &scope)
{
    if (this->prepare(scope)) {
        this->context.dispatcher.countCall(this->demand.service);
        this->attempts(scope);
    }
}

bool CallTask::prepare(kj::WaitScope &scope)
{
    absl::StatusOr<LibGateway::CallRequest> decoded = this->context.codec.decodeRequest(this->head);
    if (!decoded.ok()) {
        this->refuse(scope, badRequest, std::string(decoded.status().message()), 0);
        return false;
    }
    this->request = std::move(*decoded);
    this->lastEventId = this->request.lastEventId;
    this->configuration = this->context.fleet.configuration();
    if (!this->configuration) {
        this->refuse(scope, unavailable, "no configuration is known yet", refusalRetryAfter);
        return false;
    }
    this->route = this->context.fleet.routes()->find(this->request.host, this->request.path);
    if (this->route == nullptr || this->route->services.empty()) {
        this->refuse(scope, notFound, "no route", 0);
        return false;
    }
    if (this->configuration->hasAccounts && !this->route->isPublic) {
        const auto found = this->request.key ? this->configuration->accountsByKey.find(*this->request.key) : this->configuration->accountsByKey.end();
        if (found == this->configuration->accountsByKey.end()) {
            this->refuse(scope, unauthorized, "unknown key", 0);
            return false;
        }
        this->account = found->second;
    }
    const AK::Milliseconds patience = this->request.clientTimeout.value_or(defaultPatience);
    this->deadline = this->arrivedAt + std::min(patience, this->route->timeout > 0 ? this->route->timeout : patience) - answerMargin;
    this->demand.service = pickService(*this->route, this->request.id);
    this->demand.place.priority = this->account && this->account->priority ? *this->account->priority : this->route->priority;
    this->demand.arrivedAt = this->arrivedAt;
    this->demand.regions = this->route->allowedRegions;
    if (this->account) {
        this->demand.accountRegions = this->account->allowedRegions;
    }
    this->demand.promptTokens = this->route->kind == RouteKind::Stream ? this->request.promptTokens : 0;
    this->context.dispatcher.arrangeWaiting(this->demand, *this->route, patience);
    this->demand.startBy = std::min(this->demand.startBy, this->deadline);
    return true;
}

void CallTask::attempts(kj::WaitScope &scope)
{
    while (this->attempt(scope) == Next::TryAnother) {}
}

CallTask::Next CallTask::attempt(kj::WaitScope &scope)
{
    if (this->now() >= this->deadline) {
        this->giveUp(scope, "the time of the call is over", refusalRetryAfter);
        return Next::Done;
    }
    // A repeat has waited already; it takes a place soon or not at all.
    if (this->report.sends > 0) {
        this->demand.startBy = std::min(this->deadline, std::max(this->demand.startBy, this->now() + this->route->targetLatency / 2));
    }
    const AK::Milliseconds asked = this->now();
    GrantOrRefusal place = this->context.dispatcher.acquire(scope, this->demand);
    this->report.waited += this->now() - asked;
    KJ_IF_MAYBE (grant, place.grant) {
        const LibFleet::UpstreamRecord upstream = (*grant)->upstream();
        this->report.upstream = upstream.id;
        this->report.loadAtChoice = (*grant)->loadAtChoice();
        ++this->report.sends;
        UpstreamCall call(this->context.loop, this->context.links, this->context.codec);
        const bool repeatable = this->route->repeatable();
        AK::Milliseconds answerBy = this->deadline;
        if (repeatable && this->report.sends < this->route->maxAttempts) {
            const auto share = static_cast<AK::Milliseconds>(plainSilenceShare * static_cast<double>(this->deadline - this->arrivedAt));
            answerBy = std::min(answerBy, this->now() + (this->route->kind == RouteKind::Stream ? silenceLimit : share));
        }
        const LibHttpStream::RequestHead outgoing = this->context.codec.encodeRequest(this->head, this->targetAt(**grant));
        const UpstreamCall::Result sent = call.send(scope, upstream, outgoing, this->body, this->request.id, repeatable, answerBy);
        if (sent.outcome != SendOutcome::Answered) {
            this->context.dispatcher.countOutcome(upstream, !sent.refusedByUpstream);
            return this->afterFailure(scope, upstream, sent.outcome == SendOutcome::Unknown, sent.reason);
        }
        if (call.answerInfo().load) {
            this->context.dispatcher.countAnswer(upstream, call.answerInfo().load->running, call.answerInfo().load->waiting);
        }
        if (this->route->kind == RouteKind::Stream && call.answerHead().status / 100 == 2) {
            return this->passStream(scope, call, **grant);
        }
        return this->passAnswer(scope, call, upstream);
    }
    this->giveUp(scope, std::string(AK::nameOf(refusalReasonNames, place.reason)), place.retryAfter);
    return Next::Done;
}

LibGateway::UpstreamTarget CallTask::targetAt(const Grant &grant) const
{
    LibGateway::UpstreamTarget target;
    target.instance = grant.upstream().id;
    target.account = this->account ? this->account->name : "";
    target.timeLeft = std::max<AK::Milliseconds>(1, this->deadline - this->now());
    target.priority = this->demand.place.priority;
    target.weightsVersion = grant.weightsVersion();
    target.lastEventId = this->lastEventId;
    return target;
}

CallTask::Next CallTask::afterFailure(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, bool ranMaybe, const std::string &reason)
{
    this->report.reason = reason;
    this->mayHaveRun = this->mayHaveRun || ranMaybe;
    this->demand.excluded.insert(upstream.id);
    const bool allowed = !this->mayHaveRun || this->route->repeatable();
    if (allowed && this->report.sends < this->route->maxAttempts && this->now() < this->deadline && this->context.dispatcher.mayRepeat(this->demand.service)) {
        return Next::TryAnother;
    }
    this->giveUp(scope, reason, refusalRetryAfter);
    return Next::Done;
}

CallTask::Next CallTask::passAnswer(kj::WaitScope &scope, UpstreamCall &call, const LibFleet::UpstreamRecord &upstream)
{
    this->mayHaveRun = true;
    std::string answer;
    while (true) {
        absl::StatusOr<std::optional<std::string>> data = call.read(scope, this->deadline);
        if (!data.ok()) {
            this->context.dispatcher.countOutcome(upstream, true);
            return this->afterFailure(scope, upstream, true, AK::concat("answer cut: ", data.status().message()));
        }
        if (!*data) {
            break;
        }
        answer += **data;
        if (answer.size() > answerBodyBytes) {
            return this->afterFailure(scope, upstream, true, "the answer is too long");
        }
    }
    call.finish();
    const LibHttpStream::ResponseHead answerHead = call.answerHead();
    const bool failed = answerHead.status / 100 == 5;
    this->context.dispatcher.countOutcome(upstream, failed);
    if (failed && this->route->repeatable() && this->report.sends < this->route->maxAttempts && this->now() < this->deadline
        && this->context.dispatcher.mayRepeat(this->demand.service)) {
        this->failedAnswer.emplace(answerHead, std::move(answer));
        this->demand.excluded.insert(upstream.id);
        return Next::TryAnother;
    }
    this->report.status = answerHead.status;
    this->report.firstByteAfter = this->now() - this->arrivedAt;
    this->report.result = this->client.answer(scope, answerHead, answer, answerHead.status != 204).ok() ? "answered" : "client_left";
    return Next::Done;
}

absl::Status CallTask::passEvents(kj::WaitScope &scope, const LibHttpStream::ResponseHead &answerHead, LibGateway::EventSplitter &splitter)
{
    std::string text;
    while (std::optional<LibGateway::StreamEvent> event = splitter.next()) {
        text += event->text;
        if (event->id) {
            this->lastEventId = event->id;
        }
    }
    if (text.empty()) {
        return absl::OkStatus();
    }
    if (this->client.begun()) {
        this->report.longestGap = std::max(this->report.longestGap, this->now() - this->report.lastPartAt);
        this->report.lastPartAt = this->now();
        return this->client.part(scope, text);
    }
    this->report.lastPartAt = this->now();
    this->report.status = answerHead.status;
    this->report.firstByteAfter = this->now() - this->arrivedAt;
    return this->client.begin(scope, answerHead, text);
}

CallTask::Next CallTask::passStream(kj::WaitScope &scope, UpstreamCall &call, Grant &grant)
{
    const LibFleet::UpstreamRecord upstream = grant.upstream();
    this->mayHaveRun = true;
    LibGateway::EventSplitter splitter;
    while (true) {
        const AK::Milliseconds until = this->route->resumable ? std::min(this->deadline, this->now() + silenceLimit) : this->deadline;
        absl::StatusOr<std::optional<std::string>> data = call.read(scope, until);
        if (!data.ok() || (!*data && splitter.hasPartial())) {
            this->context.dispatcher.countOutcome(upstream, true);
            return this->afterFailure(scope, upstream, true, data.ok() ? "stream ended inside an event" : AK::concat("stream cut: ", data.status().message()));
        }
        if (!*data) {
            break;
        }
        splitter.feed(**data);
        grant.promptRead();
        if (!this->passEvents(scope, call.answerHead(), splitter).ok()) {
            return Next::Done;
        }
    }
    this->context.dispatcher.countOutcome(upstream, false);
    call.finish();
    const absl::Status written = this->client.begun() ? this->client.end(scope) : this->client.answer(scope, call.answerHead(), "", true);
    this->report.result = written.ok() ? "answered" : "client_left";
    return Next::Done;
}

void CallTask::refuse(kj::WaitScope &scope, int status, const std::string &reason, AK::Milliseconds retryAfter)
{
    this->report.status = status;
    this->report.reason = reason;
    const absl::Status written = this->client.refuse(scope, status, LibHttpStream::reasonPhrase(status), retryAfter);
    this->report.result = written.ok() ? "refused" : "client_left";
}

void CallTask::giveUp(kj::WaitScope &scope, const std::string &reason, AK::Milliseconds retryAfter)
{
    this->report.reason = reason;
    if (this->client.begun()) {
        // The client sees a stream that breaks off; it must not look complete.
        this->report.result = "stream_cut";
        this->client.requestClose();
        return;
    }
    if (this->failedAnswer) {
        this->report.status = this->failedAnswer->first.status;
        this->report.result = "upstream_failed";
        if (!this->client.answer(scope, this->failedAnswer->first, this->failedAnswer->second, true).ok()) {
            this->report.result = "client_left";
        }
        return;
    }
    if (!this->mayHaveRun) {
        this->refuse(scope, unavailable, reason, retryAfter);
        return;
    }
    this->refuse(scope, this->now() >= this->deadline ? gatewayTimeout : badGateway, reason, 0);
}

void CallTask::log() const
{
    const AK::Milliseconds took = this->now() - this->arrivedAt;
    const LibMetrics::Labels labels{{"route", this->route == nullptr ? "none" : this->route->name}, {"result", this->report.result}};
    this->context.metrics.add("catkinlink_calls_total", labels);
    this->context.metrics.observe("catkinlink_call_duration_ms", {{"result", this->report.result}}, static_cast<double>(took));
    const bool late = this->route != nullptr
        && (this->report.firstByteAfter > this->route->targetLatency || (this->route->gapTarget > 0 && this->report.longestGap > this->route->gapTarget));
    if (this->report.result == "answered" && this->report.status < 400 && !late && AK::stableHash(this->request.id) % logSampling != 0) {
        return;
    }
    this->logger.info("call_ended",
                      {{"request", this->request.id},
                       {"route", this->route == nullptr ? "" : this->route->name},
                       {"account", this->account ? this->account->name : ""},
                       {"configuration", this->configuration ? this->configuration->version : 0},
                       {"result", this->report.result},
                       {"status", this->report.status},
                       {"reason", this->report.reason},
                       {"upstream", this->report.upstream},
                       {"sends", this->report.sends},
                       {"load", this->report.loadAtChoice},
                       {"waited_ms", this->report.waited},
                       {"first_byte_ms", this->report.firstByteAfter},
                       {"longest_gap_ms", this->report.longestGap},
                       {"prompt_tokens", this->request.promptTokens},
                       {"late", late},
                       {"returning", this->demand.place.returning},
                       {"patience_ms", this->request.clientTimeout.value_or(-1)},
                       {"took_ms", took}});
}

} // namespace Gateway
