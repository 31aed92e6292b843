#include "CallTask.h"

#include <AK/Hash.h>

namespace Gateway
{

namespace
{

// One in this many calls that succeed in time is logged; all others are always logged.
constexpr uint64_t logSamplingInterval = 16;

constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

} // namespace

void CallTask::endAfterException(kj::WaitScope &scope, const std::string &failure)
{
    this->context.metrics.add("catkinlink_call_exceptions_total");
    this->logger.error("call_exception", {{"request", this->request.id}, {"reason", failure}});
    if (!this->client.complete()) {
        this->giveUpInterrupted(scope, "internal error", refusalRetryAfter);
    }
}

void CallTask::endBeforeStop(kj::WaitScope &scope, AK::Milliseconds retryAfter)
{
    this->giveUpInterrupted(scope, "this entry is about to stop", retryAfter);
}

void CallTask::giveUpInterrupted(kj::WaitScope &scope, const std::string &reason, AK::Milliseconds retryAfter)
{
    this->silentCall = nullptr;
    this->mayHaveRun = this->mayHaveRun || this->report.sends > 0;
    this->giveUp(scope, reason, retryAfter);
}

void CallTask::refuse(kj::WaitScope &scope, int status, const std::string &reason, AK::Milliseconds retryAfter)
{
    this->report.status = status;
    this->report.reason = reason;
    this->report.retryAfter = retryAfter;
    const absl::Status written = this->client.refuse(scope, status, LibHttpStream::reasonPhrase(status), retryAfter);
    this->report.result = written.ok() ? "refused" : "client_left";
}

void CallTask::giveUp(kj::WaitScope &scope, const std::string &reason, AK::Milliseconds retryAfter)
{
    this->report.reason = reason;
    if (this->silentCall != nullptr) {
        // The silent upstream may still answer.
        return;
    }
    if (this->client.begun()) {
        // The connection is closed without the last chunk, so that the client does not take the stream for complete.
        this->report.result = "stream_cut";
        this->client.requestClose();
        return;
    }
    if (this->failedResponse) {
        this->report.status = this->failedResponse->first.status;
        this->report.result = "upstream_failed";
        if (!this->client.sendResponse(scope, this->failedResponse->first, this->failedResponse->second, true).ok()) {
            this->report.result = "client_left";
        }
        return;
    }
    if (!this->mayHaveRun) {
        this->refuse(scope, unavailable, reason, retryAfter);
        return;
    }
    this->refuse(scope, this->now() >= this->endsBy() ? gatewayTimeout : badGateway, reason, 0);
}

void CallTask::log() const
{
    const AK::Milliseconds took = this->now() - this->arrivedAt;
    const LibMetrics::Labels labels{{"route", this->route == nullptr ? "none" : this->route->name}, {"result", this->report.result}};
    this->context.metrics.add("catkinlink_calls_total", labels);
    this->context.metrics.observe("catkinlink_call_duration_ms", {{"result", this->report.result}}, static_cast<double>(took));
    const bool late = this->route != nullptr
        && (this->report.firstByteAfter > this->route->targetLatency || (this->route->gapTarget > 0 && this->report.longestGap > this->route->gapTarget));
    if (this->report.result == "answered" && this->report.status < 400 && !late && AK::stableHash(this->request.id) % logSamplingInterval != 0) {
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
                       {"prompt_parts", LibGateway::partsToLog(this->request.sharedPromptParts)},
                       {"late", late},
                       {"priority", this->requirements.rank.priority},
                       {"predicted_wait_ms", this->report.predictedWaitMs},
                       {"retry_after_ms", this->report.retryAfter},
                       {"returning", this->requirements.rank.returning},
                       {"patience_ms", this->request.clientTimeout.value_or(-1)},
                       {"since_send_ms", this->report.sends > 0 ? this->now() - this->sentAt : -1},
                       {"loop_late_ms", this->context.loopWatch.lateness()},
                       {"took_ms", took}});
}

} // namespace Gateway
