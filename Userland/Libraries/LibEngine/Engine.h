#pragma once

#include <AK/Clock.h>
#include <LibHttp/HttpMessage.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace LibEngine
{

/// Status that an engine reports.
struct EngineStatus {
    std::string instance;
    /// Incremented by every load.
    uint64_t generation = 0;
    /// False during a load and when nothing is loaded.
    bool ready = false;
    /// A load is in progress; another load command would interrupt it.
    bool loading = false;
    std::string model;
    std::string adapter;
    std::string version;
    std::string root;
    /// Calls in progress; the value may lag behind.
    int load = 0;
    /// Calls that the engine can run concurrently.
    int slots = 0;

    /// `system_fingerprint` of every response made with these weights.
    std::string fingerprint() const;
};

/// A command to load one version.
struct LoadCommand {
    /// An engine that honours fencing refuses a token smaller than the greatest that it has seen.
    uint64_t fencingToken = 0;
    std::string model;
    std::string adapter;
    std::string version;
    std::string manifestUrl;
};

/// The response to a completion request while it is being read.
class Completion
{
public:
    virtual ~Completion() = default;

    virtual int status() const = 0;
    virtual const LibHttp::HttpHeaders &headers() const = 0;

    /// The next line of a streamed response, or the whole body of any other; nothing at the regular end of the response.
    /// Errors: kDeadlineExceeded after `timeout` ms, kDataLoss when the response was truncated.
    virtual absl::StatusOr<std::optional<std::string>> next(AK::Milliseconds timeout) = 0;
};

/// A model engine. Implementations are thread-safe.
class Engine
{
public:
    virtual ~Engine() = default;

    /// Errors: kUnavailable, kDeadlineExceeded, kInvalidArgument when the report is malformed.
    virtual absl::StatusOr<EngineStatus> status(AK::Milliseconds timeout) = 0;

    /// Sends a load command. The result does not tell which weights are loaded; only a later status() does.
    virtual absl::Status load(const LoadCommand &command, AK::Milliseconds timeout) = 0;

    /// Starts a completion and waits for the status line and headers of the response. `timeout` ms bound the whole response.
    /// Errors: kUnavailable (LibHttp::sendStateOf tells whether it may have run), kDeadlineExceeded.
    virtual absl::StatusOr<std::unique_ptr<Completion>> complete(const LibHttp::HttpRequest &request, bool stream, AK::Milliseconds timeout) = 0;
};

/// `system_fingerprint` of a response or of one event of a stream ("data: {...}"), or nothing when it has none.
std::optional<std::string> fingerprintOf(std::string_view text);

/// Reads a status report. Errors: kInvalidArgument naming the field.
absl::StatusOr<EngineStatus> parseEngineStatus(std::string_view text);

} // namespace LibEngine
