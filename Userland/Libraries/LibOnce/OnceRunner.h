#pragma once

#include <AK/Clock.h>
#include <AK/EnumNames.h>
#include <LibHttp/HttpMessage.h>
#include <functional>
#include <string>

namespace LibOnce
{

/// Outcome of a call as reported to the caller.
enum class Outcome {
    /// The call ran; the response is complete.
    Done,
    /// The call did not run and will not run for this request.
    NotRun,
    /// The call may have run.
    Unknown,
};

inline constexpr std::array outcomeNames{
    AK::EnumName{Outcome::Done, "done"},
    AK::EnumName{Outcome::NotRun, "not_run"},
    AK::EnumName{Outcome::Unknown, "unknown"},
};

/// A call that must run at most once.
struct OnceRequest {
    std::string account;
    std::string service;
    std::string method;
    std::string path;
    std::string idempotencyKey;
    std::string body;
};

struct OnceResult {
    Outcome outcome = Outcome::Unknown;
    /// Done: the response of the upstream, either received now or replayed from the record. Otherwise an error for the caller.
    LibHttp::HttpResponse response;
    /// Done only: the response was recorded by an earlier attempt.
    bool replayed = false;
    std::string reason;
};

/// Result of a dispatch.
struct DispatchResult {
    Outcome outcome = Outcome::Unknown;
    LibHttp::HttpResponse response;
    std::string reason;
};

/// Sends the call to an upstream so that it runs at most once. It must start before the monotonic time `startBefore`, and returns NotRun when that time has
/// passed or when every upstream refused the call. `nonce` identifies the claim.
using Dispatch = std::function<DispatchResult(const std::string &nonce, AK::Milliseconds startBefore)>;

/// Runs each call at most once across all entry processes: claims it in the object API, dispatches it and records the outcome. Thread-safe.
class OnceRunner
{
public:
    virtual ~OnceRunner() = default;

    /// Blocks until the call has an outcome or the dispatch gives up.
    virtual OnceResult run(const OnceRequest &request, const Dispatch &dispatch) = 0;
};

} // namespace LibOnce
