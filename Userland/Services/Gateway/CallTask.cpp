#include "CallTask.h"

#include <AK/Hash.h>
#include <AK/Text.h>
#include <algorithm>

namespace Gateway
{

using LibFleet::RouteKind;
using LibGateway::ContinuationFault;

namespace
{

constexpr AK::Milliseconds defaultClientTimeout = 10'000;
// Responses are held until they are complete, so that one that is cut can be retried; some hundred calls share the memory of an entry.
constexpr uint64_t maxResponseBodyBytes = 4UL << 20;
// Longer than clients wait: sent again, the call would be rejected again.
constexpr AK::Milliseconds quarantineRetryAfter = 60'000;

constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int unavailable = 503;

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
    std::optional<std::string> failure;
    // Exceptions of kj are also exceptions of the standard library; the cancellation of the fiber is neither.
    try {
        if (this->prepare(scope)) {
            this->context.dispatcher.countCall(this->requirements.service);
            this->runAttempts(scope);
        }
    } catch (const std::exception &exception) {
        failure = exception.what();
    }
    // Outside of the handler, because a fiber must not be suspended in one.
    if (failure) {
        this->endAfterException(scope, *failure);
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
    if (this->rejectQuarantined(scope)) {
        return false;
    }
    const AK::Milliseconds clientTimeout = this->request.clientTimeout.value_or(defaultClientTimeout);
    this->setTimeLimits(clientTimeout);
    this->requirements = requirementsFor(*this->route, this->account.get(), this->request, this->arrivedAt);
    this->context.dispatcher.setRankAndStartBy(this->requirements, *this->route, clientTimeout);
    this->requirements.startBy = std::min(this->requirements.startBy, this->responseBy);
    return true;
}

void CallTask::runAttempts(kj::WaitScope &scope)
{
    while (this->runAttempt(scope) == NextStep::TryAnother) {}
}

CallTask::NextStep CallTask::runAttempt(kj::WaitScope &scope)
{
    if (this->client.hasLeft()) {
        return NextStep::Done;
    }
    if (this->now() >= this->endsBy()) {
        this->giveUp(scope, "the deadline of the call has passed", refusalRetryAfter);
        return NextStep::Done;
    }
    // A retry has waited before, so it may only wait for the rest of that time or for half of the target latency, whichever is longer.
    if (this->report.sends > 0) {
        this->requirements.startBy = std::min(this->endsBy(), std::max(this->requirements.startBy, this->now() + this->route->targetLatency / 2));
    }
    const AK::Milliseconds requestedAt = this->now();
    GrantOrRefusal granted = this->context.dispatcher.acquire(scope, this->requirements);
    this->report.waited += this->now() - requestedAt;
    KJ_IF_MAYBE (grant, granted.grant) {
        if (this->rejectQuarantined(scope)) {
            return NextStep::Done;
        }
        const LibFleet::UpstreamRecord upstream = (*grant)->upstream();
        this->report.upstream = upstream.id;
        this->report.loadAtChoice = (*grant)->loadAtChoice();
        ++this->report.sends;
        this->sentAt = this->now();
        this->firstEventAt = 0;
        this->streamBegun = false;
        UpstreamCall call(this->context.loop, this->context.connections, this->context.codec);
        call.onHead([this, upstream, requestSentAt = this->sentAt](const LibGateway::ResponseInfo &info) {
            this->context.dispatcher.recordResponse(upstream, info, requestSentAt);
        });
        const bool repeatable = this->route->repeatable();
        UpstreamCall::Result sent = call.send(
            scope, upstream, [&] { return this->context.codec.encodeRequest(this->head, this->targetFor(**grant)); }, this->body, this->request.id, repeatable,
            this->headDeadline(**grant), this->deadline, [&] { return this->hindranceToSend(**grant); });
        if (sent.withheldBy) {
            // The upstream got nothing, so this is no retry.
            --this->report.sends;
            this->context.metrics.add("catkinlink_sends_withheld_total", {{"reason", std::string(AK::nameOf(LibGateway::obstacleNames, *sent.withheldBy))}});
            return NextStep::TryAnother;
        }
        if (!this->awaitHead(scope, call, *grant, sent)) {
            return NextStep::Done;
        }
        if (sent.silent && (call.closed() || this->beginsTooLate(**grant))) {
            return this->withdraw(scope, call, upstream);
        }
        if (sent.outcome != SendOutcome::Answered) {
            if (call.responseInfo().pause.value_or(0) <= 0 && !this->endsForItsClient()) {
                this->context.dispatcher.recordOutcome(upstream, !sent.refusedByUpstream);
            }
            if (sent.unproven) {
                this->context.dispatcher.suspend(upstream);
            }
            if (sent.misdirected) {
                this->context.dispatcher.recordMisdirection(upstream, (*grant)->heldWeights());
            }
            if (sent.connectionEnded) {
                this->recordBrokenCall(upstream);
            }
            return this->retryOrGiveUp(scope, upstream, sent.outcome == SendOutcome::Unknown, sent.reason);
        }
        if (const auto &load = call.responseInfo().load) {
            this->context.dispatcher.recordResponseLoad(upstream, load->running, load->waiting, load->slowness);
        }
        if (this->client.begun()) {
            if (const auto fault = LibGateway::checkContinuationHead(call.responseHead(), call.responseInfo()); fault != ContinuationFault::None) {
                return this->rejectContinuation(scope, call, upstream, fault);
            }
        }
        if (this->route->kind == RouteKind::Stream && call.responseHead().status / 100 == 2) {
            return this->forwardStream(scope, call, *grant);
        }
        return this->forwardResponse(scope, call, upstream);
    }
    this->report.predictedWaitMs = granted.predictedWaitMs;
    this->giveUp(scope, std::string(AK::nameOf(refusalReasonNames, granted.reason)), granted.retryAfter);
    return NextStep::Done;
}

std::optional<LibGateway::Hindrance> CallTask::hindranceToSend(const Grant &grant) const
{
    // The loop cancels the call when it comes to the end of the client's connection, but a busy one may come to the slot first.
    if (this->client.hasLeft()) {
        return LibGateway::Hindrance{LibGateway::Obstacle::ClientLeft, 0};
    }
    if (this->now() >= this->endsBy()) {
        return LibGateway::Hindrance{LibGateway::Obstacle::DeadlinePassed, 0};
    }
    return this->context.dispatcher.hindranceToSend(grant, this->requirements);
}

LibGateway::UpstreamTarget CallTask::targetFor(const Grant &grant) const
{
    LibGateway::UpstreamTarget target;
    target.instance = grant.upstream().id;
    target.account = this->account ? this->account->name : "";
    target.timeLeft = std::max<AK::Milliseconds>(1, this->deadline - this->now());
    target.priority = this->requirements.rank.priority;
    target.weightsVersion = this->context.dispatcher.weightsToExpect(grant);
    target.lastEventId = this->lastEventId;
    return target;
}

CallTask::NextStep CallTask::withdraw(kj::WaitScope &scope, UpstreamCall &call, const LibFleet::UpstreamRecord &upstream)
{
    // Before the wait for another slot, because the upstream may begin at any moment.
    call.close();
    this->context.metrics.add("catkinlink_calls_withdrawn_total");
    return this->retryOrGiveUp(scope, upstream, true, "withdrawn: the weights of the upstream are too old to begin on");
}

CallTask::NextStep CallTask::retryOrGiveUp(kj::WaitScope &scope, const LibFleet::UpstreamRecord &upstream, bool sendMayHaveRun, const std::string &reason)
{
    this->report.reason = reason;
    this->mayHaveRun = this->mayHaveRun || sendMayHaveRun;
    this->requirements.excluded.insert(upstream.id);
    // A call that has not run can't have crashed the upstream.
    const bool suspected = this->mayHaveRun && this->context.quarantine.isSuspected(this->request);
    const bool allowed = !suspected && (!this->mayHaveRun || this->route->repeatable());
    if (allowed && this->report.sends < this->route->maxAttempts && this->now() < this->endsBy()
        && this->context.dispatcher.trySpendRetry(this->requirements.service)) {
        return NextStep::TryAnother;
    }
    this->giveUp(scope, reason, this->context.dispatcher.retryAfterPause(this->requirements).value_or(refusalRetryAfter));
    return NextStep::Done;
}

bool CallTask::rejectQuarantined(kj::WaitScope &scope)
{
    if (!this->context.quarantine.isQuarantined(this->request.sharedPromptParts)) {
        return false;
    }
    this->context.metrics.add("catkinlink_quarantined_calls_total");
    this->giveUp(scope, "a part of the prompt is quarantined", quarantineRetryAfter);
    return true;
}

void CallTask::noteSoundPrompt(bool resumed)
{
    if (this->firstEventAt > 0 && !resumed) {
        this->context.quarantine.recordSoundPrompt(this->request.sharedPromptParts);
    }
}

void CallTask::recordBrokenCall(const LibFleet::UpstreamRecord &upstream)
{
    std::optional<LibGateway::CrashSuspect> suspect;
    // However long it has been writing the response: a prompt may crash it at any event.
    if (!this->request.sharedPromptParts.empty()) {
        suspect = {AK::stableHash(this->request.lastPromptPart), this->sentAt, this->request.sharedPromptParts};
    }
    this->context.crashes.recordBrokenCall(upstream, std::move(suspect));
}

CallTask::NextStep CallTask::forwardResponse(kj::WaitScope &scope, UpstreamCall &call, const LibFleet::UpstreamRecord &upstream)
{
    this->mayHaveRun = true;
    // Held until the body is complete, and given back when another attempt follows.
    auto share = std::make_unique<LibHttpStream::BodyShare>(this->context.bodyMemory);
    std::string responseBody;
    while (true) {
        absl::StatusOr<std::optional<std::string>> data = call.read(scope, this->deadline);
        if (data.ok() && *data && this->now() >= this->deadline + lateBytesTime) {
            data = absl::DeadlineExceededError("bytes go on past the deadline");
        }
        if (!data.ok()) {
            this->context.dispatcher.recordOutcome(upstream, true);
            if (!absl::IsDeadlineExceeded(data.status())) {
                this->recordBrokenCall(upstream);
            }
            return this->retryOrGiveUp(scope, upstream, true, AK::concat("answer cut: ", data.status().message()));
        }
        if (!*data) {
            break;
        }
        if (!share->grow((*data)->size())) {
            // Another attempt would find no memory either.
            this->giveUp(scope, "other bodies hold the memory for bodies", 0);
            return NextStep::Done;
        }
        responseBody += **data;
        if (responseBody.size() > maxResponseBodyBytes) {
            this->context.dispatcher.recordOutcome(upstream, true);
            return this->retryOrGiveUp(scope, upstream, true, AK::concat("the response body exceeds ", maxResponseBodyBytes, " bytes"));
        }
    }
    call.finish();
    const LibHttpStream::ResponseHead responseHead = call.responseHead();
    const bool failed = responseHead.status / 100 == 5;
    if (!call.responseInfo().pause) {
        this->context.dispatcher.recordOutcome(upstream, failed);
    }
    if (failed && this->route->repeatable() && this->report.sends < this->route->maxAttempts && this->now() < this->endsBy()
        && this->context.dispatcher.trySpendRetry(this->requirements.service)) {
        this->failedResponse.emplace(responseHead, std::move(responseBody));
        this->failedResponseShare = std::move(share);
        this->requirements.excluded.insert(upstream.id);
        return NextStep::TryAnother;
    }
    if (failed && this->silentCall != nullptr) {
        this->failedResponse.emplace(responseHead, std::move(responseBody));
        this->failedResponseShare = std::move(share);
        return NextStep::Done;
    }
    this->takeOver();
    this->report.status = responseHead.status;
    this->report.firstByteAfter = this->now() - this->arrivedAt;
    this->report.result = this->client.sendResponse(scope, responseHead, responseBody, responseHead.status != 204).ok() ? "answered" : "client_left";
    return NextStep::Done;
}

absl::StatusOr<ContinuationFault> CallTask::forwardEvents(kj::WaitScope &scope, const UpstreamCall &call, LibGateway::EventSplitter &splitter, bool continues)
{
    while (true) {
        const LibGateway::EventBatch batch = LibGateway::takeEvents(splitter, this->lastEventId, continues);
        if (absl::Status status = this->forwardBatch(scope, call, batch); !status.ok()) {
            return status;
        }
        if (!batch.isFull) {
            return batch.fault;
        }
        this->context.loop.yield(scope);
    }
}

absl::Status CallTask::forwardBatch(kj::WaitScope &scope, const UpstreamCall &call, const LibGateway::EventBatch &batch)
{
    if (batch.lastId) {
        this->lastEventId = batch.lastId;
        this->lastEventAt = this->now();
        this->firstEventAt = this->firstEventAt > 0 ? this->firstEventAt : this->now();
    }
    // Comments do not show that this upstream goes on with the stream, so they end no call beside it.
    if (batch.text.empty() || (!batch.hasEvent && this->silentCall != nullptr)) {
        return absl::OkStatus();
    }
    this->takeOver();
    const bool begins = !this->client.begun();
    if (begins) {
        this->report.status = call.responseHead().status;
        this->report.firstByteAfter = this->now() - this->arrivedAt;
    } else {
        this->report.longestGap = std::max(this->report.longestGap, this->now() - this->report.lastPartAt);
    }
    this->report.lastPartAt = this->now();
    this->streamBegun = this->streamBegun || batch.hasEvent;
    return begins ? this->client.beginStream(scope, call.responseHead(), batch.text) : this->client.writeStream(scope, batch.text);
}

CallTask::NextStep CallTask::rejectContinuation(kj::WaitScope &scope, const UpstreamCall &call, const LibFleet::UpstreamRecord &upstream,
                                                ContinuationFault fault)
{
    this->context.dispatcher.recordOutcome(upstream, call.responseHead().status / 100 != 4);
    return this->retryOrGiveUp(scope, upstream, true, LibGateway::describeContinuationFault(fault, call.responseHead().status));
}

} // namespace Gateway
