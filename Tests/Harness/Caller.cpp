#include <Harness/Caller.h>

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <chrono>

namespace Harness
{

namespace
{

constexpr AK::Milliseconds retryPauseMs = 50;
constexpr AK::Milliseconds lateStartMs = 20;
constexpr size_t maxBodyBytes = 4 << 20;
constexpr int requestIdDigits = 20;

// Reads a stream to its end and stores its lines unchanged in the record.
absl::Status readStream(LibHttp::HttpStream &stream, const AK::Clock &clock, CallRecord &record)
{
    bool markerSeen = false;
    while (true) {
        const absl::StatusOr<std::optional<std::string>> line = stream.readLine();
        if (!line.ok()) {
            return line.status();
        }
        if (!line->has_value()) {
            break;
        }
        if (record.firstByteAt == 0 && !(*line)->empty()) {
            record.firstByteAt = clock.now();
        }
        markerSeen = markerSeen || **line == "data: [DONE]";
        record.body += **line + "\n";
    }
    return markerSeen ? absl::OkStatus() : absl::DataLossError("stream ended without its end marker");
}

} // namespace

Caller::Caller(Site &site, int account, uint64_t seed)
    : site(site)
    , random(seed)
    , key(site.accountKey(account))
{
}

void Caller::refreshAddresses()
{
    const int count = this->site.plan().entries;
    const auto first = static_cast<int>(AK::uniformBelow(this->random, static_cast<uint64_t>(count)));
    for (int i = 0; i < count; ++i) {
        const AK::Endpoint host = this->site.entryAddress((first + i) % count + 1);
        const absl::StatusOr<nlohmann::json> response = getJson(host, "/v1/addresses", {{"authorization", "Bearer " + this->key}});
        if (!response.ok() || !response->contains("entries") || (*response)["entries"].empty()) {
            continue;
        }
        this->entries.clear();
        for (const nlohmann::json &entry : (*response)["entries"]) {
            const std::string address = entry.is_object() ? entry.value("address", entry.value("http_address", "")) : entry.get<std::string>();
            if (const absl::StatusOr<AK::Endpoint> parsed = AK::parseEndpoint(address); parsed.ok()) {
                this->entries.push_back(*parsed);
            }
        }
        this->addressesExpireAt = this->clock.now() + response->value("ttl_ms", int64_t{0});
        return;
    }
}

AK::Endpoint Caller::nextEntry()
{
    if (this->entries.empty() || this->clock.now() >= this->addressesExpireAt) {
        this->refreshAddresses();
    }
    if (this->entries.empty()) {
        return this->site.entryAddress(1);
    }
    return this->entries[this->nextIndex++ % this->entries.size()];
}

void Caller::attempt(const CallPlan &plan, CallRecord &record)
{
    record.status = 0;
    record.outcome.clear();
    record.body.clear();
    record.firstByteAt = 0;
    ++record.attempts;
    LibHttp::HttpRequest request = plan.request;
    request.headers["authorization"] = "Bearer " + this->key;
    const std::string requestId = AK::randomHex(this->random, requestIdDigits);
    request.headers["x-request-id"] = requestId;
    const AK::Milliseconds left = record.startedAt + plan.deadlineMs - this->clock.now();
    request.headers["x-deadline-ms"] = std::to_string(std::max<AK::Milliseconds>(1, left));
    auto stream = LibHttp::HttpStream::open(this->nextEntry(), request, left + 1'000);
    if (!stream.ok()) {
        const bool sent = LibHttp::sendStateOf(stream.status()) == LibHttp::SendState::Sent;
        record.cut = record.cut || sent;
        record.outcome = sent ? "unknown" : "not_run";
        return;
    }
    record.status = (*stream)->status();
    record.outcome = LibHttp::headerOr((*stream)->headers(), "x-catkinlink-outcome");
    absl::Status read;
    if (plan.stream && record.status == 200) {
        read = readStream(**stream, this->clock, record);
    } else {
        absl::StatusOr<std::string> body = (*stream)->readAll(maxBodyBytes);
        record.firstByteAt = this->clock.now();
        read = body.status();
        record.body = body.ok() ? std::move(*body) : "";
    }
    record.complete = record.status == 200 && read.ok();
    if (!read.ok()) {
        record.cut = true;
        record.outcome = "unknown";
    }
    if (!plan.repeatable && record.outcome == "not_run") {
        record.notRunRequestIds.push_back(requestId);
    }
}

CallRecord Caller::run(const CallPlan &plan)
{
    CallRecord record{.kind = plan.kind, .label = plan.label, .startedAt = this->clock.now()};
    record.idempotencyKey = LibHttp::headerOr(plan.request.headers, "idempotency-key");
    while (true) {
        this->attempt(plan, record);
        const bool mayRetry = plan.repeatable || record.outcome == "not_run";
        const bool permanentError = record.status >= 400 && record.status < 429;
        if (record.complete || !mayRetry || permanentError || this->clock.now() - record.startedAt + retryPauseMs >= plan.deadlineMs) {
            break;
        }
        this->clock.sleep(retryPauseMs + static_cast<AK::Milliseconds>(AK::uniformBelow(this->random, retryPauseMs)));
    }
    record.endedAt = this->clock.now();
    return record;
}

Load::Load(Site &site, LoadPlan plan)
    : site(site)
    , plan(std::move(plan))
    , startedAt(this->clock.now())
{
    for (int i = 0; i < this->plan.threads; ++i) {
        this->threads.emplace_back([this, i] { this->worker(i); });
    }
}

Load::~Load()
{
    this->finish();
}

void Load::worker(int number)
{
    std::map<int, std::unique_ptr<Caller>> callers;
    while (!this->stopping) {
        const uint64_t sequence = this->nextSequence++;
        const AK::Milliseconds due = this->startedAt + static_cast<AK::Milliseconds>(static_cast<double>(sequence) * 1000 / this->plan.callsPerSecond);
        while (!this->stopping && this->clock.now() < due) {
            this->clock.sleep(std::min<AK::Milliseconds>(due - this->clock.now(), lateStartMs));
        }
        if (this->stopping) {
            return;
        }
        this->lateCount += this->clock.now() - due > lateStartMs ? 1 : 0;
        const int account = this->plan.account(sequence);
        std::unique_ptr<Caller> &caller = callers[account];
        if (!caller) {
            caller = std::make_unique<Caller>(this->site, account, this->plan.seed * 1000 + static_cast<uint64_t>(number));
        }
        {
            const std::lock_guard lock(this->mutex);
            this->inFlight.insert(sequence);
        }
        CallRecord record = caller->run(this->plan.makeCall(sequence));
        const std::lock_guard lock(this->mutex);
        this->inFlight.erase(sequence);
        if (record.complete) {
            this->completed.push_back(sequence);
        }
        this->records.push_back(std::move(record));
        this->callEnded.notify_all();
    }
}

std::vector<CallRecord> Load::finish()
{
    this->stopping = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
    std::ranges::sort(this->records, {}, &CallRecord::startedAt);
    return this->records;
}

bool Load::waitForNewCalls(int count, AK::Milliseconds limit)
{
    std::unique_lock lock(this->mutex);
    const std::set<uint64_t> before = this->inFlight;
    const uint64_t first = this->nextSequence;
    return this->callEnded.wait_for(lock, std::chrono::milliseconds(limit), [&] {
        const bool over = std::ranges::none_of(before, [&](uint64_t sequence) { return this->inFlight.contains(sequence); });
        return over && std::ranges::count_if(this->completed, [&](uint64_t sequence) { return sequence >= first; }) >= count;
    });
}

uint64_t Load::lateStarts() const
{
    return this->lateCount;
}

CallPlan completionCall(const std::string &service, const std::string &prompt, bool stream, int tokens)
{
    const nlohmann::json body{{"model", service}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
    CallPlan plan;
    plan.kind = "completion";
    plan.label = prompt;
    plan.request.method = "POST";
    plan.request.path = "/v1/completions";
    plan.request.headers["content-type"] = "application/json";
    plan.request.body = body.dump();
    plan.stream = stream;
    return plan;
}

} // namespace Harness
