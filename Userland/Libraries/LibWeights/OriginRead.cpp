#include <LibWeights/OriginRead.h>

#include <AK/Text.h>
#include <LibHttp/HttpClient.h>
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace LibWeights
{

namespace
{

// Interval at which a read checks for a stop.
constexpr AK::Milliseconds stopCheckIntervalMs = 50;

struct PendingRead {
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<absl::StatusOr<LibHttp::HttpResponse>> response;
};

} // namespace

absl::StatusOr<std::string> readOriginRange(const AK::Endpoint &origin, const LibHttp::HttpRequest &request, size_t bytes, AK::Milliseconds deadline,
                                            const std::function<bool()> &stopped)
{
    // Shared with the reader thread, which may outlive this call.
    auto pending = std::make_shared<PendingRead>();
    std::thread([pending, origin, request, bytes, deadline] {
        auto response = LibHttp::httpCall(origin, request, deadline, bytes);
        const std::lock_guard lock(pending->mutex);
        pending->response = std::move(response);
        pending->changed.notify_all();
    }).detach();
    std::unique_lock lock(pending->mutex);
    for (AK::Milliseconds left = deadline; left > 0 && !pending->response; left -= stopCheckIntervalMs) {
        if (stopped()) {
            return absl::CancelledError(AK::concat("read of ", request.path, " was stopped"));
        }
        pending->changed.wait_for(lock, std::chrono::milliseconds(std::min(left, stopCheckIntervalMs)), [&] { return pending->response.has_value(); });
    }
    if (!pending->response) {
        return absl::DeadlineExceededError(
            AK::concat("origin ", origin.text(), " did not send ", bytes, " bytes of ", request.path, " within ", deadline, " ms"));
    }
    if (!pending->response->ok()) {
        return pending->response->status();
    }
    LibHttp::HttpResponse &response = **pending->response;
    if (response.status != 206) {
        return absl::UnavailableError(AK::concat("origin ", origin.text(), " answered a range request for ", request.path, " with status ", response.status));
    }
    return std::move(response.body);
}

} // namespace LibWeights
