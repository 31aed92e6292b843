#include "CallTask.h"

#include <AK/Text.h>
#include <algorithm>

namespace Gateway
{

using LibGateway::ContinuationFault;

namespace
{

// Time left for the response to reach the client before the client's own deadline.
constexpr AK::Milliseconds responseMargin = 20;
// Other upstreams are tried when a resumable stream has no event, whatever other bytes come, within this share of the time for which clients wait for one.
constexpr double streamSilenceShare = 0.5625;
constexpr AK::Milliseconds defaultClientGapLimit = 3'200;
// A sound upstream may fall silent for about a second.
constexpr AK::Milliseconds shortestStreamSilence = 1'500;
// Other upstreams are tried when a retriable call that is not a stream has no response within this share of its total time.
constexpr double nonStreamSilenceShare = 0.4;

} // namespace

void CallTask::setTimeLimits(AK::Milliseconds clientTimeout)
{
    this->deadline = this->arrivedAt + std::min(clientTimeout, this->route->timeout > 0 ? this->route->timeout : clientTimeout) - responseMargin;
    const AK::Milliseconds gapLimit = this->route->clientGapLimit;
    this->responseBy = gapLimit > 0 ? std::min(this->deadline, this->arrivedAt + gapLimit - responseMargin) : this->deadline;
}

AK::Milliseconds CallTask::endsBy() const
{
    return this->client.begun() ? this->deadline : this->responseBy;
}

bool CallTask::endsForItsClient() const
{
    return !this->client.begun() && this->responseBy < this->deadline && this->now() >= this->responseBy;
}

AK::Milliseconds CallTask::streamSilenceLimit() const
{
    const AK::Milliseconds gapLimit = this->route->clientGapLimit > 0 ? this->route->clientGapLimit : defaultClientGapLimit;
    return std::max(shortestStreamSilence, static_cast<AK::Milliseconds>(streamSilenceShare * static_cast<double>(gapLimit)));
}

AK::Milliseconds CallTask::silentAfter(AK::Milliseconds lastSign) const
{
    // A call whose prompt may crash upstreams stays where it is.
    const bool mayTryAnother =
        this->route->repeatable() && this->report.sends < this->route->maxAttempts && !this->context.quarantine.isSuspected(this->request);
    if (!mayTryAnother) {
        return this->endsBy();
    }
    const auto share = static_cast<AK::Milliseconds>(nonStreamSilenceShare * static_cast<double>(this->deadline - this->arrivedAt));
    const AK::Milliseconds limit = this->route->kind == LibFleet::RouteKind::Stream ? this->streamSilenceLimit() : share;
    return std::min(this->endsBy(), std::max(lastSign, this->othersTriedAt) + limit);
}

bool CallTask::mustBeginInTime(const Grant &grant) const
{
    if (this->route->kind == LibFleet::RouteKind::Stream) {
        return !this->streamBegun;
    }
    // A call that is no stream shows nothing until it ends. One that may run once only stays where it is.
    return this->route->repeatable() && this->context.dispatcher.mayStillWait(grant, this->sentAt);
}

bool CallTask::beginsTooLate(const Grant &grant) const
{
    return this->mustBeginInTime(grant) && this->context.dispatcher.timeToBegin(grant) <= 0;
}

AK::Milliseconds CallTask::headDeadline(const Grant &grant) const
{
    const AK::Milliseconds silentAt = this->silentAfter(this->sentAt);
    return this->mustBeginInTime(grant) ? std::min(silentAt, this->now() + this->context.dispatcher.timeToBegin(grant)) : silentAt;
}

SilentCall::End CallTask::tryOthers(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant, const SilentCall::Probe &probe)
{
    const AK::Milliseconds startedAt = this->now();
    this->othersTriedAt = startedAt;
    if (probe() != SilentCall::Sign::None) {
        return SilentCall::End::Spoke;
    }
    const std::string upstream = grant->upstream().id;
    this->mayHaveRun = true;
    this->context.dispatcher.recordOutcome(grant->upstream(), true);
    this->requirements.excluded.insert(upstream);
    SilentCall::End end = SilentCall::End::OthersFailed;
    if (this->context.dispatcher.trySpendRetry(this->requirements.service)) {
        const AK::Milliseconds sentBefore = this->sentAt;
        const AK::Milliseconds firstEventBefore = this->firstEventAt;
        const bool begunBefore = this->streamBegun;
        SilentCall silent(this->context.loop, this->silentCall);
        this->silentCall = &silent;
        const auto giveUp = [&] {
            call.close();
            grant = nullptr;
        };
        // The attempt beside the silent call changes what the call knows of its own.
        const bool mustBegin = this->mustBeginInTime(*grant);
        const auto beginBy = [&] {
            return mustBegin ? this->now() + this->context.dispatcher.timeToBegin(*grant) : this->deadline;
        };
        kj::Promise<void> others = this->context.loop.fiber([this](kj::WaitScope &inner) { this->runAttempts(inner); });
        end = silent.await(scope, call, probe, giveUp, kj::mv(others), {this->deadline, beginBy});
        if (end != SilentCall::End::Replaced) {
            this->silentCall = silent.outerCall();
            this->sentAt = sentBefore;
            this->firstEventAt = firstEventBefore;
            this->streamBegun = begunBefore;
            this->report.upstream = upstream;
        }
    }
    this->context.metrics.add("catkinlink_silent_calls_total", {{"end", std::string(AK::nameOf(silenceEndNames, end))}});
    this->logger.info(
        "upstream_silent",
        {{"request", this->request.id}, {"upstream", upstream}, {"end", AK::nameOf(silenceEndNames, end)}, {"waited_ms", this->now() - startedAt}});
    return end;
}

void CallTask::takeOver()
{
    if (this->silentCall != nullptr) {
        this->silentCall->replace();
        this->silentCall = nullptr;
    }
}

bool CallTask::awaitHead(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant, UpstreamCall::Result &sent)
{
    while (sent.silent && this->now() < this->deadline && !this->beginsTooLate(*grant)) {
        if (this->now() < this->silentAfter(this->sentAt)) {
            sent = call.receiveHead(scope, this->headDeadline(*grant));
            continue;
        }
        // A client that has nothing yet is served better by another attempt or an error that lets it retry: a silent upstream may run the request after it has
        // left.
        if (!this->client.begun()) {
            return true;
        }
        const auto probe = [&] {
            sent = call.receiveHead(scope, this->now());
            if (sent.silent) {
                return SilentCall::Sign::None;
            }
            const bool answered = sent.outcome == SendOutcome::Answered && call.responseHead().status / 100 != 5;
            return answered ? SilentCall::Sign::Answer : SilentCall::Sign::Failure;
        };
        if (this->tryOthers(scope, call, grant, probe) == SilentCall::End::Replaced) {
            return false;
        }
        if (call.closed()) {
            return true;
        }
    }
    return true;
}

CallTask::StreamPart CallTask::readStream(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant, const LibGateway::EventSplitter &splitter)
{
    StreamPart part;
    while (true) {
        part.overdue = this->beginsTooLate(*grant);
        if (part.overdue) {
            part.status = absl::DeadlineExceededError("not begun in time");
            return part;
        }
        const AK::Milliseconds silentAt = this->route->resumable ? this->silentAfter(this->lastEventAt) : this->endsBy();
        const bool mayTryOthers = silentAt < this->endsBy();
        if (!mayTryOthers || this->now() < silentAt) {
            const AK::Milliseconds left = this->mustBeginInTime(*grant) ? this->context.dispatcher.timeToBegin(*grant) : silentAt - this->now();
            part.take(call.read(scope, std::min(silentAt, this->now() + left)));
            if (!absl::IsDeadlineExceeded(part.status) || this->now() >= this->endsBy()) {
                return part;
            }
            continue;
        }
        if (!this->client.begun()) {
            part.status = absl::DeadlineExceededError("no event in time");
            return part;
        }
        LibGateway::EventSplitter ahead = splitter;
        const auto probe = [&] {
            while (part.take(call.read(scope, this->now()))) {
                ahead.feed(part.newest);
                for (std::optional<LibGateway::StreamEvent> event = ahead.next(); event; event = ahead.next()) {
                    if (!LibGateway::isComment(*event)) {
                        return SilentCall::Sign::Answer;
                    }
                }
                if (part.text.size() > maxEventBytes) {
                    return SilentCall::Sign::Failure;
                }
            }
            if (absl::IsDeadlineExceeded(part.status)) {
                return SilentCall::Sign::None;
            }
            return part.ended && ahead.partialBytes() == 0 ? SilentCall::Sign::Answer : SilentCall::Sign::Failure;
        };
        part.replaced = this->tryOthers(scope, call, grant, probe) == SilentCall::End::Replaced;
        part.overdue = !part.replaced && call.closed();
        if (part.replaced || part.overdue || !part.text.empty() || !absl::IsDeadlineExceeded(part.status)) {
            return part;
        }
    }
}

bool CallTask::StreamPart::take(absl::StatusOr<std::optional<std::string>> data)
{
    this->status = data.status();
    this->ended = data.ok() && !*data;
    this->newest = data.ok() && *data ? std::move(**data) : "";
    this->text += this->newest;
    return !this->newest.empty();
}

std::string_view CallTask::endlessReason(const StreamPart &part, size_t partialBytes) const
{
    if (partialBytes > maxEventBytes) {
        return "stream cut: an event is too long";
    }
    // read() returns bytes that have arrived also after its deadline.
    const bool goesOn = part.status.ok() && !part.ended;
    if (goesOn && this->now() >= this->endsBy() && this->lastEventAt + this->streamSilenceLimit() <= this->now()) {
        return "stream stalled: bytes without an event";
    }
    return goesOn && this->now() >= this->deadline + lateBytesTime ? "stream cut: events go on past the deadline" : "";
}

CallTask::NextStep CallTask::forwardStream(kj::WaitScope &scope, UpstreamCall &call, kj::Own<Grant> &grant)
{
    const LibFleet::UpstreamRecord upstream = grant->upstream();
    this->mayHaveRun = true;
    const bool continues = this->client.begun();
    const bool resumed = this->lastEventId.has_value();
    LibGateway::EventSplitter splitter;
    this->lastEventAt = this->now();
    while (true) {
        const StreamPart part = this->readStream(scope, call, grant, splitter);
        if (part.replaced) {
            return NextStep::Done;
        }
        if (!part.text.empty()) {
            splitter.feed(part.text);
            grant->promptRead();
            const absl::StatusOr<ContinuationFault> forwarded = this->forwardEvents(scope, call, splitter, continues);
            if (!forwarded.ok() || *forwarded != ContinuationFault::None) {
                return forwarded.ok() ? this->rejectContinuation(scope, call, upstream, *forwarded) : NextStep::Done;
            }
        }
        if (part.overdue) {
            return this->withdraw(scope, call, upstream);
        }
        const bool timedOut = absl::IsDeadlineExceeded(part.status);
        if (const std::string_view reason = this->endlessReason(part, splitter.partialBytes()); !reason.empty()) {
            this->context.dispatcher.recordOutcome(upstream, true);
            return this->retryOrGiveUp(scope, upstream, true, std::string(reason));
        }
        if ((timedOut && this->client.begun() && this->now() < this->deadline) || (part.status.ok() && !part.ended)) {
            continue;
        }
        const std::string_view unfinished = LibGateway::unfinishedReason({call.endsWithConnection(), this->firstEventAt > 0, splitter.partialBytes()});
        if (!part.status.ok() || !unfinished.empty()) {
            if (!this->endsForItsClient()) {
                this->context.dispatcher.recordOutcome(upstream, true);
            }
            if (!timedOut) {
                this->recordBrokenCall(upstream);
            }
            return this->retryOrGiveUp(scope, upstream, true, part.ended ? std::string(unfinished) : AK::concat("stream cut: ", part.status.message()));
        }
        break;
    }
    this->context.dispatcher.recordOutcome(upstream, false);
    this->noteSoundPrompt(resumed);
    call.finish();
    this->takeOver();
    const absl::Status written = this->client.begun() ? this->client.endStream(scope) : this->client.sendResponse(scope, call.responseHead(), "", true);
    this->report.result = written.ok() ? "answered" : "client_left";
    return NextStep::Done;
}

} // namespace Gateway
