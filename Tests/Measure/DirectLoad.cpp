#include "DirectLoad.h"

#include <LibHttp/HttpClient.h>
#include <algorithm>

namespace
{

constexpr AK::Milliseconds waitStepMs = 20;
constexpr AK::Milliseconds retryPauseMs = 20;

// Upstreams receive the path without the prefix `/services/NAME` of the service.
std::string upstreamPath(const std::string &path)
{
    static const std::string prefix = "/services/";
    if (!path.starts_with(prefix)) {
        return path;
    }
    const size_t slash = path.find('/', prefix.size());
    return slash == std::string::npos ? "/" : path.substr(slash);
}

} // namespace

DirectLoad::DirectLoad(Plan plan)
    : plan(std::move(plan))
    , startTime(this->clock.now())
{
    for (int i = 0; i < this->plan.threads; ++i) {
        this->threads.emplace_back([this] { this->sendCalls(); });
    }
}

DirectLoad::~DirectLoad()
{
    this->finish();
}

void DirectLoad::sendCalls()
{
    while (!this->stopping) {
        const uint64_t sequence = this->nextSequence++;
        const AK::Milliseconds due = this->startTime + static_cast<AK::Milliseconds>(static_cast<double>(sequence) * 1000 / this->plan.callsPerSecond);
        while (!this->stopping && this->clock.now() < due) {
            this->clock.sleep(std::min<AK::Milliseconds>(due - this->clock.now(), waitStepMs));
        }
        if (this->stopping) {
            return;
        }
        Harness::CallRecord record = this->run(this->plan.makeCall(sequence), sequence);
        const std::lock_guard lock(this->mutex);
        this->records.push_back(std::move(record));
    }
}

Harness::CallRecord DirectLoad::run(const Harness::CallPlan &call, uint64_t sequence)
{
    Harness::CallRecord record{.kind = call.kind, .startedAt = this->clock.now()};
    record.idempotencyKey = LibHttp::headerOr(call.request.headers, "idempotency-key");
    LibHttp::HttpRequest request = call.request;
    request.path = upstreamPath(request.path);
    for (uint64_t attempt = 0; !record.complete; ++attempt) {
        const std::vector<AK::Endpoint> upstreams = this->plan.upstreams();
        const AK::Milliseconds remainingMs = record.startedAt + call.deadlineMs - this->clock.now();
        if (upstreams.empty() || remainingMs <= 0 || (attempt > 0 && !this->plan.retryAllFailures)) {
            break;
        }
        ++record.attempts;
        const auto response = LibHttp::httpCall(upstreams[(sequence + attempt) % upstreams.size()], request, remainingMs);
        record.status = response.ok() ? response->status : 0;
        record.body = response.ok() ? response->body : "";
        record.complete = record.status == 200 && (!call.stream || record.body.find("data: [DONE]") != std::string::npos);
        record.cut = record.cut || (!response.ok() && LibHttp::sendStateOf(response.status()) == LibHttp::SendState::Sent);
        if (!record.complete) {
            this->clock.sleep(retryPauseMs);
        }
    }
    record.endedAt = this->clock.now();
    return record;
}

std::vector<Harness::CallRecord> DirectLoad::finish()
{
    this->stopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    std::ranges::sort(this->records, {}, &Harness::CallRecord::startedAt);
    return this->records;
}
