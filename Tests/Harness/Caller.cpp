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
constexpr size_t bodyLimit = 4 << 20;
constexpr int requestIdDigits = 20;

// Reads a stream to its end; the body is kept as it came.
absl::Status readStream(LibHttp::HttpStream &stream, const AK::Clock &clock, CallRecord &record)
{
    bool ended = false;
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
        ended = ended || **line == "data: [DONE]";
        record.body += **line + "\n";
    }
    return ended ? absl::OkStatus() : absl::DataLossError("stream ended without its end marker");
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
        const absl::StatusOr<nlohmann::json> answer = getJson(host, "/v1/addresses", {{"authorization", "Bearer " + this->key}});
        if (!answer.ok() || !answer->contains("entries") || (*answer)["entries"].empty()) {
            continue;
        }
        this->entries.clear();
        for (const nlohmann::json &entry : (*answer)["entries"]) {
            const std::string address = entry.is_object() ? entry.value("address", entry.value("http_address", "")) : entry.get<std::string>();
            if (const absl::StatusOr<AK::Endpoint> parsed = AK::parseEndpoint(address); parsed.ok()) {
                this->entries.push_back(*parsed);
            }
        }
        this->addressesUntil = this->clock.now() + answer->value("ttl_ms", int64_t{0});
        return;
    }
}

AK::Endpoint Caller::nextEntry()
{
    if (this->entries.empty() || this->clock.now() >= this->addressesUntil) {
        this->refreshAddresses();
    }
    if (this->entries.empty()) {
        return this->site.entryAddress(1);
    }
    return this->entries[this->position++ % this->entries.size()];
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
        absl::StatusOr<std::string> body = (*stream)->readAll(bodyLimit);
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
        const bool mayRepeat = plan.repeatable || record.outcome == "not_run";
        const bool refusedForGood = record.status >= 400 && record.status < 429;
        if (record.complete || !mayRepeat || refusedForGood || this->clock.now() - record.startedAt + retryPauseMs >= plan.deadlineMs) {
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
        const uint64_t sequence = this->next++;
        const AK::Milliseconds due = this->startedAt + static_cast<AK::Milliseconds>(static_cast<double>(sequence) * 1000 / this->plan.callsPerSecond);
        while (!this->stopping && this->clock.now() < due) {
            this->clock.sleep(std::min<AK::Milliseconds>(due - this->clock.now(), lateStartMs));
        }
        if (this->stopping) {
            return;
        }
        this->late += this->clock.now() - due > lateStartMs ? 1 : 0;
        const int account = this->plan.account(sequence);
        std::unique_ptr<Caller> &caller = callers[account];
        if (!caller) {
            caller = std::make_unique<Caller>(this->site, account, this->plan.seed * 1000 + static_cast<uint64_t>(number));
        }
        {
            const std::lock_guard lock(this->mutex);
            this->running.insert(sequence);
        }
        CallRecord record = caller->run(this->plan.makeCall(sequence));
        const std::lock_guard lock(this->mutex);
        this->running.erase(sequence);
        if (record.complete) {
            this->completed.push_back(sequence);
        }
        this->records.push_back(std::move(record));
        this->ended.notify_all();
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

bool Load::waitForFreshCalls(int count, AK::Milliseconds limit)
{
    std::unique_lock lock(this->mutex);
    const std::set<uint64_t> before = this->running;
    const uint64_t first = this->next;
    return this->ended.wait_for(lock, std::chrono::milliseconds(limit), [&] {
        const bool over = std::ranges::none_of(before, [&](uint64_t sequence) { return this->running.contains(sequence); });
        return over && std::ranges::count_if(this->completed, [&](uint64_t sequence) { return sequence >= first; }) >= count;
    });
}

uint64_t Load::lateStarts() const
{
    return this->late;
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
