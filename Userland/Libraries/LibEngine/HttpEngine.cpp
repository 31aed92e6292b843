#include <LibEngine/HttpEngine.h>

#include <AK/StatusMacros.h>
#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace LibEngine
{

namespace
{

// Bounds the lines that are buffered when the engine is faster than the caller.
constexpr size_t maxQueuedParts = 256;
constexpr size_t bodyLimitBytes = size_t{16} << 20;
constexpr size_t statusLimitBytes = size_t{64} << 10;

// Shared by the reader thread and the completion; the last of them frees it.
struct ReaderState {
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<std::string> parts;
    bool headReceived = false;
    bool abandoned = false;
    bool ended = false;
    absl::Status failure;
    int status = 0;
    LibHttp::HttpHeaders headers;
};

void finish(ReaderState &state, const absl::Status &failure)
{
    const std::lock_guard lock(state.mutex);
    state.ended = true;
    state.failure = failure;
    state.changed.notify_all();
}

// False when the completion has been destroyed.
bool push(ReaderState &state, std::string part)
{
    std::unique_lock lock(state.mutex);
    state.changed.wait(lock, [&] { return state.abandoned || state.parts.size() < maxQueuedParts; });
    if (state.abandoned) {
        return false;
    }
    state.parts.push_back(std::move(part));
    state.changed.notify_all();
    return true;
}

absl::Status readParts(ReaderState &state, LibHttp::HttpStream &stream, bool lines)
{
    if (!lines) {
        CATKINLINK_ASSIGN(std::string body, stream.readAll(bodyLimitBytes));
        push(state, std::move(body));
        return absl::OkStatus();
    }
    while (true) {
        CATKINLINK_ASSIGN(std::optional<std::string> line, stream.readLine());
        if (!line || !push(state, std::move(*line))) {
            return absl::OkStatus();
        }
    }
}

void read(ReaderState &state, const AK::Endpoint &endpoint, const LibHttp::HttpRequest &request, bool lines, AK::Milliseconds timeout)
{
    auto stream = LibHttp::HttpStream::open(endpoint, request, timeout);
    if (!stream.ok()) {
        finish(state, stream.status());
        return;
    }
    {
        const std::lock_guard lock(state.mutex);
        state.status = (*stream)->status();
        state.headers = (*stream)->headers();
        state.headReceived = true;
        state.changed.notify_all();
    }
    finish(state, readParts(state, **stream, lines && (*stream)->status() == 200));
}

class QueuedCompletion final : public Completion
{
public:
    explicit QueuedCompletion(std::shared_ptr<ReaderState> state)
        : state(std::move(state))
    {
    }

    ~QueuedCompletion() override
    {
        const std::lock_guard lock(this->state->mutex);
        this->state->abandoned = true;
        this->state->changed.notify_all();
    }

    QueuedCompletion(const QueuedCompletion &) = delete;
    QueuedCompletion &operator=(const QueuedCompletion &) = delete;

    int status() const override
    {
        return this->state->status;
    }

    const LibHttp::HttpHeaders &headers() const override
    {
        return this->state->headers;
    }

    absl::StatusOr<std::optional<std::string>> next(AK::Milliseconds timeout) override
    {
        std::unique_lock lock(this->state->mutex);
        const bool ready =
            this->state->changed.wait_for(lock, std::chrono::milliseconds(timeout), [&] { return this->state->ended || !this->state->parts.empty(); });
        if (!ready) {
            return absl::DeadlineExceededError(AK::concat("engine sent nothing for ", timeout, " ms"));
        }
        if (!this->state->parts.empty()) {
            std::string part = std::move(this->state->parts.front());
            this->state->parts.pop_front();
            this->state->changed.notify_all();
            return std::optional(std::move(part));
        }
        if (!this->state->failure.ok()) {
            return this->state->failure;
        }
        return std::optional<std::string>();
    }

private:
    std::shared_ptr<ReaderState> state;
};

} // namespace

HttpEngine::HttpEngine(AK::Endpoint endpoint)
    : endpoint(std::move(endpoint))
{
}

absl::StatusOr<EngineStatus> HttpEngine::status(AK::Milliseconds timeout)
{
    LibHttp::HttpRequest request;
    request.path = "/engine/status";
    CATKINLINK_ASSIGN(const LibHttp::HttpResponse response, LibHttp::httpCall(this->endpoint, request, timeout, statusLimitBytes));
    if (response.status != 200) {
        return absl::UnavailableError(AK::concat("engine at ", this->endpoint.text(), " answered GET /engine/status with ", response.status));
    }
    return parseEngineStatus(response.body);
}

absl::Status HttpEngine::load(const LoadCommand &command, AK::Milliseconds timeout)
{
    LibHttp::HttpRequest request;
    request.method = "POST";
    request.path = "/engine/load";
    request.headers["content-type"] = "application/json";
    request.body = nlohmann::json{{"fencing_token", command.fencingToken},
                                  {"model", command.model},
                                  {"adapter", command.adapter},
                                  {"version", command.version},
                                  {"manifest_url", command.manifestUrl}}
                       .dump();
    CATKINLINK_ASSIGN(const LibHttp::HttpResponse response, LibHttp::httpCall(this->endpoint, request, timeout, statusLimitBytes));
    if (response.status != 200) {
        return absl::FailedPreconditionError(
            AK::concat("engine at ", this->endpoint.text(), " answered POST /engine/load with ", response.status, ": ", response.body));
    }
    return absl::OkStatus();
}

absl::StatusOr<std::unique_ptr<Completion>> HttpEngine::complete(const LibHttp::HttpRequest &request, bool stream, AK::Milliseconds timeout)
{
    auto state = std::make_shared<ReaderState>();
    std::thread([state, endpoint = this->endpoint, request, stream, timeout] { read(*state, endpoint, request, stream, timeout); }).detach();
    auto completion = std::make_unique<QueuedCompletion>(state);
    std::unique_lock lock(state->mutex);
    const bool ready = state->changed.wait_for(lock, std::chrono::milliseconds(timeout), [&] { return state->headReceived || state->ended; });
    const bool headReceived = state->headReceived;
    absl::Status failure = state->failure;
    // The completion's destructor takes the lock on the error paths.
    lock.unlock();
    if (!ready) {
        return absl::DeadlineExceededError(AK::concat("no response from engine ", this->endpoint.text(), " within ", timeout, " ms"));
    }
    if (!headReceived) {
        return failure;
    }
    return completion;
}

} // namespace LibEngine
