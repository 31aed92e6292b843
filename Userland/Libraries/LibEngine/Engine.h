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

/// What an engine reports of itself.
struct EngineStatus {
    std::string instance;
    /// Grows with every load.
    uint64_t generation = 0;
    /// False while it loads or has nothing loaded.
    bool ready = false;
    /// A load is running; another order would interrupt it.
    bool loading = false;
    std::string model;
    std::string adapter;
    std::string version;
    std::string root;
    /// Calls in progress, with a lag.
    int load = 0;
    int slots = 0;

    /// `system_fingerprint` of every answer made with these weights.
    std::string fingerprint() const;
};

/// An order to load one version.
struct LoadOrder {
    /// An engine that honours fencing refuses a smaller token than the greatest it has seen.
    uint64_t fencingToken = 0;
    std::string model;
    std::string adapter;
    std::string version;
    std::string manifestUrl;
};

/// An answer that is being read.
class Completion
{
public:
    virtual ~Completion() = default;

    virtual int status() const = 0;
    virtual const LibHttp::HttpHeaders &headers() const = 0;

    /// The next line of a stream, or the whole body of an answer that is no stream; nothing at its true end.
    /// Errors: kDeadlineExceeded after `timeout` ms, kDataLoss when the answer was cut.
    virtual absl::StatusOr<std::optional<std::string>> next(AK::Milliseconds timeout) = 0;
};

/// A model engine. Implementations are thread-safe.
class Engine
{
public:
    virtual ~Engine() = default;

    /// Errors: kUnavailable, kDeadlineExceeded, kInvalidArgument when the report is malformed.
    virtual absl::StatusOr<EngineStatus> status(AK::Milliseconds timeout) = 0;

    /// Sends an order. Its result says nothing of what is loaded; only a later status() does.
    virtual absl::Status load(const LoadOrder &order, AK::Milliseconds timeout) = 0;

    /// Starts a completion and waits up to `timeout` ms for the head of the answer.
    /// Errors: kUnavailable (LibHttp::sendStateOf tells whether it may have run), kDeadlineExceeded.
    virtual absl::StatusOr<std::unique_ptr<Completion>> complete(const LibHttp::HttpRequest &request, bool stream, AK::Milliseconds timeout) = 0;
};

/// `system_fingerprint` of an answer or of one event of a stream ("data: {...}"), or nothing when it has none.
std::optional<std::string> fingerprintOf(std::string_view text);

/// Reads a status report. Errors: kInvalidArgument naming the field.
absl::StatusOr<EngineStatus> parseEngineStatus(std::string_view text);

} // namespace LibEngine
